//! What the defects make of messages.

use super::RegisterModel;
use super::scenario::RegisterDefect;
use crate::voters;
use protocol::{Accept, AcceptDelta, Accepted, Ballot, ClusterState, Payload, Promise};

impl RegisterModel {
    /// The sender and the message as a defect makes them.
    pub(super) fn apply_defect(&self, from: usize, body: Payload) -> (usize, Payload) {
        let removed = self.scenario.voters - 1;
        let is_vote = matches!(body, Payload::Promise(_) | Payload::Accepted(_));
        match self.defect {
            RegisterDefect::CountsReplacedVoter if from == removed && is_vote => {
                (removed + 1, body)
            }
            RegisterDefect::SkipsJointVoterSet => (from, voters::skip_joint_voter_set(body)),
            _ => (from, body),
        }
    }
}

/// The answer that stands for a vote which was not given.
pub(super) fn forged_vote(request: &Payload) -> Option<Payload> {
    match request {
        Payload::Prepare(prepare) => Some(Payload::Promise(Promise {
            ballot: prepare.ballot.clone(),
            promised: prepare.ballot.clone(),
            accepted_at: Ballot::default(),
            accepted: ClusterState::default(),
            ..Promise::default()
        })),
        Payload::Accept(Accept { ballot, .. })
        | Payload::AcceptDelta(AcceptDelta { ballot, .. }) => Some(Payload::Accepted(Accepted {
            ballot: ballot.clone(),
            promised: ballot.clone(),
            done: true,
            ..Accepted::default()
        })),
        _ => None,
    }
}
