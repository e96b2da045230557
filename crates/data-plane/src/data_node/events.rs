//! What a data-plane node starts from, what happens to it, and what it wants done.

use name_directory::ConfigurationParser;
use protocol::{KeyLoad, Member, Payload};
use std::time::Duration;

/// A data-plane node's time values.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Those of membership.
    pub membership: membership::MembershipTiming,
    /// How often it asks its control node for updates.
    pub poll_interval: Duration,
    /// After an answer that takes longer it turns to another control node.
    pub answer_timeout: Duration,
    /// How long clients keep an address.
    pub lifetime: Duration,
}

/// The phases of a graceful shutdown: clients that still have this node's address are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// Not ready and out of membership, but still serving until every address given out has run out.
    Draining {
        /// When the last address given out has run out.
        until: Duration,
    },
    /// New requests are rejected; those under way are finished.
    Rejecting,
}

/// What a data-plane node starts from.
pub struct Start {
    /// This node, as others get to know it.
    pub me: Member,
    /// Addresses of other nodes, to find them all by.
    pub seeds: Vec<String>,
    /// The seed of its random draws.
    pub seed: u64,
    /// How configurations are parsed.
    pub reader: ConfigurationParser,
    /// Its time values.
    pub times: Times,
}

/// What happens to a data-plane node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message came in over a link.
    Received {
        /// The sender's node id.
        from: String,
        /// The message.
        body: Payload,
    },
    /// A datagram came in.
    Datagram {
        /// The sender's address.
        address: String,
        /// The message.
        body: Payload,
    },
    /// Requests by key since the last time.
    KeyLoadsCounted(Vec<KeyLoad>),
    /// The settings name other seeds.
    SeedsChanged(Vec<String>),
    /// It is to shut down.
    Shutdown,
}

/// What a data-plane node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message over a link.
    Send {
        /// The receiver's node id.
        to: String,
        /// The message.
        body: Payload,
    },
    /// Send a datagram.
    Datagram {
        /// The receiver's address.
        address: String,
        /// The message.
        body: Payload,
    },
    /// These are the link addresses of all members, by node id.
    Addresses(Vec<(String, String)>),
    /// The view changed: publish it.
    Publish,
    /// A phase of its shutdown began.
    Phase(Phase),
    /// A line for the log.
    Log(String),
}
