//! Why a request went where it went: compact while it is noted, text only once somebody asks.

use config::Route;
use protocol::Upstream;
use result_code::ResultCode;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Why an upstream was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    Leaving,
    Evacuated,
    OutsideHomes,
    OtherHolder,
    Tried,
    /// Another instance answered at its address.
    Replaced,
    NoSlot,
    WarmingUp,
    /// It stood in the view when it was chosen, and does not any more.
    Gone,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::Leaving => "leaving",
            RejectReason::Evacuated => "evacuated locality",
            RejectReason::OutsideHomes => "outside the home regions",
            RejectReason::OtherHolder => "does not hold the key",
            RejectReason::Tried => "tried already",
            RejectReason::Replaced => "another instance answers at its address",
            RejectReason::NoSlot => "no free slot",
            RejectReason::WarmingUp => "warming up",
            RejectReason::Gone => "gone",
        })
    }
}

/// One decision on a request's way.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    Asked {
        name: String,
        route: Arc<Route>,
        revision: u64,
    },
    Owner {
        locality: String,
        epoch: u64,
    },
    Tombstone {
        to: String,
        epoch: u64,
    },
    Forwarded {
        to: String,
    },
    Passed {
        upstream: Arc<Upstream>,
        why: RejectReason,
    },
    Connecting {
        upstream: Arc<Upstream>,
    },
    Withdrawn {
        upstream: Arc<Upstream>,
        why: RejectReason,
    },
    Sent {
        upstream: Arc<Upstream>,
    },
    /// The connection turned out to be closed before a byte went out.
    Unsent {
        upstream: Arc<Upstream>,
    },
    Waits {
        within: Duration,
    },
    CallError,
    Again {
        after: ResultCode,
    },
    Answered {
        code: ResultCode,
    },
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceEvent::Asked {
                name,
                route,
                revision,
            } => write!(
                f,
                "asked for {name}, which is name {}: route {} of edition {revision}, service {}",
                route.name,
                route.id,
                route.services().collect::<Vec<_>>().join(", ")
            ),
            TraceEvent::Owner { locality, epoch } => write!(f, "owner {locality} at epoch {epoch}"),
            TraceEvent::Tombstone { to, epoch } => {
                write!(f, "mark here: moved to {to} at epoch {epoch}")
            }
            TraceEvent::Forwarded { to } => write!(f, "forwarded to {to} by the mark"),
            TraceEvent::Passed { upstream, why } => {
                write!(f, "{} passed over: {why}", upstream.instance)
            }
            TraceEvent::Connecting { upstream } => write!(
                f,
                "connecting to {} in {}",
                upstream.instance, upstream.locality
            ),
            TraceEvent::Withdrawn { upstream, why } => {
                write!(
                    f,
                    "connected to {}, but nothing was sent: {why}",
                    upstream.instance
                )
            }
            TraceEvent::Sent { upstream } => {
                write!(f, "sent to {} in {}", upstream.instance, upstream.locality)
            }
            TraceEvent::Unsent { upstream } => {
                write!(
                    f,
                    "the kept connection to {} was closed, and nothing was sent",
                    upstream.instance
                )
            }
            TraceEvent::Waits { within } => {
                write!(f, "waits for a seat, {} ms at most", within.as_millis())
            }
            TraceEvent::CallError => f.write_str("called: a seat may be free"),
            TraceEvent::Again { after } => write!(f, "sent again after: {after}"),
            TraceEvent::Answered { code } => write!(f, "answered: {code}"),
        }
    }
}
