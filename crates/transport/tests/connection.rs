//! One connection against a peer that is written out byte by byte.

use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use transport::{CallError, Connection, ConnectionPool, Exchange, OutboundRequest, ResponseId};

const AMPLE: Duration = Duration::from_secs(20);
/// More than the kernel takes for a peer that does not read.
const LONG: usize = 64 * 1024 * 1024;

async fn pair() -> (Connection, TcpStream) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let (connection, accepted) = tokio::join!(Connection::open(&address, AMPLE), socket.accept());
    (connection.unwrap(), accepted.unwrap().0)
}

fn outbound(id: &str) -> OutboundRequest<'_> {
    let headers = transport::header_map(&[("x-try-id", id)]);
    let id = Some(ResponseId {
        header: "x-try-id",
        value: id,
    });
    OutboundRequest {
        method: "POST",
        path: "/",
        headers,
        id,
        ..OutboundRequest::default()
    }
}

fn response_text(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-try-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one request without a body; empty where the other side is gone.
async fn read_request(peer: &mut TcpStream) -> String {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        match peer.read_buf(&mut read).await {
            Ok(1..) => {}
            _ => break,
        }
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// One exchange, with what the peer does once it read the request.
async fn exchange(
    connection: Connection,
    peer: &mut TcpStream,
    id: &str,
    response_bytes: &str,
) -> Exchange {
    let responding = async {
        let read = read_request(peer).await;
        assert!(read.contains(&format!("x-try-id: {id}\r\n")), "{read}");
        peer.write_all(response_bytes.as_bytes()).await.unwrap();
    };
    tokio::join!(connection.exchange(outbound(id), AMPLE), responding).0
}

/// Waits until something stands on the socket, or its end does.
async fn until_readable(connection: Connection) -> Option<Connection> {
    let pool = ConnectionPool::default();
    let address = connection.address().to_owned();
    pool.keep(connection);
    let mut kept = pool.take(&address).await;
    while let Some(quiet) = kept {
        tokio::task::yield_now().await;
        pool.keep(quiet);
        kept = pool.take(&address).await;
    }
    kept
}

#[tokio::test]
async fn a_request_that_meets_a_closed_connection_is_known_to_be_unsent() {
    let (connection, mut peer) = pair().await;
    let Exchange {
        result: reply,
        connection: kept,
    } = exchange(connection, &mut peer, "t-1", &response_text("t-1", "one")).await;
    assert_eq!(&reply.unwrap().body[..], b"one");
    drop(peer);
    tokio::task::yield_now().await;
    let began = Instant::now();
    let Exchange {
        result,
        connection: reusable,
    } = kept.unwrap().exchange(outbound("t-2"), AMPLE).await;
    assert_eq!(
        (result.unwrap_err(), reusable.is_none()),
        (CallError::NotConnected, true)
    );
    assert!(began.elapsed() < AMPLE / 2, "it is known at once");
}

#[tokio::test]
async fn a_request_that_meets_a_surplus_response_before_its_first_byte_is_known_to_be_unsent() {
    let (connection, mut peer) = pair().await;
    let Exchange {
        connection: kept, ..
    } = exchange(connection, &mut peer, "t-1", &response_text("t-1", "one")).await;
    peer.write_all(response_text("t-1", "one").as_bytes())
        .await
        .unwrap();
    let Exchange {
        result,
        connection: reusable,
    } = kept.unwrap().exchange(outbound("t-2"), AMPLE).await;
    assert_eq!(
        (result.unwrap_err(), reusable.is_none()),
        (CallError::NotConnected, true)
    );
    assert_eq!(read_request(&mut peer).await, "", "no byte of it left");
}

#[tokio::test]
async fn bytes_on_an_idle_connection_are_noticed_before_it_is_reused() {
    for response_bytes in [
        response_text("t-1", "one"),
        "\r\n".to_owned(),
        String::new(),
    ] {
        let (connection, mut peer) = pair().await;
        let Exchange {
            connection: kept, ..
        } = exchange(connection, &mut peer, "t-1", &response_text("t-1", "one")).await;
        peer.write_all(response_bytes.as_bytes()).await.unwrap();
        let peer = Some(peer).filter(|_| !response_bytes.is_empty());
        let connection_if_quiet = tokio::time::timeout(AMPLE, until_readable(kept.unwrap())).await;
        assert!(connection_if_quiet.unwrap().is_none(), "{response_bytes:?}");
        drop(peer);
    }
}

#[tokio::test]
async fn a_partly_sent_request_may_have_been_read() {
    let (connection, peer) = pair().await;
    let long = OutboundRequest {
        body: vec![0; LONG].into(),
        ..outbound("t-1")
    };
    let Exchange {
        result,
        connection: reusable,
    } = connection.exchange(long, Duration::from_millis(30)).await;
    assert_eq!(
        (result.unwrap_err(), reusable.is_none()),
        (CallError::TimedOut, true)
    );
    drop(peer);

    let (connection, mut peer) = pair().await;
    let long = OutboundRequest {
        body: vec![0; LONG].into(),
        ..outbound("t-1")
    };
    let resetting = async {
        peer.read_exact(&mut [0; 64]).await.unwrap();
        socket2::SockRef::from(&peer)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(peer);
    };
    let (
        Exchange {
            result,
            connection: reusable,
        },
        (),
    ) = tokio::join!(connection.exchange(long, AMPLE), resetting);
    assert_eq!(
        (result.unwrap_err(), reusable.is_none()),
        (CallError::ConnectionLost, true)
    );
}

#[tokio::test]
async fn a_response_before_the_request_is_complete_closes_the_connection() {
    let early = |response_bytes: String, id: Option<ResponseId<'static>>| async move {
        let (connection, mut peer) = pair().await;
        let long = OutboundRequest {
            body: vec![0; LONG].into(),
            id,
            ..outbound("t-1")
        };
        let mut head = vec![0; 64];
        let responding = async {
            peer.read_exact(&mut head).await.unwrap();
            peer.write_all(response_bytes.as_bytes()).await.unwrap();
        };
        let (
            Exchange {
                result,
                connection: reusable,
            },
            (),
        ) = tokio::join!(connection.exchange(long, AMPLE), responding);
        assert!(reusable.is_none());
        result.map(|reply| reply.status)
    };
    let id = Some(ResponseId {
        header: "x-try-id",
        value: "t-1",
    });
    assert_eq!(
        early(response_text("t-1", "own"), id).await,
        Ok(200),
        "it says whose it is"
    );
    assert_eq!(
        early(response_text("t-0", "of another"), id).await,
        Err(CallError::InvalidResponse)
    );
    let too_large = "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(
        early(too_large.into(), None).await,
        Ok(413),
        "a refusal needs not have read all"
    );
    assert_eq!(
        early(response_text("t-1", "own"), None).await,
        Err(CallError::InvalidResponse),
        "a success of nobody knows what"
    );
}

