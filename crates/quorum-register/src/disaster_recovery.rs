//! When a majority of the voters is lost for good: what the survivors' disks say is settled into one inheritance, from
//! which a whole new roster founds itself.

use protocol::{Ballot, ClusterState, DurableState, SurvivorState, VoterSet};
use std::collections::BTreeSet;
use std::fmt;

/// Editions and lease epochs go on this far above the highest that a survivor knows, so that whatever only the lost
/// ones knew stays below.
const LEAP: u64 = 1000;

/// Why nothing can be settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryError {
    NoSurvivors,
    NotBootstrapped {
        node: String,
    },
    VoterSetMismatch {
        node: String,
    },
    NotAVoter {
        node: String,
    },
    NamedTwice {
        node: String,
    },
    /// Neither a survivor nor named as lost: it may live.
    Unaccounted {
        node: String,
    },
    /// These can mend the others by themselves.
    QuorumSurvives {
        count: usize,
        of: usize,
    },
    ConfigurationMissing {
        digest: String,
    },
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryError::NoSurvivors => f.write_str("no survivor was given"),
            RecoveryError::NotBootstrapped { node } => {
                write!(f, "{node}: its disk was never founded")
            }
            RecoveryError::VoterSetMismatch { node } => {
                write!(f, "{node}: its roster is not that of the others")
            }
            RecoveryError::NotAVoter { node } => write!(f, "{node}: is not in the roster"),
            RecoveryError::NamedTwice { node } => {
                write!(f, "{node}: is named twice, or is both a survivor and lost")
            }
            RecoveryError::Unaccounted { node } => {
                write!(
                    f,
                    "{node}: is in the roster and may live; bring its survivor, or name it as lost"
                )
            }
            RecoveryError::QuorumSurvives { count, of } => {
                write!(
                    f,
                    "{count} of {of} voters survive: start them, and the others mend from them"
                )
            }
            RecoveryError::ConfigurationMissing { digest } => {
                write!(f, "no survivor has the setup {digest}")
            }
        }
    }
}

impl std::error::Error for RecoveryError {}

/// Settles what the survivors' disks say into the state that every disk of a new founding starts from. Denied unless
/// every voter is accounted for, and while the survivors could mend the others.
///
/// ```
/// use protocol::{Ballot, DurableState, SurvivorState, ClusterState};
/// use quorum_register::{RecoveryError, recover_from_survivors};
/// let initial_voters: Vec<String> = ["a", "b", "c", "d"].map(String::from).to_vec();
/// let state = ClusterState { revision: 7, digest: protocol::digest(b"{}"), ..ClusterState::default() };
/// let accepted_at = Ballot { round: 3, ..Ballot::default() };
/// let durable = DurableState { disk: 1, initial_voters, accepted: state, accepted_at, ..DurableState::default() };
/// let one = |node: &str| SurvivorState { node: node.into(), durable: durable.clone(), configuration: b"{}".to_vec() };
/// let lost: Vec<String> = ["b", "c", "d"].map(String::from).to_vec();
/// let inheritance = recover_from_survivors(&[one("a")], &lost).unwrap();
/// assert!(inheritance.durable.accepted.revision > 7, "editions go on rising");
/// assert_eq!(recover_from_survivors(&[one("a")], &lost[..2]), Err(RecoveryError::Unaccounted { node: "d".into() }));
/// assert_eq!(recover_from_survivors(&[one("a"), one("b"), one("c")], &lost[2..]), Err(RecoveryError::QuorumSurvives { count: 3, of: 4 }));
/// ```
pub fn recover_from_survivors(
    survivors: &[SurvivorState],
    lost: &[String],
) -> Result<SurvivorState, RecoveryError> {
    let first = survivors.first().ok_or(RecoveryError::NoSurvivors)?;
    survivors.iter().try_for_each(was_founded)?;
    let newest = survivors
        .iter()
        .max_by(|a, b| a.durable.accepted_at.cmp(&b.durable.accepted_at));
    let voter_set = voters_of(newest.unwrap_or(first));
    all_accounted_for(survivors, lost, &voter_set)?;
    let accepted = newest.unwrap_or(first).durable.accepted.clone();
    let bytes = survivors.iter().map(|survivor| &survivor.configuration);
    let configuration = bytes
        .into_iter()
        .find(|bytes| accepted.digest.is_empty() || protocol::digest(bytes) == accepted.digest);
    let configuration = configuration
        .ok_or(RecoveryError::ConfigurationMissing {
            digest: accepted.digest.clone(),
        })?
        .clone();
    let highest = |of: fn(&DurableState) -> u64| {
        survivors.iter().map(|t| of(&t.durable)).max().unwrap_or(0) + LEAP
    };
    let round = highest(|durable| durable.promised.round.max(durable.accepted_at.round));
    let ballot = Ballot {
        round,
        ..Ballot::default()
    };
    let durable = DurableState {
        promised: ballot.clone(),
        accepted_at: ballot,
        accepted: ClusterState {
            revision: highest(|durable| durable.accepted.revision),
            // Those that found together from this are the voters; an earlier set's epoch must not come again.
            voter_set: VoterSet {
                epoch: (voter_set.epoch + LEAP) & !1,
                ..VoterSet::default()
            },
            ..accepted
        },
        lease_epoch: highest(|durable| durable.lease_epoch),
        ..DurableState::default()
    };
    Ok(SurvivorState {
        node: String::new(),
        durable,
        configuration,
    })
}

/// The voters that a survivor's disk names. A disk of an earlier version names only those it was founded with.
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

fn was_founded(survivor: &SurvivorState) -> Result<(), RecoveryError> {
    let founded = survivor.durable.disk != 0 && !survivor.durable.initial_voters.is_empty();
    founded.then_some(()).ok_or(RecoveryError::NotBootstrapped {
        node: survivor.node.clone(),
    })
}

/// Every voter is a survivor or lost, none is both, and the survivors are no quorum. A survivor may be none of the
/// voters: a replica beside them, or one that was replaced; what it holds counts all the same.
fn all_accounted_for(
    survivors: &[SurvivorState],
    lost: &[String],
    voter_set: &VoterSet,
) -> Result<(), RecoveryError> {
    let mut named = BTreeSet::new();
    survivors
        .iter()
        .map(|survivor| &survivor.node)
        .chain(lost)
        .try_for_each(|node| {
            named
                .insert(node)
                .then_some(())
                .ok_or(RecoveryError::NamedTwice { node: node.clone() })
        })?;
    let stranger = lost.iter().find(|node| !voter_set.contains(node));
    stranger.map_or(Ok(()), |node| {
        Err(RecoveryError::NotAVoter { node: node.clone() })
    })?;
    survivors.iter().try_for_each(|survivor| {
        let theirs = voters_of(survivor);
        let agrees = theirs.epoch != voter_set.epoch || theirs == *voter_set;
        agrees.then_some(()).ok_or(RecoveryError::VoterSetMismatch {
            node: survivor.node.clone(),
        })
    })?;
    let open = voter_set.members().find(|voter| !named.contains(voter));
    open.map_or(Ok(()), |node| {
        Err(RecoveryError::Unaccounted { node: node.clone() })
    })?;
    let survives = |voter: &str| survivors.iter().any(|survivor| survivor.node == voter);
    let (count, of) = (
        voter_set.members().filter(|voter| survives(voter)).count(),
        voter_set.members().count(),
    );
    let is_quorum = voter_set.is_quorum(survives);
    (!is_quorum)
        .then_some(())
        .ok_or(RecoveryError::QuorumSurvives { count, of })
}
