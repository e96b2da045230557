//! What goes wrong between operators and the nodes they call: results that are lost, commands that come late,
//! duplicated and long after they were decided, and more of them than there should be.

use crate::operators::Operators;
use crate::schedule::Action;
use crate::submissions::OperatorCommand;
use crate::world::World;
use control_plane::ControlResponse;
use invariants::observations::Observation;
use std::time::Duration;

/// How long a command, or its result, takes.
const COMMAND_DELAY: Duration = Duration::from_millis(8);
/// How much longer a reordered command, a duplicate, and a result take at most.
const LATE_ORDER_MS: u64 = 3000;
const DUPLICATE_DELAY_MS: u64 = 8000;
const LATE_ANSWER_MS: u64 = 2000;
/// After how long without a result an operator asks elsewhere: normally, and while commands are delayed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);
const SHORT_COMMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// How many commands a storm has in flight.
const MAX_IN_FLIGHT: usize = 8;
/// How many of the oldest commands are sent again.
const OLDEST: usize = 30;
/// How often a command to evacuate is sent again, and how far apart.
const EVACUATION_COPIES: u64 = 8;
const EVACUATION_COPY_MS: u64 = 1500;

/// How operators' commands and their results are delivered.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandDelivery {
    /// Of a thousand results, how many are lost.
    pub lost_per_mille: u64,
    /// Both ways late, duplicated and in any order.
    pub reordered: bool,
}

/// A series of commands, each sent when an earlier one was decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandStorm {
    left: u32,
    sent: u32,
}

impl Operators {
    pub(super) fn command_timeout(&self) -> Duration {
        let calm =
            self.delivery.lost_per_mille == 0 && !self.delivery.reordered && self.storm.left == 0;
        if calm {
            COMMAND_TIMEOUT
        } else {
            SHORT_COMMAND_TIMEOUT
        }
    }

    fn in_flight(&self) -> usize {
        self.submissions
            .iter()
            .filter(|submission| !submission.decided)
            .count()
    }

    fn highest_version(&self) -> u64 {
        self.submitted_versions
            .iter()
            .map(|(number, _)| *number)
            .max()
            .unwrap_or(0)
    }
}

impl World {
    /// How long a command takes.
    pub(super) fn command_delay(&mut self, submission: usize) -> Duration {
        let late = if self.is_reordered(submission) {
            self.random.below(LATE_ORDER_MS)
        } else {
            0
        };
        COMMAND_DELAY + Duration::from_millis(late)
    }

    fn is_reordered(&self, submission: usize) -> bool {
        self.operators.delivery.reordered
            && self.operators.submissions[submission].is_distinguishable()
    }

    /// Half of the reordered commands come a second time, elsewhere.
    pub(super) fn send_duplicate(&mut self, submission: usize) {
        if self.is_reordered(submission) && self.random.below(2) == 0 {
            let late = Duration::from_millis(self.random.below(DUPLICATE_DELAY_MS));
            self.after(late, Action::RepeatSubmission { submission });
        }
    }

    /// Delivers a result to its operator, unless it is lost.
    pub(super) fn deliver_result(&mut self, submission: usize, answer: ControlResponse) {
        let CommandDelivery {
            lost_per_mille,
            reordered,
        } = self.operators.delivery;
        if lost_per_mille > 0 && self.random.below(1000) < lost_per_mille {
            return;
        }
        let copies = if reordered { 2 } else { 1 };
        (0..copies).for_each(|_| {
            let late = if reordered {
                self.random.below(LATE_ANSWER_MS)
            } else {
                0
            };
            let takes = COMMAND_DELAY + Duration::from_millis(late);
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

    /// Sends the storm's next commands, as many as may be in flight.
    pub(super) fn continue_command_storm(&mut self) {
        while self.operators.storm.left > 0 && self.operators.in_flight() < MAX_IN_FLIGHT {
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
                let number = self.operators.highest_version() + 1 + self.random.below(3);
                self.submit_version(number, other % 2 == 0);
            }
        }
    }

    /// An operator submits a new configuration under a version.
    fn submit_version(&mut self, number: u64, anonymous: bool) {
        self.operators.configurations += 1;
        // Few routes: hundreds of these come. The version distinguishes them.
        let bytes = self
            .shape
            .versioned_configuration(self.operators.configurations % 8, number);
        self.note(Observation::VersionSubmitted {
            number,
            digest: protocol::digest(bytes.as_bytes()),
        });
        self.operators
            .submitted_versions
            .push((number, bytes.clone()));
        self.submit_as(OperatorCommand::Versioned { bytes, number }, anonymous);
    }

    /// Two operators with different configurations under one version, at the same moment.
    pub(super) fn race_equal_versions(&mut self) {
        let number = self.operators.highest_version() + 1;
        let anonymous = self.random.below(2) == 0;
        (0..2).for_each(|_| self.submit_version(number, anonymous));
    }

    /// The oldest commands come once more, to random nodes: those that can be distinguished from new ones. An evacuation without an
    /// id is a new command once the first was answered, and operators send it again for a limited time only.
    pub(super) fn resend_oldest(&mut self) {
        let submissions = self.operators.submissions.iter().enumerate();
        let distinguishable = submissions
            .filter(|(_, submission)| submission.is_distinguishable())
            .map(|(at, _)| at);
        let oldest: Vec<usize> = distinguishable.take(OLDEST).collect();
        oldest.into_iter().for_each(|submission| {
            let late = Duration::from_millis(self.random.below(DUPLICATE_DELAY_MS));
            self.after(late, Action::RepeatSubmission { submission });
        });
    }

    /// The command to evacuate a zone comes again every now and then, also after the evacuation ended.
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

    /// A command without an id goes to this node first.
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

    /// What a node returns that asks no peer.
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
