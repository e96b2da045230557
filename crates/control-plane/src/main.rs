//! The control plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::begin(&control_plane::shell::PROGRAM);
    transport::end(
        "control-plane",
        control_plane::shell::run(settings, control_plane::ApiAdapter::own()).await,
    );
}
