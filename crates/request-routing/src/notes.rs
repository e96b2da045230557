//! Why a request went where it went: compact while it is noted, text only once somebody asks.

use config::Route;
use protocol::Upstream;
use result_code::ResultCode;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Why an upstream was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
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

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Leaving => "leaving",
            Why::Evacuated => "evacuated locality",
            Why::OutsideHomes => "outside the home regions",
            Why::OtherHolder => "does not hold the key",
            Why::Tried => "tried already",
            Why::Replaced => "another instance answers at its address",
            Why::NoSlot => "no free slot",
            Why::WarmingUp => "warming up",
            Why::Gone => "gone",
        })
    }
}

/// One decision on a request's way.
#[derive(Clone, Debug)]
pub enum Note {
    Asked {
        name: String,
        route: Arc<Route>,
        edition: u64,
    },
    Owner {
        locality: String,
        epoch: u64,
    },
    Mark {
        to: String,
        epoch: u64,
    },
    Forwarded {
        to: String,
    },
    Passed {
        upstream: Arc<Upstream>,
        why: Why,
    },
    Connecting {
        upstream: Arc<Upstream>,
    },
    Withdrawn {
        upstream: Arc<Upstream>,
        why: Why,
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
    Called,
    Again {
        after: ResultCode,
    },
    Answered {
        code: ResultCode,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Asked {
                name,
                route,
                edition,
            } => write!(
                f,
                "asked for {name}, which is name {}: route {} of edition {edition}, service {}",
                route.name,
                route.id,
                route.services().collect::<Vec<_>>().join(", ")
            ),
            Note::Owner { locality, epoch } => write!(f, "owner {locality} at epoch {epoch}"),
            Note::Mark { to, epoch } => write!(f, "mark here: moved to {to} at epoch {epoch}"),
            Note::Forwarded { to } => write!(f, "forwarded to {to} by the mark"),
            Note::Passed { upstream, why } => write!(f, "{} passed over: {why}", upstream.instance),
            Note::Connecting { upstream } => write!(
                f,
                "connecting to {} in {}",
                upstream.instance, upstream.locality
            ),
            Note::Withdrawn { upstream, why } => {
                write!(
                    f,
                    "connected to {}, but nothing was sent: {why}",
                    upstream.instance
                )
            }
            Note::Sent { upstream } => {
                write!(f, "sent to {} in {}", upstream.instance, upstream.locality)
            }
            Note::Unsent { upstream } => {
                write!(
                    f,
                    "the kept connection to {} was closed, and nothing was sent",
                    upstream.instance
                )
            }
            Note::Waits { within } => {
                write!(f, "waits for a seat, {} ms at most", within.as_millis())
            }
            Note::Called => f.write_str("called: a seat may be free"),
            Note::Again { after } => write!(f, "sent again after: {after}"),
            Note::Answered { code } => write!(f, "answered: {code}"),
        }
    }
}
