//! The control plane's daemon.

#[tokio::main]
async fn main() {
    let settings = wicket::begin(&postmaster::shell::PROGRAM);
    wicket::end("postmaster", postmaster::shell::run(settings, postmaster::Dialect::own()).await);
}
