//! The control plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::begin(&controller::shell::PROGRAM);
    transport::end(
        "postmaster",
        controller::shell::run(settings, controller::Dialect::own()).await,
    );
}
