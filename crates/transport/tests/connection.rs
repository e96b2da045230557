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

fn answer(id: &str, body: &str) -> String {
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
async fn exchange(connection: Connection, peer: &mut TcpStream, id: &str, told: &str) -> Exchange {
    let telling = async {
        let read = read_request(peer).await;
        assert!(read.contains(&format!("x-try-id: {id}\r\n")), "{read}");
        peer.write_all(told.as_bytes()).await.unwrap();
    };
    tokio::join!(connection.exchange(outbound(id), AMPLE), telling).0
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
    } = exchange(connection, &mut peer, "t-1", &answer("t-1", "one")).await;
    assert_eq!(&reply.unwrap().body[..], b"one");
    drop(peer);
    tokio::task::yield_now().await;
    let began = Instant::now();
    let Exchange {
        result: called,
        connection: again,
    } = kept.unwrap().exchange(outbound("t-2"), AMPLE).await;
    assert_eq!(
        (called.unwrap_err(), again.is_none()),
        (CallError::NotConnected, true)
    );
    assert!(began.elapsed() < AMPLE / 2, "it is known at once");
}

#[tokio::test]
async fn a_request_that_meets_a_surplus_answer_before_its_first_byte_is_known_to_be_unsent() {
    let (connection, mut peer) = pair().await;
    let Exchange {
        connection: kept, ..
    } = exchange(connection, &mut peer, "t-1", &answer("t-1", "one")).await;
    peer.write_all(answer("t-1", "one").as_bytes())
        .await
        .unwrap();
    let Exchange {
        result: called,
        connection: again,
    } = kept.unwrap().exchange(outbound("t-2"), AMPLE).await;
    assert_eq!(
        (called.unwrap_err(), again.is_none()),
        (CallError::NotConnected, true)
    );
    assert_eq!(read_request(&mut peer).await, "", "no byte of it left");
}

#[tokio::test]
async fn what_stands_on_an_idle_connection_is_seen_before_it_is_used() {
    for told in [answer("t-1", "one"), "\r\n".to_owned(), String::new()] {
        let (connection, mut peer) = pair().await;
        let Exchange {
            connection: kept, ..
        } = exchange(connection, &mut peer, "t-1", &answer("t-1", "one")).await;
        peer.write_all(told.as_bytes()).await.unwrap();
        let peer = Some(peer).filter(|_| !told.is_empty());
        let looked = tokio::time::timeout(AMPLE, until_readable(kept.unwrap())).await;
        assert!(looked.unwrap().is_none(), "{told:?}");
        drop(peer);
    }
}

#[tokio::test]
async fn a_part_of_a_request_may_have_been_read() {
    let (connection, peer) = pair().await;
    let long = OutboundRequest {
        body: vec![0; LONG].into(),
        ..outbound("t-1")
    };
    let Exchange {
        result: called,
        connection: again,
    } = connection.exchange(long, Duration::from_millis(30)).await;
    assert_eq!(
        (called.unwrap_err(), again.is_none()),
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
            result: called,
            connection: again,
        },
        (),
    ) = tokio::join!(connection.exchange(long, AMPLE), resetting);
    assert_eq!(
        (called.unwrap_err(), again.is_none()),
        (CallError::ConnectionLost, true)
    );
}

#[tokio::test]
async fn an_answer_before_the_request_was_whole_ends_the_connection() {
    let early = |told: String, id: Option<ResponseId<'static>>| async move {
        let (connection, mut peer) = pair().await;
        let long = OutboundRequest {
            body: vec![0; LONG].into(),
            id,
            ..outbound("t-1")
        };
        let mut head = vec![0; 64];
        let telling = async {
            peer.read_exact(&mut head).await.unwrap();
            peer.write_all(told.as_bytes()).await.unwrap();
        };
        let (
            Exchange {
                result: called,
                connection: again,
            },
            (),
        ) = tokio::join!(connection.exchange(long, AMPLE), telling);
        assert!(again.is_none());
        called.map(|reply| reply.status)
    };
    let id = Some(ResponseId {
        header: "x-try-id",
        value: "t-1",
    });
    assert_eq!(
        early(answer("t-1", "own"), id).await,
        Ok(200),
        "it says whose it is"
    );
    assert_eq!(
        early(answer("t-0", "of another"), id).await,
        Err(CallError::InvalidResponse)
    );
    let too_large = "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(
        early(too_large.into(), None).await,
        Ok(413),
        "a refusal needs not have read all"
    );
    assert_eq!(
        early(answer("t-1", "own"), None).await,
        Err(CallError::InvalidResponse),
        "a success of nobody knows what"
    );
}

