//! Simulated operators: they submit configurations, evacuate, race, retry when the outcome is unknown, and read.

use super::command_faults::{CommandDelivery, CommandStorm};
use super::faults::{Fault, Step};
use super::nodes::NodeEvent;
use crate::heartbeats::SentHeartbeat;
use crate::schedule::Action;
use crate::shapes::MARKERS;
use crate::submissions::{OperatorCommand, Submission};
use crate::world::World;
use control_plane::{ControlRequest, ControlResponse};
use invariants::history::CommandResult;
use invariants::observations::Observation;
use result_code::ResultCode;
use std::collections::BTreeMap;
use std::time::Duration;

const RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: u32 = 80;
/// An operator without a response for so long goes on to another node.
const COMMAND_TIMEOUT_WHILE_PARTITIONED: Duration = Duration::from_secs(1);

/// All operators' state.
#[derive(Default)]
pub struct Operators {
    pub(super) submissions: Vec<Submission>,
    pub(super) delivery: CommandDelivery,
    pub(super) storm: CommandStorm,
    /// Orders with an id that are known to be decided.
    decided: u64,
    /// Which submission, or which node's read-back, a token stands for.
    pending_commands: BTreeMap<u64, (usize, usize)>,
    pending_reads: BTreeMap<u64, (usize, Duration)>,
    pub(super) pending_heartbeats: BTreeMap<u64, SentHeartbeat>,
    pub(super) revision: u64,
    pub(super) configurations: usize,
    /// Configurations with a version that were submitted so far.
    pub(super) submitted_versions: Vec<(u64, String)>,
}

impl Operators {
    /// How many configurations were submitted so far.
    pub(super) fn configurations(&self) -> usize {
        self.configurations
    }
}

impl World {
    /// Submits the first configuration, and then reads it for as long as the run goes on.
    pub(super) fn run_operators(&mut self) {
        if self.operators.submissions.is_empty() {
            self.submit_configuration(0, None);
        }
        self.read_configurations();
        self.after(Duration::from_millis(700), Action::RunOperators);
    }

    /// Submits a new configuration, larger by some routes.
    pub(super) fn submit_configuration(&mut self, extra: usize, base: Option<u64>) {
        self.operators.configurations += 1;
        let mut shape = self.shape.clone();
        if self.defects.omits_home_regions {
            shape.services.iter_mut().for_each(|work| work.homes = &[]);
        }
        let extra = extra + self.operators.configurations;
        let bytes = shape.configuration(extra);
        self.submit(OperatorCommand::Configuration {
            bytes,
            base,
            marker: extra % MARKERS.len(),
        });
    }

    /// Operators race with versions of their own: new ones in no order, two with the same, and old ones again.
    pub(super) fn race_versions(&mut self) {
        let most = self
            .operators
            .submitted_versions
            .iter()
            .map(|(number, _)| *number)
            .max()
            .unwrap_or(0);
        [3, 1, 5, 5, 4].into_iter().for_each(|ahead| {
            self.operators.configurations += 1;
            let (number, extra) = (most + ahead, self.operators.configurations);
            let bytes = self.shape.versioned_configuration(extra, number);
            self.note(Observation::VersionSubmitted {
                number,
                digest: protocol::digest(bytes.as_bytes()),
            });
            self.operators
                .submitted_versions
                .push((number, bytes.clone()));
            self.submit(OperatorCommand::Versioned { bytes, number });
        });
        (0..3).for_each(|_| {
            let at =
                self.random
                    .below(self.operators.submitted_versions.len() as u64) as usize;
            let (number, bytes) = self.operators.submitted_versions[at].clone();
            self.submit(OperatorCommand::Versioned { bytes, number });
        });
    }

    /// Submits a new configuration at this node first.
    pub(super) fn submit_first_at(&mut self, node: usize) {
        self.operators.configurations += 1;
        let extra = self.operators.configurations;
        let bytes = self.shape.configuration(extra);
        self.submit_through(
            Some(node),
            OperatorCommand::Configuration {
                bytes,
                base: None,
                marker: extra % MARKERS.len(),
            },
            false,
        );
    }

    pub(super) fn submit(&mut self, what: OperatorCommand) {
        self.submit_as(what, false);
    }

    /// Submits a command, without its id where it is anonymous; returns its index.
    pub(super) fn submit_as(&mut self, what: OperatorCommand, anonymous: bool) -> usize {
        self.submit_through(None, what, anonymous)
    }

