//! The data plane's daemon.

#[tokio::main]
async fn main() {
    let settings = wicket::begin(&carrier::shell::PROGRAM);
    if let Err(text) = carrier::shell::run(settings).await {
        log::error!("start: {text}");
        eprintln!("carrier: {text}");
        std::process::exit(wicket::exit::NO_START);
    }
}
