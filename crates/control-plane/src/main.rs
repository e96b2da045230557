//! The control plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::parse_settings_or_exit(&control_plane::shell::PROGRAM);
    transport::exit_on_start_error(
        "control-plane",
        control_plane::shell::run(settings, control_plane::ApiAdapter::own()).await,
    );
}
