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
    Draining,
    Evacuated,
    OutsideHomes,
    KeyOwnedElsewhere,
    AlreadyTried,
    /// Another instance answered at its address.
    InstanceReplaced,
    NoSlot,
    WarmingUp,
    /// It stood in the view when it was chosen, and does not any more.
    Removed,
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
            RejectReason::Removed => "gone",
        })
    }
}

/// One decision on a request's way.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    RouteResolved {
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
    UpstreamRejected {
        upstream: Arc<Upstream>,
        why: RejectReason,
    },
    Connecting {
        upstream: Arc<Upstream>,
    },
    SelectionWithdrawn {
        upstream: Arc<Upstream>,
        why: RejectReason,
    },
    Sent {
        upstream: Arc<Upstream>,
    },
    /// The connection turned out to be closed before a byte went out.
    NotWritten {
        upstream: Arc<Upstream>,
    },
    Queued {
        within: Duration,
    },
    WokenUp,
    Retried {
        after: ResultCode,
    },
    Answered {
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
            TraceEvent::UpstreamRejected { upstream, why } => {
                write!(f, "{} passed over: {why}", upstream.instance)
            }
            TraceEvent::Connecting { upstream } => write!(
                f,
                "connecting to {} in {}",
                upstream.instance, upstream.locality
            ),
            TraceEvent::SelectionWithdrawn { upstream, why } => {
                write!(
                    f,
                    "connected to {}, but nothing was sent: {why}",
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
