//! A server that closes while a request is still under way.

use bytes::Bytes;
use result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use transport::{HttpClient, HttpRequest};

const LIMIT: Duration = Duration::from_secs(10);

/// A connection that the kernel took and nobody reads would hang until the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_closing_server_refuses_connections_while_requests_are_under_way() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = socket.local_addr().expect("bound").to_string();
    let (close, closing) = watch::channel(false);
    let (entered, go_on) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (entering, going_on) = (entered.clone(), go_on.clone());
    let server = tokio::spawn(transport::serve(socket, closing, move |_: HttpRequest| {
        let (entering, going_on) = (entering.clone(), going_on.clone());
        async move {
            entering.notify_one();
            going_on.notified().await;
            transport::body_response(ResultCode::Success, "text/plain", Bytes::from("done"))
        }
    }));
    let (client, slow_address) = (HttpClient::default(), address.clone());
    let slow = tokio::spawn(async move {
        let body = Bytes::new();
        client
            .call(&slow_address, "POST", "/", &[], body, LIMIT, false)
            .await
    });
    tokio::time::timeout(LIMIT, entered.notified())
        .await
        .expect("the request is under way");
    close.send(true).expect("the server listens");
    let refused = async {
        while TcpStream::connect(&address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LIMIT / 2, refused)
        .await
        .expect("it takes no connection that it would not read");
    go_on.notify_one();
    let reply = slow.await.expect("no panic").expect("an answer");
    assert_eq!(&reply.body[..], b"done");
    tokio::time::timeout(LIMIT, server)
        .await
        .expect("it ends")
        .expect("no panic");
}
