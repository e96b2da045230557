//! Membership and failure detection, after SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002). The package is pure: it takes events in and gives effects
//! out, without sockets or clocks.
//!
//! Every node probes the others in turn. Where a probe is not answered, other nodes are asked to probe on its behalf
//! (indirect probes); where nobody gets an answer, the node is suspect, and dead unless it refutes the suspicion in time
//! with a higher incarnation.
//!
//! A record that changed is sent a few times, with the probes and their replies (dissemination), and then no more. Each
//! probe carries a digest of the prober's table; where the receiver's differs, it replies with the digests of its
//! records, and both then send what the other lacks (anti-entropy). So a table at rest costs 8 bytes a probe, and a
//! network partition heals.

mod node;
mod probing;
mod reconciliation;
mod record;
mod table;

pub use node::{Effect, Event, Membership, MembershipTiming};
pub use record::supersedes;
