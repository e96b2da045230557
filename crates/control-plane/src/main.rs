//! The control plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::parse_settings_or_exit(&control_plane::daemon::PROGRAM);
    transport::exit_on_start_error(
        "control-plane",
        control_plane::daemon::run(settings, control_plane::ApiAdapter::own()).await,
    );
}
