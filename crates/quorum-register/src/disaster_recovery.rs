//! The loss of a quorum for good: what the survivors' disks hold is combined into one state, with which a new set of
//! voters is bootstrapped.

use protocol::{Ballot, ClusterState, DurableState, SurvivorState, VoterSet};
use std::collections::BTreeSet;
use thiserror::Error;

/// Revisions, ballots and epochs go on this far above the highest that a survivor knows, so that whatever only the lost
/// voters knew stays below.
const NUMBER_GAP: u64 = 1000;

/// Why the survivors' states can't be combined.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoveryError {
    /// No survivor was given.
    #[error("no survivor was given")]
    NoSurvivors,
    /// The disk was never bootstrapped.
    #[error("{node}: its disk was never bootstrapped")]
    NotBootstrapped {
        /// The survivor.
        node: String,
    },
    /// The disk names other voters than the newest one, under the same epoch.
    #[error("{node}: its voters are not those of the others")]
    VoterSetMismatch {
        /// The survivor.
        node: String,
    },
    /// A node that is named as lost was no voter.
    #[error("{node}: is not one of the voters")]
    NotAVoter {
        /// The lost node.
        node: String,
    },
    /// The node is named twice, or is both a survivor and lost.
    #[error("{node}: is named twice, or is both a survivor and lost")]
    NamedTwice {
        /// The node.
        node: String,
    },
    /// The voter is neither a survivor nor named as lost: it may be running.
    #[error("{node}: is a voter and may be running; bring its survivor, or name it as lost")]
    Unaccounted {
        /// The voter.
        node: String,
    },
    /// The survivors are a quorum, from which the others recover by themselves.
    #[error("{count} of {of} voters survive: start them, and the others recover from them")]
    QuorumSurvives {
        /// How many voters survive.
        count: usize,
        /// How many voters there are.
        of: usize,
    },
    /// No survivor has the bytes of the newest state's configuration.
    #[error("no survivor has the configuration {digest}")]
    ConfigurationMissing {
        /// Digest of the configuration.
        digest: String,
    },
}

/// Combines what the survivors' disks hold into the state that every disk of a new bootstrap starts from.
///
/// # Errors
///
/// Unless every voter is accounted for, and while the others could recover from the survivors.
///
/// ```
/// use protocol::{Ballot, DurableState, SurvivorState, ClusterState};
/// use quorum_register::{RecoveryError, recover_from_survivors};
/// let initial_voters: Vec<String> = ["a", "b", "c", "d"].map(String::from).to_vec();
/// let accepted = ClusterState { revision: 7, digest: protocol::digest(b"{}"), ..ClusterState::default() };
/// let accepted_at = Ballot { round: 3, ..Ballot::default() };
/// let durable = DurableState { disk: 1, initial_voters, accepted, accepted_at, ..DurableState::default() };
/// let survivor = |node: &str| {
///     SurvivorState { node: node.into(), durable: durable.clone(), configuration: b"{}".to_vec() }
/// };
/// let lost: Vec<String> = ["b", "c", "d"].map(String::from).to_vec();
/// let combined = recover_from_survivors(&[survivor("a")], &lost).unwrap();
/// assert!(combined.durable.accepted.revision > 7, "revisions go on rising");
/// let error = recover_from_survivors(&[survivor("a")], &lost[..2]);
/// assert_eq!(error, Err(RecoveryError::Unaccounted { node: "d".into() }));
/// let error = recover_from_survivors(&[survivor("a"), survivor("b"), survivor("c")], &lost[2..]);
/// assert_eq!(error, Err(RecoveryError::QuorumSurvives { count: 3, of: 4 }));
/// ```
pub fn recover_from_survivors(
    survivors: &[SurvivorState],
    lost: &[String],
) -> Result<SurvivorState, RecoveryError> {
    for survivor in survivors {
        check_bootstrapped(survivor)?;
    }
    let newest = survivors
        .iter()
        .max_by(|a, b| a.durable.accepted_at.cmp(&b.durable.accepted_at))
        .ok_or(RecoveryError::NoSurvivors)?;
    let voter_set = voters_of(newest);
    check_voters(survivors, lost, &voter_set)?;
    let configuration = find_configuration(survivors, &newest.durable.accepted.digest)?;
    Ok(SurvivorState {
        node: String::new(),
        durable: combine(survivors, newest, &voter_set),
        configuration,
    })
}

