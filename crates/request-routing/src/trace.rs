//! Why a request went where it went: compact while it is recorded, text only once somebody asks.
//!
//! The texts are an interface of operators (`/trace`): they stay as they are, also where newer terms exist.

use config::Route;
use protocol::Upstream;
use result_code::ResultCode;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Why an upstream was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It is draining, or deregistered.
    Draining,
    /// Its locality is evacuated.
    Evacuated,
    /// Its locality is outside the home regions of the service or the route.
    OutsideHomes,
    /// Another instance owns the request's key.
    KeyOwnedElsewhere,
    /// This request was sent to it before.
    AlreadyTried,
    /// Another instance answered at its address.
    InstanceReplaced,
    /// It has no free slot for this proxy.
    NoSlot,
    /// It is warming up, and this proxy's part of its slow-start rate is used up.
    WarmingUp,
    /// It gets more than it bears while it warms up, and has not confirmed lately that it is warm.
    WarmthUnconfirmed {
        /// The answer to a health check may come at any moment.
        is_answer_near: bool,
    },
    /// It was in the view when it was selected, and is not any more.
    Removed,
}

impl RejectReason {
    /// True where an answer that may come at any moment may remove the reason.
    pub(crate) fn is_answer_near(self) -> bool {
        let near = RejectReason::WarmthUnconfirmed {
            is_answer_near: true,
        };
        self == near
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::Draining => "leaving",
            RejectReason::Evacuated => "evacuated locality",
            RejectReason::OutsideHomes => "outside the home regions",
            RejectReason::KeyOwnedElsewhere => "does not hold the key",
            RejectReason::AlreadyTried => "tried already",
            RejectReason::InstanceReplaced => "another instance answers at its address",
            RejectReason::NoSlot => "no free slot",
            RejectReason::WarmingUp => "warming up",
            RejectReason::WarmthUnconfirmed { .. } => "not confirmed to be warm",
            RejectReason::Removed => "gone",
        })
    }
}

/// One decision on a request.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    /// The name and path lead to a route.
    RouteResolved {
        /// The name asked for.
        name: String,
        /// The route.
        route: Arc<Route>,
        /// The configuration's revision.
        revision: u64,
    },
    /// One locality owns the name.
    Owner {
        /// The locality.
        locality: String,
        /// The epoch since which it does.
        epoch: u64,
    },
    /// The name was owned here before.
    Tombstone {
        /// The locality that it moved to.
        to: String,
        /// The epoch of the move.
        epoch: u64,
    },
    /// The request goes to a proxy of another locality.
    Forwarded {
        /// The locality that owns the name.
        to: String,
    },
    /// An upstream was passed over.
    UpstreamRejected {
        /// The upstream.
        upstream: Arc<Upstream>,
        /// Why.
        reason: RejectReason,
    },
    /// An upstream was selected.
    Connecting {
        /// The upstream.
        upstream: Arc<Upstream>,
    },
    /// The connection came up, but the upstream may not be used any more.
    SelectionWithdrawn {
        /// The upstream.
        upstream: Arc<Upstream>,
        /// Why.
        reason: RejectReason,
    },
    /// The request is written.
    Sent {
        /// The upstream.
        upstream: Arc<Upstream>,
    },
    /// The connection turned out to be closed before a byte went out.
    NotWritten {
        /// The upstream.
        upstream: Arc<Upstream>,
    },
    /// No slot is free: the request is queued.
    Queued {
        /// The most that it waits.
        within: Duration,
    },
    /// A slot may be free, or the wait is over.
    WokenUp,
    /// The request goes to another upstream.
    Retried {
        /// What the last one came to.
        after: ResultCode,
    },
    /// The client has its answer.
    Answered {
        /// The answer's code.
        code: ResultCode,
    },
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceEvent::RouteResolved {
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
            TraceEvent::UpstreamRejected { upstream, reason } => {
                write!(f, "{} passed over: {reason}", upstream.instance)
            }
            TraceEvent::Connecting { upstream } => write!(
                f,
                "connecting to {} in {}",
                upstream.instance, upstream.locality
            ),
            TraceEvent::SelectionWithdrawn { upstream, reason } => {
                write!(
                    f,
                    "connected to {}, but nothing was sent: {reason}",
                    upstream.instance
                )
            }
            TraceEvent::Sent { upstream } => {
                write!(f, "sent to {} in {}", upstream.instance, upstream.locality)
            }
            TraceEvent::NotWritten { upstream } => {
                write!(
                    f,
                    "the kept connection to {} was closed, and nothing was sent",
                    upstream.instance
                )
            }
            TraceEvent::Queued { within } => {
                write!(f, "waits for a seat, {} ms at most", within.as_millis())
            }
            TraceEvent::WokenUp => f.write_str("called: a seat may be free"),
            TraceEvent::Retried { after } => write!(f, "sent again after: {after}"),
            TraceEvent::Answered { code } => write!(f, "answered: {code}"),
        }
    }
}
