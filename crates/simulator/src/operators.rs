//! Operators in the simulator: they submit, evacuate, race, ask again when the outcome is unknown, read back.

use super::faults::{Fault, Step};
use super::nodes::NodeEvent;
use super::order_faults::{OrderDelivery, Storm};
use super::world::{Action, World};
use crate::shapes::MARKS;
use control_plane::{ControlRequest, ControlResponse};
use invariants::facts::Fact;
use invariants::history::{Order, Reply};
use quorum_register::ChangeId;
use result_code::ResultCode;
use std::collections::BTreeMap;
use std::time::Duration;

const ASK_AGAIN: Duration = Duration::from_millis(200);
const MAX_ASKS: u32 = 80;
/// A caller that hears nothing for so long goes on to another node.
const CUT_SILENCE: Duration = Duration::from_secs(1);

/// What an operator wants, until it is decided.
pub struct Submission {
    pub(super) id: String,
    /// Sent without the id: only its number tells it from another.
    anonymous: bool,
    /// How many orders the operators knew to be decided when it was first sent.
    since: u64,
    submitted_at: Duration,
    what: What,
    pub(super) decided: bool,
    asked: u32,
    asks_again: bool,
    /// Submitted once this one is decided.
    pub(super) then: Option<What>,
}

impl Submission {
    /// True where an order that strays on its way can be told from a new one: by its id or its number.
    pub(super) fn is_told_apart(&self) -> bool {
        !self.anonymous || matches!(self.what, What::Numbered { .. })
    }

    fn ask(&self) -> ControlRequest {
        let id = ChangeId {
            id: self.id.clone(),
            since: Some(self.since),
        };
        let id = if self.anonymous {
            ChangeId::default()
        } else {
            id
        };
        match self.what.clone() {
            What::Configuration { bytes, base, .. } => ControlRequest::SubmitConfiguration {
                id,
                base,
                bytes: bytes.into_bytes(),
                in_force: false,
            },
            What::Numbered { bytes, .. } => ControlRequest::SubmitConfiguration {
                id,
                base: None,
                bytes: bytes.into_bytes(),
                in_force: false,
            },
            What::Evacuate { locality, back } => ControlRequest::Evacuate {
                id,
                locality,
                back,
                in_force: false,
            },
        }
    }

    /// The same, as the checker of histories has it.
    fn order(&self) -> Order {
        let digest = |bytes: &str| protocol::digest(bytes.as_bytes());
        match &self.what {
            What::Configuration { bytes, base, .. } => Order::Configuration {
                number: None,
                base: *base,
                digest: digest(bytes),
            },
            What::Numbered { bytes, number } => Order::Configuration {
                number: Some(*number),
                base: None,
                digest: digest(bytes),
            },
            What::Evacuate { locality, back } => Order::Evacuate {
                locality: locality.clone(),
                back: *back,
            },
        }
    }
}

#[derive(Clone)]
pub enum What {
    Configuration {
        bytes: String,
        base: Option<u64>,
        mark: usize,
    },
    /// With the operator's own number.
    Numbered {
        bytes: String,
        number: u64,
    },
    Evacuate {
        locality: String,
        back: bool,
    },
}

/// All operators' state.
#[derive(Default)]
pub struct Operators {
    pub(super) submissions: Vec<Submission>,
    pub(super) delivery: OrderDelivery,
    pub(super) storm: Storm,
    /// Orders with an id that are known to be decided.
    decided: u64,
    /// Which submission, or which node's read-back, a token stands for.
    tokens: BTreeMap<u64, (usize, usize)>,
    read_backs: BTreeMap<u64, (usize, Duration)>,
    pub(super) beats: BTreeMap<u64, (usize, u64, u64, Duration, usize)>,
    pub(super) revision: u64,
    pub(super) configurations: usize,
    /// Numbered setups offered so far.
    pub(super) offered: Vec<(u64, String)>,
}

impl Operators {
    /// How many setups were submitted so far.
    pub(super) fn configurations(&self) -> usize {
        self.configurations
    }
}

impl World {
    /// The first setup, and then read-backs for as long as the run goes on.
    pub(super) fn operate(&mut self) {
        if self.operators.submissions.is_empty() {
            self.submit_setup(0, None);
        }
        self.read_back();
        self.after(Duration::from_millis(700), Action::Operator);
    }