/// The newest state, with numbers above all that the lost voters may know.
fn combine(
    survivors: &[SurvivorState],
    newest: &SurvivorState,
    voter_set: &VoterSet,
) -> DurableState {
    let above_highest = |number_of: fn(&DurableState) -> u64| {
        let numbers = survivors
            .iter()
            .map(|survivor| number_of(&survivor.durable));
        numbers.max().unwrap_or(0) + NUMBER_GAP
    };
    let ballot = Ballot {
        round: above_highest(|durable| durable.promised.round.max(durable.accepted_at.round)),
        ..Ballot::default()
    };
    DurableState {
        promised: ballot.clone(),
        accepted_at: ballot,
        accepted: ClusterState {
            revision: above_highest(|durable| durable.accepted.revision),
            // Those that are bootstrapped with this state are the voters; an earlier set's epoch must not come again.
            voter_set: VoterSet {
                epoch: (voter_set.epoch + NUMBER_GAP) & !1,
                ..VoterSet::default()
            },
            ..newest.durable.accepted.clone()
        },
        lease_epoch: above_highest(|durable| durable.lease_epoch),
        ..DurableState::default()
    }
}

/// The bytes of the configuration with this digest; any bytes where the state has no configuration.
fn find_configuration(survivors: &[SurvivorState], digest: &str) -> Result<Vec<u8>, RecoveryError> {
    survivors
        .iter()
        .map(|survivor| &survivor.configuration)
        .find(|bytes| digest.is_empty() || protocol::digest(bytes) == digest)
        .cloned()
        .ok_or_else(|| RecoveryError::ConfigurationMissing {
            digest: digest.to_owned(),
        })
}

/// The voters that a survivor's disk names. A disk of an earlier version names only those it was bootstrapped with.
fn voters_of(survivor: &SurvivorState) -> VoterSet {
    let DurableState {
        accepted,
        initial_voters,
        ..
    } = &survivor.durable;
    if accepted.voter_set.voters.is_empty() {
        VoterSet::new(initial_voters.clone())
    } else {
        accepted.voter_set.clone()
    }
}

fn check_bootstrapped(survivor: &SurvivorState) -> Result<(), RecoveryError> {
    if survivor.durable.disk == 0 || survivor.durable.initial_voters.is_empty() {
        return Err(RecoveryError::NotBootstrapped {
            node: survivor.node.clone(),
        });
    }
    Ok(())
}

/// Checks that every voter is a survivor or lost, none is both, and the survivors are no quorum. A survivor may be none
/// of the voters: a replica beside them, or one that was replaced; what its disk holds counts all the same.
fn check_voters(
    survivors: &[SurvivorState],
    lost: &[String],
    voter_set: &VoterSet,
) -> Result<(), RecoveryError> {
    let mut named = BTreeSet::new();
    let survivor_nodes = survivors.iter().map(|survivor| &survivor.node);
    for node in survivor_nodes.chain(lost) {
        if !named.insert(node) {
            return Err(RecoveryError::NamedTwice { node: node.clone() });
        }
    }
    if let Some(node) = lost.iter().find(|node| !voter_set.contains(node)) {
        return Err(RecoveryError::NotAVoter { node: node.clone() });
    }
    for survivor in survivors {
        let voters = voters_of(survivor);
        if voters.epoch == voter_set.epoch && voters != *voter_set {
            return Err(RecoveryError::VoterSetMismatch {
                node: survivor.node.clone(),
            });
        }
    }
    if let Some(node) = voter_set.members().find(|voter| !named.contains(voter)) {
        return Err(RecoveryError::Unaccounted { node: node.clone() });
    }
    check_no_quorum_survives(survivors, voter_set)
}

fn check_no_quorum_survives(
    survivors: &[SurvivorState],
    voter_set: &VoterSet,
) -> Result<(), RecoveryError> {
    let survives = |voter: &str| survivors.iter().any(|survivor| survivor.node == voter);
    if !voter_set.is_quorum(survives) {
        return Ok(());
    }
    Err(RecoveryError::QuorumSurvives {
        count: voter_set.members().filter(|voter| survives(voter)).count(),
        of: voter_set.members().count(),
    })
}
