//! The control plane's daemon.

#[tokio::main]
async fn main() {
    let settings = wicket::begin(&postmaster::shell::PROGRAM);
    if let Err(text) = postmaster::shell::run(settings).await {
        log::error!("start: {text}");
        eprintln!("postmaster: {text}");
        std::process::exit(wicket::exit::NO_START);
    }
}