    /// Submits a new setup, larger by some routes.
    pub(super) fn submit_setup(&mut self, extra: usize, base: Option<u64>) {
        self.operators.configurations += 1;
        let mut shape = self.shape.clone();
        if self.weak.homeless {
            shape.services.iter_mut().for_each(|work| work.homes = 0);
        }
        let extra = extra + self.operators.configurations;
        let bytes = shape.configuration(extra);
        self.submit(What::Configuration {
            bytes,
            base,
            mark: extra % MARKS.len(),
        });
    }

    /// Operators race with their own numbers: new ones in no order, two with the same, and old ones again.
    pub(super) fn race_numbers(&mut self) {
        let most = self
            .operators
            .offered
            .iter()
            .map(|(number, _)| *number)
            .max()
            .unwrap_or(0);
        [3, 1, 5, 5, 4].into_iter().for_each(|ahead| {
            self.operators.configurations += 1;
            let (number, extra) = (most + ahead, self.operators.configurations);
            let bytes = self.shape.numbered_setup(extra, number);
            self.note(Fact::Offered {
                number,
                digest: protocol::digest(bytes.as_bytes()),
            });
            self.operators.offered.push((number, bytes.clone()));
            self.submit(What::Numbered { bytes, number });
        });
        (0..3).for_each(|_| {
            let at = self.random.below(self.operators.offered.len() as u64) as usize;
            let (number, bytes) = self.operators.offered[at].clone();
            self.submit(What::Numbered { bytes, number });
        });
    }

    /// Submits a new setup at this node first.
    pub(super) fn submit_first_at(&mut self, node: usize) {
        self.operators.configurations += 1;
        let extra = self.operators.configurations;
        let bytes = self.shape.configuration(extra);
        self.submit_through(
            Some(node),
            What::Configuration {
                bytes,
                base: None,
                mark: extra % MARKS.len(),
            },
            false,
        );
    }

    pub(super) fn submit(&mut self, what: What) {
        self.submit_as(what, false);
    }

    /// Submits an order, without its id where it is anonymous; gives its number.
    pub(super) fn submit_as(&mut self, what: What, anonymous: bool) -> usize {
        self.submit_through(None, what, anonymous)
    }

    /// The same, through this node first.
    pub(super) fn submit_through(
        &mut self,
        first_node: Option<usize>,
        what: What,
        anonymous: bool,
    ) -> usize {
        // Work may go there from the moment it is asked for: the yes comes later.
        if let What::Evacuate {
            locality,
            back: true,
        } = &what
        {
            self.note(Fact::Evacuated {
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
            asked: 0,
            asks_again: false,
            then: None,
        });
        let order = self.operators.submissions[at].order();
        self.note(Fact::CallError { call: id, order });
        let node = first_node.unwrap_or_else(|| self.some_control_node());
        self.ask_submission_at(at, node);
        at
    }

    pub(super) fn ask_submission(&mut self, at: usize) {
        let submission = &mut self.operators.submissions[at];
        submission.asks_again = false;
        if !submission.decided {
            let node = self.some_control_node();
            self.ask_submission_at(at, node);
        }
    }

    fn ask_submission_at(&mut self, at: usize, node: usize) {
        self.operators.submissions[at].asked += 1;
        self.send_order_to(at, node);
        self.send_stray_copy(at);
        // No answer at all: ask again with the same id, elsewhere.
        let unknown = ControlResponse::Outcome {
            code: ResultCode::ChangeOutcomeUnknown,
            revision: 0,
        };
        let impatient = |step: &Step| matches!(step.fault, Fault::LongCut { .. });
        let impatient = self.plan.steps.iter().any(impatient);
        let silence = if impatient {
            CUT_SILENCE
        } else {
            self.operators.silence()
        };
        self.after(
            silence,
            Action::OperatorAnswer {
                submission: at,
                answer: unknown,
            },
        );
    }

    /// Sends an order once, to some node.
    pub(super) fn send_order(&mut self, at: usize) {
        let node = self.some_control_node();
        self.send_order_to(at, node);
    }

    fn send_order_to(&mut self, at: usize, node: usize) {
        let request_id = self.id();
        self.operators.tokens.insert(request_id, (at, node));
        let mut ask = self.operators.submissions[at].ask();
        if let (
            true,
            ControlRequest::SubmitConfiguration { id, .. } | ControlRequest::Evacuate { id, .. },
        ) = (self.weak.redoes_orders, &mut ask)
            && !id.id.is_empty()
        {
            id.id = format!("{}-{request_id}", id.id);
        }
        let takes = self.order_takes(at);
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

    /// An answer of a postmaster, by token.
    pub(super) fn asked(&mut self, request_id: u64, answer: ControlResponse) {
        if let Some(beat) = self.operators.beats.remove(&request_id) {
            return self.beat_answered(beat, answer);
        }
        if let Some((node, asked_at)) = self.operators.read_backs.remove(&request_id) {
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
                self.note(Fact::ReadBack {
                    node,
                    revision,
                    digest,
                    asked_at,
                });
            });
            return;
        }
        let submission = self.operators.tokens.remove(&request_id);
        let answer = match answer {
            ControlResponse::Outcome {
                code: ResultCode::VersionConflict,
                revision,
            } if self.weak.confirms_taken => ControlResponse::Outcome {
                code: ResultCode::Success,
                revision,
            },
            other => other,
        };
        submission
            .into_iter()
            .for_each(|(submission, _)| self.carry_answer(submission, answer.clone()));
    }