#[tokio::test]
async fn the_answer_behind_those_to_other_requests_is_found_and_the_connection_ends() {
    let (connection, mut peer) = pair().await;
    let Exchange {
        connection: kept, ..
    } = exchange(connection, &mut peer, "t-1", &answer("t-1", "one")).await;
    let told = [
        answer("t-1", "one"),
        answer("t-0", ""),
        answer("t-2", "two"),
    ]
    .concat();
    let Exchange {
        result: called,
        connection: again,
    } = exchange(kept.unwrap(), &mut peer, "t-2", &told).await;
    assert_eq!(
        (&called.unwrap().body[..], again.is_none()),
        (&b"two"[..], true)
    );
}

#[tokio::test]
async fn the_next_answer_may_come_in_any_pieces() {
    let told = [answer("t-0", "of another"), answer("t-1", "own")].concat();
    for cut in 1..told.len() {
        let (connection, mut peer) = pair().await;
        let telling = async {
            read_request(&mut peer).await;
            peer.write_all(&told.as_bytes()[..cut]).await.unwrap();
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            peer.write_all(&told.as_bytes()[cut..]).await.unwrap();
        };
        let (
            Exchange {
                result: called,
                connection: again,
            },
            (),
        ) = tokio::join!(connection.exchange(outbound("t-1"), AMPLE), telling);
        assert_eq!(
            (&called.unwrap().body[..], again.is_none()),
            (&b"own"[..], true),
            "cut at {cut}"
        );
    }
}

#[tokio::test]
async fn an_answer_that_names_nobody_counts_on_a_connection_of_its_own_only() {
    let nameless = "HTTP/1.1 503 No Room\r\ncontent-length: 0\r\n\r\n";
    let (connection, mut peer) = pair().await;
    let Exchange {
        result: called,
        connection: kept,
    } = exchange(connection, &mut peer, "t-1", nameless).await;
    assert_eq!(called.unwrap().status, 503);
    let Exchange {
        result: called,
        connection: again,
    } = exchange(kept.unwrap(), &mut peer, "t-2", nameless).await;
    assert_eq!(
        (called.unwrap_err(), again.is_none()),
        (CallError::InvalidResponse, true)
    );
}

#[tokio::test]
async fn a_body_whose_end_nobody_tells_is_never_whole() {
    let (connection, mut peer) = pair().await;
    let telling = async {
        read_request(&mut peer).await;
        peer.write_all(b"HTTP/1.1 200 OK\r\nx-try-id: t-1\r\n\r\nperhaps all")
            .await
            .unwrap();
        drop(peer);
    };
    let (
        Exchange {
            result: called,
            connection: again,
        },
        (),
    ) = tokio::join!(connection.exchange(outbound("t-1"), AMPLE), telling);
    assert_eq!(
        (called.unwrap_err(), again.is_none()),
        (CallError::InvalidResponse, true)
    );
}

#[tokio::test]
async fn an_answer_without_a_body_leaves_the_connection_in_doubt() {
    let (connection, mut peer) = pair().await;
    let head = OutboundRequest {
        method: "HEAD",
        ..outbound("t-1")
    };
    let telling = async {
        read_request(&mut peer).await;
        peer.write_all(b"HTTP/1.1 200 OK\r\nx-try-id: t-1\r\ncontent-length: 99\r\n\r\n")
            .await
            .unwrap();
    };
    let (
        Exchange {
            result: called,
            connection: again,
        },
        (),
    ) = tokio::join!(connection.exchange(head, AMPLE), telling);
    assert_eq!((called.unwrap().status, again.is_none()), (200, true));
}