    /// The same, through this node first.
    pub(super) fn submit_through(
        &mut self,
        first_node: Option<usize>,
        what: OperatorCommand,
        anonymous: bool,
    ) -> usize {
        // Requests may go there from the moment it is asked for: the confirmation comes later.
        if let OperatorCommand::Evacuate {
            locality,
            back: true,
        } = &what
        {
            self.note(Observation::Evacuation {
                locality: locality.clone(),
                back: true,
            });
        }
        let at = self.operators.submissions.len();
        let id = format!("submission-{at}");
        let submitted_at = self.now;
        self.operators.submissions.push(Submission {
            id: id.clone(),
            anonymous,
            since: self.operators.decided,
            submitted_at,
            what,
            decided: false,
            attempts: 0,
            retry_scheduled: false,
            then: None,
        });
        let command = self.operators.submissions[at].command();
        self.note(Observation::CommandInvoked { call: id, command });
        let node = first_node.unwrap_or_else(|| self.some_control_node());
        self.send_submission_to(at, node);
        at
    }

    pub(super) fn send_submission(&mut self, at: usize) {
        let submission = &mut self.operators.submissions[at];
        submission.retry_scheduled = false;
        if !submission.decided {
            let node = self.some_control_node();
            self.send_submission_to(at, node);
        }
    }

    fn send_submission_to(&mut self, at: usize, node: usize) {
        self.operators.submissions[at].attempts += 1;
        self.send_command_to(at, node);
        self.send_duplicate(at);
        // No response at all: retry with the same id, elsewhere.
        let unknown = ControlResponse::Outcome {
            code: ResultCode::ChangeOutcomeUnknown,
            revision: 0,
        };
        let impatient = |step: &Step| matches!(step.fault, Fault::LongPartition { .. });
        let impatient = self.plan.steps.iter().any(impatient);
        let command_timeout = if impatient {
            COMMAND_TIMEOUT_WHILE_PARTITIONED
        } else {
            self.operators.command_timeout()
        };
        self.after(
            command_timeout,
            Action::ReceiveSubmissionResult {
                submission: at,
                answer: unknown,
            },
        );
    }

    /// Sends a command once, to a random control node.
    pub(super) fn send_command(&mut self, at: usize) {
        let node = self.some_control_node();
        self.send_command_to(at, node);
    }

    fn send_command_to(&mut self, at: usize, node: usize) {
        let request_id = self.allocate_id();
        self.operators
            .pending_commands
            .insert(request_id, (at, node));
        let mut ask = self.operators.submissions[at].request();
        if let (
            true,
            ControlRequest::SubmitConfiguration { id, .. } | ControlRequest::Evacuate { id, .. },
        ) = (self.defects.reexecutes_commands, &mut ask)
            && !id.id.is_empty()
        {
            id.id = format!("{}-{request_id}", id.id);
        }
        let takes = self.command_delay(at);
        self.after(
            takes,
            Action::Deliver {
                node,
                event: NodeEvent::ControlRequest { request_id, ask },
            },
        );
    }

    fn some_control_node(&mut self) -> usize {
        let control_nodes = self.control_nodes();
        control_nodes[self.random.below(control_nodes.len() as u64) as usize]
    }

    /// A response of a control node, by the id of the request.
    pub(super) fn control_responded(&mut self, request_id: u64, answer: ControlResponse) {
        if let Some(heartbeat) = self.operators.pending_heartbeats.remove(&request_id) {
            return self.heartbeat_answered(heartbeat, answer);
        }
        if let Some((node, asked_at)) = self.operators.pending_reads.remove(&request_id) {
            let read = match answer {
                ControlResponse::Configuration { revision, bytes } => {
                    Some((revision, protocol::digest(&bytes)))
                }
                // 'Nothing was ever accepted' is an answer too.
                ControlResponse::Outcome {
                    code: ResultCode::NoConfiguration,
                    revision,
                } => Some((revision, String::new())),
                _ => None,
            };
            read.into_iter().for_each(|(revision, digest)| {
                let node = self.nodes[node].name.clone();
                self.note(Observation::ConfigurationRead {
                    node,
                    revision,
                    digest,
                    asked_at,
                });
            });
            return;
        }
        let submission = self.operators.pending_commands.remove(&request_id);
        let answer = match answer {
            ControlResponse::Outcome {
                code: ResultCode::VersionConflict,
                revision,
            } if self.defects.confirms_version_conflicts => ControlResponse::Outcome {
                code: ResultCode::Success,
                revision,
            },
            other => other,
        };
        submission
            .into_iter()
            .for_each(|(submission, _)| self.deliver_result(submission, answer.clone()));
    }

