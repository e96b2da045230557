//! What goes wrong between operators and the nodes they call: answers that are lost, orders that come late, doubled and
//! long after they were decided, and more of them than there should be.

use super::operators::{OperatorCommand, Operators};
use crate::schedule::Action;
use crate::world::World;
use control_plane::ControlResponse;
use invariants::observations::Observation;
use std::time::Duration;

/// How long an order, or its answer, takes.
const USUALLY_TAKES: Duration = Duration::from_millis(8);
/// How much longer a scrambled order, a copy that strays, and an answer take at most.
const LATE_ORDER_MS: u64 = 3000;
const STRAY_COPY_MS: u64 = 8000;
const LATE_ANSWER_MS: u64 = 2000;
/// After how long without an answer an operator asks elsewhere: in good times, and while orders go wrong.
const SILENCE: Duration = Duration::from_secs(4);
const IMPATIENT_SILENCE: Duration = Duration::from_secs(1);
/// How many orders a storm has under way.
const MAX_UNDER_WAY: usize = 8;
/// How many of the oldest orders are sent again.
const OLDEST: usize = 30;
/// How often an order to evacuate comes again, and how far apart.
const EVACUATION_COPIES: u64 = 8;
const EVACUATION_COPY_MS: u64 = 1500;

/// How operators' orders and their answers fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandDelivery {
    /// Of a thousand answers, how many are lost.
    pub lost_per_mille: u64,
    /// Both ways late, doubled and in any order.
    pub scrambled: bool,
}

/// A run of orders, each sent when an earlier one was decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandStorm {
    left: u32,
    sent: u32,
}

impl Operators {
    pub(super) fn silence(&self) -> Duration {
        let calm =
            self.delivery.lost_per_mille == 0 && !self.delivery.scrambled && self.storm.left == 0;
        if calm { SILENCE } else { IMPATIENT_SILENCE }
    }

    fn under_way(&self) -> usize {
        self.submissions
            .iter()
            .filter(|submission| !submission.decided)
            .count()
    }

    fn highest_offered(&self) -> u64 {
        self.offered
            .iter()
            .map(|(number, _)| *number)
            .max()
            .unwrap_or(0)
    }
}

impl World {
    /// How long an order takes on its way.
    pub(super) fn command_delay(&mut self, submission: usize) -> Duration {
        let late = if self.is_reordered(submission) {
            self.random.below(LATE_ORDER_MS)
        } else {
            0
        };
        USUALLY_TAKES + Duration::from_millis(late)
    }

    fn is_reordered(&self, submission: usize) -> bool {
        self.operators.delivery.scrambled
            && self.operators.submissions[submission].is_distinguishable()
    }

    /// Half of the scrambled orders come a second time, elsewhere.
    pub(super) fn send_duplicate(&mut self, submission: usize) {
        if self.is_reordered(submission) && self.random.below(2) == 0 {
            let late = Duration::from_millis(self.random.below(STRAY_COPY_MS));
            self.after(late, Action::RepeatSubmission { submission });
        }
    }

    /// Brings an answer to its operator, unless it is lost.
    pub(super) fn deliver_result(&mut self, submission: usize, answer: ControlResponse) {
        let CommandDelivery {
            lost_per_mille,
            scrambled,
        } = self.operators.delivery;
        if lost_per_mille > 0 && self.random.below(1000) < lost_per_mille {
            return;
        }
        let copies = if scrambled { 2 } else { 1 };
        (0..copies).for_each(|_| {
            let late = if scrambled {
                self.random.below(LATE_ANSWER_MS)
            } else {
                0
            };
            let takes = USUALLY_TAKES + Duration::from_millis(late);
            self.after(
                takes,
                Action::ReceiveSubmissionResult {
                    submission,
                    answer: answer.clone(),
                },
            );
        });
    }

    pub(super) fn start_command_storm(&mut self, count: u32) {
        self.operators.storm = CommandStorm {
            left: count,
            sent: 0,
        };
        self.continue_command_storm();
    }