#[tokio::test]
async fn the_response_behind_those_to_other_requests_is_found_and_the_connection_closes() {
    let (connection, mut peer) = pair().await;
    let Exchange {
        connection: kept, ..
    } = exchange(connection, &mut peer, "t-1", &response_text("t-1", "one")).await;
    let response_bytes = [
        response_text("t-1", "one"),
        response_text("t-0", ""),
        response_text("t-2", "two"),
    ]
    .concat();
    let Exchange {
        result,
        connection: reusable,
    } = exchange(kept.unwrap(), &mut peer, "t-2", &response_bytes).await;
    assert_eq!(
        (&result.unwrap().body[..], reusable.is_none()),
        (&b"two"[..], true)
    );
}

#[tokio::test]
async fn the_next_response_may_arrive_in_any_pieces() {
    let response_bytes = [
        response_text("t-0", "of another"),
        response_text("t-1", "own"),
    ]
    .concat();
    for cut in 1..response_bytes.len() {
        let (connection, mut peer) = pair().await;
        let responding = async {
            read_request(&mut peer).await;
            peer.write_all(&response_bytes.as_bytes()[..cut])
                .await
                .unwrap();
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            peer.write_all(&response_bytes.as_bytes()[cut..])
                .await
                .unwrap();
        };
        let (
            Exchange {
                result,
                connection: reusable,
            },
            (),
        ) = tokio::join!(connection.exchange(outbound("t-1"), AMPLE), responding);
        assert_eq!(
            (&result.unwrap().body[..], reusable.is_none()),
            (&b"own"[..], true),
            "cut at {cut}"
        );
    }
}

#[tokio::test]
async fn a_response_without_an_id_counts_only_on_a_connection_of_its_own() {
    let nameless = "HTTP/1.1 503 No Room\r\ncontent-length: 0\r\n\r\n";
    let (connection, mut peer) = pair().await;
    let Exchange {
        result,
        connection: kept,
    } = exchange(connection, &mut peer, "t-1", nameless).await;
    assert_eq!(result.unwrap().status, 503);
    let Exchange {
        result,
        connection: reusable,
    } = exchange(kept.unwrap(), &mut peer, "t-2", nameless).await;
    assert_eq!(
        (result.unwrap_err(), reusable.is_none()),
        (CallError::InvalidResponse, true)
    );
}

#[tokio::test]
async fn a_body_of_unknown_length_is_never_complete() {
    let (connection, mut peer) = pair().await;
    let responding = async {
        read_request(&mut peer).await;
        peer.write_all(b"HTTP/1.1 200 OK\r\nx-try-id: t-1\r\n\r\nperhaps all")
            .await
            .unwrap();
        drop(peer);
    };
    let (
        Exchange {
            result,
            connection: reusable,
        },
        (),
    ) = tokio::join!(connection.exchange(outbound("t-1"), AMPLE), responding);
    assert_eq!(
        (result.unwrap_err(), reusable.is_none()),
        (CallError::InvalidResponse, true)
    );
}

#[tokio::test]
async fn a_response_without_a_body_closes_the_connection() {
    let (connection, mut peer) = pair().await;
    let head = OutboundRequest {
        method: "HEAD",
        ..outbound("t-1")
    };
    let responding = async {
        read_request(&mut peer).await;
        peer.write_all(b"HTTP/1.1 200 OK\r\nx-try-id: t-1\r\ncontent-length: 99\r\n\r\n")
            .await
            .unwrap();
    };
    let (
        Exchange {
            result,
            connection: reusable,
        },
        (),
    ) = tokio::join!(connection.exchange(head, AMPLE), responding);
    assert_eq!((result.unwrap().status, reusable.is_none()), (200, true));
}
