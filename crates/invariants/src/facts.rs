//! What was seen from outside the system, in the order it was seen. Checkers know nothing else.

use crate::history::{Order, Reply};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What an answer of a control node vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vouched {
    /// An order was taken.
    Order,
    /// This is what holds.
    Reading,
    /// Nothing more will be sent to an upstream that leaves.
    Leaving,
    /// An upstream that stays was heard.
    Heartbeat,
}

/// One thing seen, by a stand-in or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// An upstream was handed a try; `service` is what the try is for.
    Arrived {
        try_id: String,
        service: String,
        instance: String,
        locality: String,
        cold: bool,
    },
    /// An upstream did a piece of work.
    Ran {
        work: String,
        try_id: String,
        once: bool,
    },
    /// An origin made a try.
    Tried { work: String, try_id: String },
    /// An origin got the final answer of a try. `whole`: a success whose seal, try and work are right.
    Answered {
        try_id: String,
        code: u32,
        success: bool,
        whole: bool,
        not_run: bool,
    },
    /// An origin used an address this long after the directory gave it.
    AddressUsed { age: Duration },
    /// An upstream told that it leaves.
    Leaving { instance: String },
    /// The system said yes to an evacuation; or an operator asked to take the place back, which may be in force before
    /// the yes comes.
    Evacuated { locality: String, back: bool },
    /// The system said yes to an edition.
    Accepted { revision: u64 },
    /// A node that says it serves has this edition in force.
    InForce { node: String, revision: u64 },
    /// An operator read the setup back from a node.
    ReadBack {
        node: String,
        revision: u64,
        digest: String,
        asked_at: Duration,
    },
    /// An operator's setup, accepted under an edition; where it leads the probes, and how long the yes took.
    Submitted {
        revision: u64,
        digest: String,
        mark: usize,
        took: Duration,
    },
    /// An operator asks for a setup with a number of its own.
    Offered { number: u64, digest: String },
    /// The system said yes to such a one, which it may have because a higher one holds.
    Acknowledged { number: u64 },
    /// An operator calls for something, by a name of the call's own, however often it is sent.
    CallError { call: String, order: Order },
    /// An operator is told the outcome of a call; again where it was sent again.
    Returned { call: String, reply: Reply },
    /// What was left after a lost majority was put in force.
    Rescued,
    /// A probe through this proxy came to a marking upstream.
    Probed { node: String, mark: usize },
    /// An upstream holds slots, or numeric keys, of a keyed service until a moment, unless it lets go.
    Holds {
        service: String,
        keys: Range<u32>,
        instance: String,
        until: Duration,
    },
    LetGo {
        service: String,
        keys: Range<u32>,
        instance: String,
    },
    /// A control node is cut off from all others from now on, in one direction at least.
    Isolated { node: String },
    /// It is no longer.
    Joined { node: String },
    /// A control node that was cut off vouched for something that it was asked at that moment.
    Vouched {
        node: String,
        what: Vouched,
        asked_at: Duration,
    },
    /// A fault was brought about, or healed.
    Fault { what: String },
}

/// How one piece of work ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at: Duration,
    pub took: Duration,
    pub service: &'static str,
    /// The last code, 0 where no node could be reached.
    pub code: u32,
    pub tries: u32,
}

/// A fact and when it was seen.
pub type Seen = (Duration, Fact);

/// A shared record of facts.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<Seen>>>);

impl Record {
    /// Notes a fact.
    ///
    /// ```
    /// use invariants::facts::{Fact, Record};
    /// let record = Record::default();
    /// record.note(std::time::Duration::ZERO, Fact::Fault { what: "none".into() });
    /// assert_eq!(record.all().len(), 1);
    /// ```
    pub fn note(&self, at: Duration, fact: Fact) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, fact));
    }

    /// All facts, in the order of their moments.
    ///
    /// ```
    /// assert!(invariants::facts::Record::default().all().is_empty());
    /// ```
    pub fn all(&self) -> Vec<Seen> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}
