//! The data plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::parse_settings_or_exit(&data_plane::shell::PROGRAM);
    transport::exit_on_start_error(
        "data-plane",
        data_plane::shell::run(settings, data_plane::ApiAdapter::own()).await,
    );
}
