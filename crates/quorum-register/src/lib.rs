//! A replicated register: one value, the cluster's state, that a quorum of voters keeps on their disks.
//!
//! The protocol is single-decree Paxos, run again for each new value; there is no log and no leader. Any voter is a
//! proposer: it runs a round of two phases (prepare and promise, accept and accepted) under a ballot, and carries the
//! changes that wait with it. A state is chosen once a quorum of its own voter set accepted it. Voters are changed by
//! joint consensus: between the old and the new voters lies a joint set, in which each quorum needs a majority of both.
//!
//! The crate does no input or output: [`Register::step`] takes an [`Event`] and returns the [`Effect`]s to carry out.
//!
//! | module | concern | its state |
//! |---|---|---|
//! | `register` | composes the concerns, dispatches events and messages | [`Register`] |
//! | `acceptor` | promises and acceptances, reads answered | `Acceptor` |
//! | `proposer` | changes that wait for a decision | `Proposer` |
//! | `round`, `prepare_phase`, `accept_phase` | the two phases of a round | `Round` |
//! | `majority_read` | confirms that the state known here is the newest | `MajorityReads` |
//! | `state_transfer` | states sent as a difference to an earlier one | |
//! | `configurations` | the configurations' bytes | `ConfigurationStore` |
//! | `key_owners` | the record of who was granted numeric keys, written by the holder of the placement lease | |
//! | `write_queue` | disk writes under way | `WriteQueue` |
//! | `replicas` | what is known of the other nodes | `Replicas` |
//! | `bootstrap` | the first start of a cluster | [`VoterPhase`] |
//! | `recovery` | the return of a voter whose disk was lost | `Recovery` |
//! | `disaster_recovery` | the loss of a quorum for good | |
//! | `change` | what operators ask for | |
//! | `apply` | how the state changes by it | |
//! | `inspect` | read access for callers | |

mod accept_phase;
mod acceptor;
mod apply;
mod bootstrap;
mod change;
mod configurations;
mod disaster_recovery;
mod event;
mod inspect;
mod key_owners;
mod majority_read;
mod options;
mod prepare_phase;
mod proposer;
mod recovery;
mod register;
mod replicas;
mod round;
mod state_transfer;
mod write_queue;

pub use apply::{apply, apply_to_voters};
pub use change::{Change, ChangeId, Decision};
pub use disaster_recovery::{RecoveryError, recover_from_survivors};
pub use event::{Effect, Event};
pub use inspect::Statistics;
pub use options::{RegisterConfig, RegisterTiming};
pub use recovery::Recovery;
pub use register::{Register, VoterPhase};
