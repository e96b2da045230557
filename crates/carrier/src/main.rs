//! The data plane's daemon.

#[tokio::main]
async fn main() {
    let settings = wicket::begin(&carrier::shell::PROGRAM);
    wicket::end("carrier", carrier::shell::run(settings, carrier::Dialect::own()).await);
}
