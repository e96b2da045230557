//! Where a request stands, what came of its last call, and what to do next.

use protocol::{KeyShare, Upstream};
use result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStage {
    /// Nothing was sent: it may be denied.
    Waiting,
    /// A connection is being opened; still nothing was sent, and another may be chosen.
    Connecting {
        upstream: Arc<Upstream>,
        share: Option<KeyShare>,
    },
    /// An upstream (or the next proxy) may have it: 'busy' can't be said any more.
    Sent {
        instance: String,
    },
    Answered {
        code: ResultCode,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A whole, sealed verdict.
    Complete,
    /// The upstream sealed that it did not and will not run it.
    NotExecuted,
    /// No byte can have reached it: none left this process.
    NotConnected,
    /// It may have reached it, and no whole verdict came.
    ResponseLost,
    /// Partial, unsealed or foreign.
    InvalidResponse,
    /// Whole and sealed, but by another instance: the one that was called is not there any more.
    InstanceReplaced,
    /// The same, and what answered says that it did not and will not run it.
    InstanceReplacedNotExecuted,
    /// It does not hold the key, and did not and will not run it.
    KeyNotOwned,
    /// A whole verdict that says that it failed.
    Failed,
    TimedOut,
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum NextStep {
    /// Open a connection to this upstream and tell [`RequestState::connected`]. Nothing is sent yet.
    Connect {
        upstream: Arc<Upstream>,
        within: Duration,
    },
    /// Write the request on the connection that just came up, at once.
    Send {
        share: Option<KeyShare>,
        within: Duration,
    },
    /// Hand it to one of these proxies, once.
    Forward {
        proxies: Vec<String>,
        within: Duration,
    },
    /// No seat is free: tell [`RequestState::called`] when the bell rings, or when this span is over.
    Wait { within: Duration },
    /// Pass the verdict that came.
    PassResponse,
    /// Answer with a code, and when to come back where that helps.
    Answer {
        code: ResultCode,
        retry_after: Option<Duration>,
    },
}