    pub(super) fn end_command_storm(&mut self) {
        self.operators.storm.left = 0;
    }

    /// Sends the storm's next orders, as many as may be under way.
    pub(super) fn continue_command_storm(&mut self) {
        while self.operators.storm.left > 0 && self.operators.under_way() < MAX_UNDER_WAY {
            self.operators.storm.left -= 1;
            self.operators.storm.sent += 1;
            self.send_next_of_storm(self.operators.storm.sent);
        }
    }

    fn send_next_of_storm(&mut self, sent: u32) {
        match sent % 8 {
            0 => self.submit_configuration(0, None),
            3 => {
                let locality = self.shape.locality(sent as usize / 8 % 6);
                let evacuation = self.submit_as(
                    OperatorCommand::Evacuate {
                        locality: locality.clone(),
                        back: false,
                    },
                    false,
                );
                self.operators.submissions[evacuation].then = Some(OperatorCommand::Evacuate {
                    locality,
                    back: true,
                });
            }
            other => {
                let number = self.operators.highest_offered() + 1 + self.random.below(3);
                self.offer(number, other % 2 == 0);
            }
        }
    }

    /// An operator offers a new setup under a number.
    fn offer(&mut self, number: u64, anonymous: bool) {
        self.operators.configurations += 1;
        // Few routes: hundreds of these come. The number tells them apart.
        let bytes = self
            .shape
            .versioned_configuration(self.operators.configurations % 8, number);
        self.note(Observation::VersionSubmitted {
            number,
            digest: protocol::digest(bytes.as_bytes()),
        });
        self.operators.offered.push((number, bytes.clone()));
        self.submit_as(OperatorCommand::Numbered { bytes, number }, anonymous);
    }

    /// Two operators with different setups under one number, at the same moment.
    pub(super) fn race_equal_versions(&mut self) {
        let number = self.operators.highest_offered() + 1;
        let anonymous = self.random.below(2) == 0;
        (0..2).for_each(|_| self.offer(number, anonymous));
    }

    /// The oldest orders come once more, to whichever node: those that can be told from new ones. An evacuation without an
    /// id is a new order once the first was answered, and operators send it again for a limited time only.
    pub(super) fn resend_oldest(&mut self) {
        let submissions = self.operators.submissions.iter().enumerate();
        let told_apart = submissions
            .filter(|(_, submission)| submission.is_distinguishable())
            .map(|(at, _)| at);
        let oldest: Vec<usize> = told_apart.take(OLDEST).collect();
        oldest.into_iter().for_each(|submission| {
            let late = Duration::from_millis(self.random.below(STRAY_COPY_MS));
            self.after(late, Action::RepeatSubmission { submission });
        });
    }

    /// The order to evacuate a zone comes again every now and then, also after the zone was taken back.
    pub(super) fn evacuate_repeatedly(&mut self, locality: String) {
        let submission = self.submit_as(
            OperatorCommand::Evacuate {
                locality,
                back: false,
            },
            false,
        );
        (1..=EVACUATION_COPIES).for_each(|at| {
            let late = Duration::from_millis(
                at * EVACUATION_COPY_MS + self.random.below(EVACUATION_COPY_MS),
            );
            self.after(late, Action::RepeatSubmission { submission });
        });
    }

    /// An order without an id goes to this node first.
    pub(super) fn evacuate_through(&mut self, node: usize, locality: String) {
        self.submit_through(
            Some(node),
            OperatorCommand::Evacuate {
                locality,
                back: false,
            },
            true,
        );
    }

    /// What a node reads back that asks nobody.
    pub(super) fn read_local_configuration(&mut self, at: usize) {
        let node = &self.nodes[at];
        if node.up && node.frozen.is_none() {
            let accepted = &node.disk.durable.accepted;
            let (revision, digest, node) = (
                accepted.revision,
                accepted.digest.clone(),
                node.name.clone(),
            );
            self.note(Observation::ConfigurationRead {
                node,
                revision,
                digest,
                asked_at: self.now,
            });
        }
    }
}
