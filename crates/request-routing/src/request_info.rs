//! A request as it came in.

use crate::admission_queue::WakeUp;
use std::time::Duration;

/// A request as it came in.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    pub attempt_id: String,
    /// The name asked for: a name, an id-form name or an alias.
    pub name: String,
    pub path: String,
    pub key: Option<String>,
    pub arrived_at: Duration,
    /// How much time the origin gave.
    pub remaining: Duration,
    pub body_bytes: u64,
    /// True where another proxy forwarded it.
    pub forwarded: bool,
    /// Rung when a seat it waits for may be free.
    pub wake_up: WakeUp,
}
