//! Deltas of the replicated state: what a state adds to an earlier one.

use crate::{ClusterState, StateDelta};
use prost::Message;
use sha2::{Digest, Sha256};

fn digest_of(state: &ClusterState) -> Vec<u8> {
    Sha256::digest(state.encode_to_vec()).to_vec()
}

/// How many changes were decided before the oldest that a state remembers.
fn forgotten_changes(state: &ClusterState) -> Option<u64> {
    state.decided.checked_sub(state.submissions.len() as u64)
}

impl StateDelta {
    /// The delta for a receiver whose state has `decided` decided changes; none where it would leave nothing out, or the
    /// receiver is ahead.
    ///
    /// ```
    /// use protocol::{ClusterState, StateDelta, DecidedChange};
    /// let changes = |ids: &[&str]| ids.iter().map(|id| DecidedChange { id: id.to_string(), ..Default::default() }).collect();
    /// let earlier = ClusterState { decided: 2, submissions: changes(&["a", "b"]), ..Default::default() };
    /// let later = ClusterState { decided: 3, submissions: changes(&["b", "c"]), ..Default::default() };
    /// let delta = StateDelta::since(&later, earlier.decided).unwrap();
    /// assert_eq!(delta.state.submissions.len(), 1);
    /// assert_eq!(delta.apply_to(&earlier), Some(later.clone()));
    /// assert_eq!(delta.apply_to(&ClusterState::default()), None);
    /// assert_eq!(StateDelta::since(&later, 0), None);
    /// ```
    pub fn since(state: &ClusterState, decided: u64) -> Option<StateDelta> {
        let known = decided.checked_sub(forgotten_changes(state)?)? as usize;
        // A receiver that is ahead has forgotten the oldest of them.
        (known > 0 && known <= state.submissions.len()).then(|| StateDelta {
            state: ClusterState {
                submissions: state.submissions[known..].to_vec(),
                ..without_submissions(state)
            },
            remembered: state.submissions.len() as u64,
            digest: digest_of(state),
        })
    }

    /// The complete state, where the delta applies to `base`; none where it does not, and the complete state must be
    /// requested. The digest decides, so a wrong state never results.
    ///
    /// ```
    /// let delta = protocol::StateDelta { remembered: 1, ..Default::default() };
    /// assert_eq!(delta.apply_to(&Default::default()), None);
    /// ```
    pub fn apply_to(&self, base: &ClusterState) -> Option<ClusterState> {
        let sent = self.state.submissions.len() as u64;
        let first_sent = self.state.decided.checked_sub(sent)?;
        let first_remembered = first_sent.checked_sub(self.remembered.checked_sub(sent)?)?;
        let index = |decided: u64| {
            decided
                .checked_sub(forgotten_changes(base)?)
                .map(|index| index as usize)
        };
        let known = base
            .submissions
            .get(index(first_remembered)?..index(first_sent)?)?;
        let submissions = known
            .iter()
            .chain(&self.state.submissions)
            .cloned()
            .collect();
        let complete = ClusterState {
            submissions,
            ..without_submissions(&self.state)
        };
        (digest_of(&complete) == self.digest).then_some(complete)
    }
}

/// Names every field, so that a new one can't be forgotten here.
fn without_submissions(state: &ClusterState) -> ClusterState {
    let ClusterState {
        revision,
        digest,
        evacuated,
        submissions: _,
        number,
        decided,
        numbers,
        locality_changes,
        voter_set,
    } = state;
    ClusterState {
        revision: *revision,
        digest: digest.clone(),
        evacuated: evacuated.clone(),
        submissions: Vec::new(),
        number: *number,
        decided: *decided,
        numbers: numbers.clone(),
        locality_changes: locality_changes.clone(),
        voter_set: voter_set.clone(),
    }
}
