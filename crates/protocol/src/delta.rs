//! States told as what they add to an earlier one.

use crate::{ClusterState, StateDelta};
use prost::Message;
use sha2::{Digest, Sha256};

fn digest_of(state: &ClusterState) -> Vec<u8> {
    Sha256::digest(state.encode_to_vec()).to_vec()
}

/// How many submissions were decided before the oldest that a state remembers.
fn forgotten(state: &ClusterState) -> Option<u64> {
    state.decided.checked_sub(state.submissions.len() as u64)
}

impl StateDelta {
    /// A state for a receiver that holds one with so many decided submissions; none where that would leave nothing out, or
    /// the receiver is further on.
    ///
    /// ```
    /// use protocol::{ClusterState, StateDelta, DecidedChange};
    /// let orders = |ids: &[&str]| ids.iter().map(|id| DecidedChange { id: id.to_string(), ..Default::default() }).collect();
    /// let earlier = ClusterState { decided: 2, submissions: orders(&["a", "b"]), ..Default::default() };
    /// let later = ClusterState { decided: 3, submissions: orders(&["b", "c"]), ..Default::default() };
    /// let delta = StateDelta::since(&later, earlier.decided).unwrap();
    /// assert_eq!(delta.state.submissions.len(), 1);
    /// assert_eq!(delta.apply_to(&earlier), Some(later.clone()));
    /// assert_eq!(delta.apply_to(&ClusterState::default()), None);
    /// assert_eq!(StateDelta::since(&later, 0), None);
    /// ```
    pub fn since(state: &ClusterState, decided: u64) -> Option<StateDelta> {
        let held = decided.checked_sub(forgotten(state)?)? as usize;
        // A receiver that is further on has forgotten the oldest of them.
        (held > 0 && held <= state.submissions.len()).then(|| StateDelta {
            state: ClusterState {
                submissions: state.submissions[held..].to_vec(),
                ..without_submissions(state)
            },
            remembered: state.submissions.len() as u64,
            digest: digest_of(state),
        })
    }

    /// The whole state, where it comes from this one; none where the two don't fit together, and it must be asked for
    /// whole. The digest judges that, so a wrong state never comes out.
    ///
    /// ```
    /// let delta = protocol::StateDelta { remembered: 1, ..Default::default() };
    /// assert_eq!(delta.apply_to(&Default::default()), None);
    /// ```
    pub fn apply_to(&self, base: &ClusterState) -> Option<ClusterState> {
        let told = self.state.submissions.len() as u64;
        let until = self.state.decided.checked_sub(told)?;
        let from = until.checked_sub(self.remembered.checked_sub(told)?)?;
        let place = |decided: u64| {
            decided
                .checked_sub(forgotten(base)?)
                .map(|place| place as usize)
        };
        let held = base.submissions.get(place(from)?..place(until)?)?;
        let submissions = held
            .iter()
            .chain(&self.state.submissions)
            .cloned()
            .collect();
        let whole = ClusterState {
            submissions,
            ..without_submissions(&self.state)
        };
        (digest_of(&whole) == self.digest).then_some(whole)
    }
}

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
