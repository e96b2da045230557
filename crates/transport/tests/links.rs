//! Links between two processes: what waited too long is not sent any more.

use protocol::{HeartbeatDigest, Payload};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{advance, pause, resume};
use transport::{Arrival, Links, MAX_QUEUE_TIME};

fn heartbeat_digest(heartbeat_number: u64) -> Payload {
    Payload::HeartbeatDigest(HeartbeatDigest {
        heartbeat_numbers: vec![heartbeat_number],
        ..HeartbeatDigest::default()
    })
}

/// Two processes, the first of which knows where to reach the second.
async fn pair() -> (Links, mpsc::Receiver<Arrival>, Links) {
    let (arrivals, arrivals_of_receiver) = mpsc::channel(8);
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let receiver = Links::open("b".into(), Some(socket), arrivals);
    let sender = Links::open("a".into(), None, mpsc::channel(8).0);
    sender.set_addresses([("b".into(), address)].into());
    (sender, arrivals_of_receiver, receiver)
}

/// What arrives first of a message that waited for so long, and one that did not.
async fn first_after(queue_time: Duration) -> Payload {
    let (sender, mut arrivals_of_receiver, _receiver) = pair().await;
    pause();
    // The connection is only begun once this task waits: until then the message lies in the link's queue.
    sender.send("b", heartbeat_digest(1));
    advance(queue_time).await;
    resume();
    sender.send("b", heartbeat_digest(2));
    arrivals_of_receiver.recv().await.unwrap().payload
}

#[tokio::test]
async fn a_message_that_waited_too_long_is_dropped_and_the_next_one_is_sent() {
    assert_eq!(first_after(MAX_QUEUE_TIME).await, heartbeat_digest(2));
}

#[tokio::test]
async fn messages_that_waited_less_are_sent_in_order() {
    assert_eq!(
        first_after(MAX_QUEUE_TIME - Duration::from_millis(1)).await,
        heartbeat_digest(1)
    );
}
