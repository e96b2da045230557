//! What operators ask of the state, and what becomes of it.

use result_code::ResultCode;

/// By what a change is recognized when it is submitted again.
///
/// ```
/// # use quorum_register::ChangeId;
/// assert_eq!(ChangeId::from("a"), ChangeId { id: "a".into(), since: None });
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeId {
    /// Drawn by the operator; empty where the change has none.
    pub id: String,
    /// How many changes had been decided, as the operator knew it before the first submission of this one. It shows that
    /// a change that is not remembered is new rather than forgotten.
    pub since: Option<u64>,
}

impl From<String> for ChangeId {
    fn from(id: String) -> Self {
        ChangeId { id, since: None }
    }
}

impl From<&str> for ChangeId {
    fn from(id: &str) -> Self {
        id.to_owned().into()
    }
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Put a configuration in force.
    Configuration {
        /// The operator's id of the change.
        id: ChangeId,
        /// The revision it was made from, where only that one may be replaced.
        base_revision: Option<u64>,
        /// The operator's own number of the configuration. One that is not above the number in force changes nothing.
        version: Option<u64>,
        /// Digest of the configuration's bytes.
        digest: String,
    },
    /// Evacuate a locality, or restore it.
    Evacuate {
        /// The operator's id of the change.
        id: ChangeId,
        /// The locality's name.
        locality: String,
        /// True to restore the locality.
        restore: bool,
        /// For a change without an id: the revision that a quorum confirmed after the change came. Where the locality
        /// changed since, it has been as the change wants it, and nothing is done.
        confirmed_revision: Option<u64>,
    },
    /// Begin a change of the voters: old and new voters vote together.
    BeginVoters {
        /// The epoch of the voter set to change.
        epoch: u64,
        /// The new voters.
        voters: Vec<String>,
    },
    /// Complete a change of the voters: only the new ones vote from now on.
    CompleteVoters {
        /// The epoch of the joint voter set.
        epoch: u64,
    },
    /// Change nothing: only bring a half-done round to its end.
    FinishRound,
}

impl Change {
    /// The operator's id; none for the changes that nodes propose themselves.
    pub(crate) fn id(&self) -> Option<&ChangeId> {
        match self {
            Change::Configuration { id, .. } | Change::Evacuate { id, .. } => Some(id),
            Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::FinishRound => {
                None
            }
        }
    }

    /// True for a change of the voter set.
    pub(crate) fn is_voter_change(&self) -> bool {
        matches!(
            self,
            Change::BeginVoters { .. } | Change::CompleteVoters { .. }
        )
    }
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Success, or why nothing changed.
    pub code: ResultCode,
    /// The state's revision after it.
    pub revision: u64,
}
