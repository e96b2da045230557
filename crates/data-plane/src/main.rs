//! The data plane's daemon.

#[tokio::main]
async fn main() {
    let settings = transport::begin(&data_plane::shell::PROGRAM);
    transport::end(
        "data-plane",
        data_plane::shell::run(settings, data_plane::ApiAdapter::own()).await,
    );
}
