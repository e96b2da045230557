//! Upstreams that follow a script of bad manners, the proxy's real HTTP client against them, and a judge of what came
//! of it: no answer to a request it does not belong to, nothing that may not be repeated run twice, no part taken for
//! the whole, no refusal of what may have run.

mod clients;
mod judge;
mod peer;

pub use clients::{Manner, Proxy, Takes, ask_naively};
pub use judge::{Breach, judge};
pub use peer::{ACTS, Act, OPENINGS, Opening, Peer, Said, Step};

use bytes::Bytes;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// One try of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    pub id: String,
    /// True where it may run once at most.
    pub once: bool,
    pub body_bytes: usize,
}

/// What a client is told of a try.
#[derive(Clone, PartialEq, Eq)]
pub enum Told {
    Success {
        body: Bytes,
    },
    /// It did not run and never will.
    NotRun,
    /// Nobody knows.
    Unknown,
}

impl fmt::Debug for Told {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Told::Success { body } => {
                let first = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
                write!(
                    f,
                    "success of {} bytes: {}",
                    body.len(),
                    String::from_utf8_lossy(first)
                )
            }
            Told::NotRun => f.write_str("not run"),
            Told::Unknown => f.write_str("unknown"),
        }
    }
}

/// What happened, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    Asked {
        try_id: String,
        once: bool,
    },
    /// An upstream read the head of it: from here on it may run.
    Arrived {
        try_id: String,
    },
    /// An upstream wrote, whole, that it did not run it.
    SaidNotRun {
        try_id: String,
    },
    /// An upstream wrote its success, whole.
    Answered {
        try_id: String,
    },
    Told {
        try_id: String,
        told: Told,
    },
}

/// Facts that several parties note.
#[derive(Clone, Debug, Default)]
pub struct Facts(Arc<Mutex<Vec<Fact>>>);

impl Facts {
    /// Notes one.
    ///
    /// ```
    /// use testbed::scripted::{Fact, Facts};
    /// let facts = Facts::default();
    /// facts.note(Fact::Arrived { try_id: "t".into() });
    /// assert_eq!(facts.all().len(), 1);
    /// ```
    pub fn note(&self, fact: Fact) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(fact);
    }

    /// All so far.
    ///
    /// ```
    /// assert!(testbed::scripted::Facts::default().all().is_empty());
    /// ```
    pub fn all(&self) -> Vec<Fact> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// What an upstream answers to a try: no two answer alike.
///
/// ```
/// assert_ne!(testbed::scripted::work("t-1"), testbed::scripted::work("t-2"));
/// ```
pub fn work(try_id: &str) -> String {
    let lines = 1 + random::stable_hash(try_id) % 900;
    (0..lines)
        .map(|line| format!("line {line} of the work of {try_id}\n"))
        .collect()
}