    pub(super) fn operator_told(&mut self, at: usize, answer: ControlResponse) {
        if let ControlResponse::Redirect { to } = &answer {
            let node = self
                .named(to)
                .filter(|_| !self.operators.submissions[at].decided);
            return node
                .into_iter()
                .for_each(|node| self.ask_submission_at(at, node));
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
            self.note(Fact::Returned {
                call,
                reply: Reply::Decided { code, revision },
            });
        }
        if already_decided {
            return;
        }
        match code {
            _ if is_final => self.decide_submission(at, code, revision),
            // Not decided: again with the same id, after a moment.
            _ if !self.operators.submissions[at].asks_again
                && self.operators.submissions[at].asked < MAX_ASKS =>
            {
                self.operators.submissions[at].asks_again = true;
                self.after(ASK_AGAIN, Action::OperatorAsk { submission: at });
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
        self.feed_storm();
        if !matches!(code, ResultCode::Success | ResultCode::Superseded) {
            return;
        }
        match what {
            What::Configuration { bytes, mark, .. } => {
                let digest = protocol::digest(bytes.as_bytes());
                self.note(Fact::Submitted {
                    revision,
                    digest,
                    mark,
                    took,
                });
            }
            What::Numbered { number, .. } => self.note(Fact::Acknowledged { number }),
            // Where another operator took the place back meanwhile, nobody outside knows which came first; the whole
            // history of calls is judged by a rule of its own.
            What::Evacuate {
                locality,
                back: false,
            } if self.taken_back_since(&locality, submitted_at) => {}
            What::Evacuate {
                locality,
                back: false,
            } => self.note(Fact::Evacuated {
                locality,
                back: false,
            }),
            What::Evacuate { back: true, .. } => {}
        }
        if code == ResultCode::Success {
            self.note(Fact::Accepted { revision });
        }
        then.into_iter().for_each(|then| self.submit(then));
    }

    /// True where an operator asked to take a place back at this moment or later.
    fn taken_back_since(&self, place: &str, since: Duration) -> bool {
        let takes_back = |what: &What| matches!(what, What::Evacuate { locality, back: true } if locality == place);
        self.operators
            .submissions
            .iter()
            .any(|other| other.submitted_at >= since && takes_back(&other.what))
    }

    /// An operator takes a zone back only after the evacuation was decided.
    pub(super) fn take_back(&mut self, zone: String) {
        let (locality, back) = (zone.clone(), true);
        let evacuates = |submission: &&mut Submission| matches!(&submission.what, What::Evacuate { locality, back: false } if *locality == zone);
        let open = self
            .operators
            .submissions
            .iter_mut()
            .rfind(evacuates)
            .filter(|submission| !submission.decided);
        match open {
            Some(submission) => submission.then = Some(What::Evacuate { locality, back }),
            None => self.submit(What::Evacuate { locality, back }),
        }
    }

    /// Asks every node at once: each gives the same answer, or says that it can't know.
    fn read_back(&mut self) {
        let control_nodes = self.control_nodes();
        control_nodes.into_iter().for_each(|node| {
            if self.weak.reads_alone {
                return self.read_alone(node);
            }
            let request_id = self.id();
            self.operators
                .read_backs
                .insert(request_id, (node, self.now));
            let event = NodeEvent::ControlRequest {
                request_id,
                ask: ControlRequest::ReadConfiguration,
            };
            self.after(Duration::from_millis(8), Action::Deliver { node, event });
        });
    }
}
