//! The data plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::begin(&carrier::shell::PROGRAM);
    transport::end(
        "carrier",
        carrier::shell::run(settings, carrier::Dialect::own()).await,
    );
}
