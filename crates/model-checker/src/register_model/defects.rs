//! What the broken twins make of messages.

use super::RegisterModel;
use super::scenario::RegisterDefect;
use protocol::{Accept, AcceptDelta, Accepted, Ballot, ClusterState, Payload, Prepare, Promise};

impl RegisterModel {
    /// What a defect makes of a message.
    pub(super) fn twist(&self, from: usize, body: Payload) -> (usize, Payload) {
        let replaced = self.scenario.voters - 1;
        match (self.defect, body) {
            (
                RegisterDefect::CountsReplacedVoter,
                body @ (Payload::Promise(_) | Payload::Accepted(_)),
            ) if from == replaced => (replaced + 1, body),
            // The voters are to be read off the promise: it is asked for whole.
            (RegisterDefect::SkipsJointVoters, Payload::Prepare(prepare)) => (
                from,
                Payload::Prepare(Prepare {
                    since: None,
                    ..prepare
                }),
            ),
            (RegisterDefect::SkipsJointVoters, Payload::Promise(mut promise)) => {
                let voter_set = &mut promise.accepted.voter_set;
                if voter_set.is_joint() {
                    voter_set.voters = std::mem::take(&mut voter_set.next);
                }
                (from, Payload::Promise(promise))
            }
            (_, body) => (from, body),
        }
    }
}

/// The answer that stands for a vote which is not there.
pub(super) fn forged_answer(question: &Payload) -> Option<Payload> {
    match question {
        Payload::Prepare(prepare) => Some(Payload::Promise(Promise {
            ballot: prepare.ballot.clone(),
            promised: prepare.ballot.clone(),
            accepted_at: Ballot::default(),
            accepted: ClusterState::default(),
            ..Promise::default()
        })),
        Payload::Accept(Accept { ballot, .. })
        | Payload::AcceptDelta(AcceptDelta { ballot, .. }) => {
            let (ballot, promised) = (ballot.clone(), ballot.clone());
            Some(Payload::Accepted(Accepted {
                ballot,
                promised,
                done: true,
                ..Accepted::default()
            }))
        }
        _ => None,
    }
}
