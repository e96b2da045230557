//! The stages of a request, the outcomes of a call to an upstream, and what is to be done next.

use protocol::{KeyShare, Upstream};
use result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;

/// The stage that a request is in.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStage {
    /// Nothing was sent: it may be rejected.
    Waiting,
    /// A connection is being opened; still nothing was sent, and another upstream may be selected.
    Connecting {
        /// The upstream that was selected.
        upstream: Arc<Upstream>,
        /// The key range that the upstream owns the request's key by.
        share: Option<KeyShare>,
    },
    /// An upstream (or the next proxy) may have it: it can't be rejected as not executed any more.
    Sent {
        /// The upstream's instance, or the locality that it was forwarded to.
        instance: String,
    },
    /// The client has its answer; nothing changes any more.
    Answered {
        /// The answer's code.
        code: ResultCode,
    },
}

/// The outcome of a call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A complete response with a valid seal.
    Complete,
    /// A sealed response says that the upstream did not and will not execute the request.
    NotExecuted,
    /// No byte can have reached the upstream: none left this process.
    NotConnected,
    /// The request may have reached the upstream, and no complete response came.
    ResponseLost,
    /// A response that is partial, unsealed or meant for another request.
    InvalidResponse,
    /// Complete and sealed, but by another instance: the one that was called is not there any more.
    InstanceReplaced,
    /// The same, and the other instance says that it did not and will not execute the request.
    InstanceReplacedNotExecuted,
    /// The upstream does not own the key, and did not and will not execute the request.
    KeyNotOwned,
    /// A complete response that says that the request failed.
    Failed,
    /// No response came in time.
    TimedOut,
}

impl CallOutcome {
    /// The code that a request is answered with where this outcome is its last.
    pub(crate) fn result_code(&self) -> ResultCode {
        match self {
            CallOutcome::Complete => ResultCode::Success,
            CallOutcome::NotExecuted | CallOutcome::InstanceReplacedNotExecuted => {
                ResultCode::Overloaded
            }
            CallOutcome::KeyNotOwned => ResultCode::KeyUnassigned,
            CallOutcome::Failed => ResultCode::UpstreamFailed,
            CallOutcome::NotConnected => ResultCode::RetryBudgetExhausted,
            CallOutcome::ResponseLost => ResultCode::ResponseLost,
            CallOutcome::InvalidResponse | CallOutcome::InstanceReplaced => {
                ResultCode::InvalidResponse
            }
            CallOutcome::TimedOut => ResultCode::UpstreamTimeout,
        }
    }

    /// True where the instance that was called gave a complete response, whatever it says: it is in good health.
    pub(crate) fn is_own_response(&self) -> bool {
        matches!(
            self,
            CallOutcome::Complete
                | CallOutcome::NotExecuted
                | CallOutcome::KeyNotOwned
                | CallOutcome::Failed
        )
    }
}

/// What is to be done next.
#[derive(Clone, Debug)]
pub enum NextStep {
    /// Open a connection to this upstream, then call [`RequestState::on_connected`](crate::RequestState::on_connected).
    /// Nothing is sent yet.
    Connect {
        /// The upstream that was selected.
        upstream: Arc<Upstream>,
        /// The time left.
        within: Duration,
    },
    /// Write the request on the connection that just came up, at once.
    Send {
        /// The key range that the upstream owns the request's key by.
        share: Option<KeyShare>,
        /// The time left.
        within: Duration,
    },
    /// Forward the request to one of these proxies, once.
    Forward {
        /// The proxies' addresses, in the order in which they are to be tried.
        proxies: Vec<String>,
        /// The time left.
        within: Duration,
    },
    /// No slot is free: call [`RequestState::on_wake_up`](crate::RequestState::on_wake_up) at the wake-up, or when this
    /// span is over.
    Wait {
        /// The most that it may wait.
        within: Duration,
    },
    /// Pass the upstream's response to the client.
    PassResponse,
    /// Answer the client with a code.
    Answer {
        /// The answer's code.
        code: ResultCode,
        /// When the client should come back, where that helps.
        retry_after: Option<Duration>,
    },
}
