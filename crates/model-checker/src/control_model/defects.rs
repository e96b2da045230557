//! What the defects make of messages.

use super::ControlModel;
use super::scenario::ControlDefect;
use super::world::ControlWorld;
use crate::voters;
use protocol::{LeaseReply, Payload};

impl ControlModel {
    /// What a defect makes of a message.
    pub(super) fn apply_defect(
        &self,
        world: &ControlWorld,
        from: usize,
        mut body: Payload,
    ) -> Payload {
        match self.defect {
            ControlDefect::None => body,
            ControlDefect::NewVoterGrantsAtOnce => {
                let is_new = from >= self.scenario.voters;
                match body {
                    Payload::LeaseReply(reply)
                        if is_new && world.cluster.nodes[from].register.is_voter() =>
                    {
                        Payload::LeaseReply(LeaseReply {
                            granted: true,
                            keeps_key_owners: true,
                            ..reply
                        })
                    }
                    body => body,
                }
            }
            ControlDefect::AcceptsWithoutEpoch => {
                match &mut body {
                    Payload::Accept(accept) => accept.lease_epoch = 0,
                    Payload::AcceptDelta(accept) => accept.lease_epoch = 0,
                    _ => {}
                }
                body
            }
            ControlDefect::SkipsJointVoterSet => voters::skip_joint_voter_set(body),
        }
    }
}