    pub(super) fn operator_received(&mut self, at: usize, answer: ControlResponse) {
        if let ControlResponse::Redirect { to } = &answer {
            let node = self
                .named(to)
                .filter(|_| !self.operators.submissions[at].decided);
            return node
                .into_iter()
                .for_each(|node| self.send_submission_to(at, node));
        }
        let ControlResponse::Outcome { code, revision } = answer else {
            return;
        };
        let is_final = matches!(
            code,
            ResultCode::Success
                | ResultCode::RevisionConflict
                | ResultCode::VersionConflict
                | ResultCode::Superseded
                | ResultCode::ChangeForgotten
                | ResultCode::IdReused
        );
        let submission = &self.operators.submissions[at];
        let already_decided = submission.decided;
        if is_final {
            // Without an id the answer may be to a later sending than the one that was decided.
            let revision = Some(revision).filter(|_| !submission.anonymous);
            let call = submission.id.clone();
            self.note(Observation::CommandReturned {
                call,
                reply: CommandResult::Decided { code, revision },
            });
        }
        if already_decided {
            return;
        }
        match code {
            _ if is_final => self.decide_submission(at, code, revision),
            // Not decided: retry with the same id, after a delay.
            _ if !self.operators.submissions[at].retry_scheduled
                && self.operators.submissions[at].attempts < MAX_ATTEMPTS =>
            {
                self.operators.submissions[at].retry_scheduled = true;
                self.after(RETRY_DELAY, Action::SendSubmission { submission: at });
            }
            _ => {}
        }
    }

    fn decide_submission(&mut self, at: usize, code: ResultCode, revision: u64) {
        let submission = &mut self.operators.submissions[at];
        submission.decided = true;
        let remembered = !submission.anonymous;
        let then = submission.then.take();
        let submitted_at = submission.submitted_at;
        let (what, took) = (submission.what.clone(), self.now - submitted_at);
        self.operators.decided += u64::from(remembered);
        self.operators.revision = self.operators.revision.max(revision);
        self.continue_command_storm();
        if !matches!(code, ResultCode::Success | ResultCode::Superseded) {
            return;
        }
        match what {
            OperatorCommand::Configuration { bytes, marker, .. } => {
                let digest = protocol::digest(bytes.as_bytes());
                self.note(Observation::ConfigurationAccepted {
                    revision,
                    digest,
                    marker,
                    took,
                });
            }
            OperatorCommand::Versioned { number, .. } => {
                self.note(Observation::VersionAcknowledged { number })
            }
            // Where another operator took the place back meanwhile, nobody outside knows which came first; the whole
            // history of calls is judged by a rule of its own.
            OperatorCommand::Evacuate {
                locality,
                back: false,
            } if self.evacuation_ended_since(&locality, submitted_at) => {}
            OperatorCommand::Evacuate {
                locality,
                back: false,
            } => self.note(Observation::Evacuation {
                locality,
                back: false,
            }),
            OperatorCommand::Evacuate { back: true, .. } => {}
        }
        if code == ResultCode::Success {
            self.note(Observation::RevisionAccepted { revision });
        }
        then.into_iter().for_each(|then| self.submit(then));
    }

    /// True where an operator asked to end an evacuation at this moment or later.
    fn evacuation_ended_since(&self, place: &str, since: Duration) -> bool {
        let ends_evacuation = |what: &OperatorCommand| matches!(what, OperatorCommand::Evacuate { locality, back: true } if locality == place);
        self.operators
            .submissions
            .iter()
            .any(|other| other.submitted_at >= since && ends_evacuation(&other.what))
    }

    /// An operator ends an evacuation only after it was decided.
    pub(super) fn end_evacuation(&mut self, zone: String) {
        let (locality, back) = (zone.clone(), true);
        let is_evacuation = |submission: &&mut Submission| matches!(&submission.what, OperatorCommand::Evacuate { locality, back: false } if *locality == zone);
        let open = self
            .operators
            .submissions
            .iter_mut()
            .rfind(is_evacuation)
            .filter(|submission| !submission.decided);
        match open {
            Some(submission) => {
                submission.then = Some(OperatorCommand::Evacuate { locality, back })
            }
            None => self.submit(OperatorCommand::Evacuate { locality, back }),
        }
    }

    /// Reads from every node at once: each returns the same, or says that it can't know.
    fn read_configurations(&mut self) {
        let control_nodes = self.control_nodes();
        control_nodes.into_iter().for_each(|node| {
            if self.defects.reads_local_disk_only {
                return self.read_local_configuration(node);
            }
            let request_id = self.allocate_id();
            self.operators
                .pending_reads
                .insert(request_id, (node, self.now));
            let event = NodeEvent::ControlRequest {
                request_id,
                ask: ControlRequest::ReadConfiguration,
            };
            self.after(Duration::from_millis(8), Action::Deliver { node, event });
        });
    }
}
