//! Operators in the simulator: they submit, evacuate, race, ask again when the outcome is unknown, read back.

use super::faults::{Fault, Step};
use super::nodes::NodeEvent;
use super::world::{Action, World};
use crate::facts::Fact;
use crate::shapes::MARKS;
use address::Code;
use controller::{Answer, Ask};
use std::collections::BTreeMap;
use std::time::Duration;

const ASK_AGAIN: Duration = Duration::from_millis(200);
const MOST_ASKS: u32 = 80;
/// A caller that hears nothing for so long goes on to another node.
const SILENCE: Duration = Duration::from_secs(1);

/// What an operator wants, until it is decided.
pub struct Submission {
    id: String,
    submitted_at: Duration,
    what: What,
    decided: bool,
    asked: u32,
    asks_again: bool,
    /// The node that is asked next, where that is no matter of chance.
    ask_at: Option<usize>,
    /// Submitted once this one is decided.
    then: Option<What>,
}

#[derive(Clone)]
pub enum What {
    Setup {
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
    submissions: Vec<Submission>,
    /// Which submission, or which node's read-back, a token stands for.
    tokens: BTreeMap<u64, (usize, usize)>,
    read_backs: BTreeMap<u64, (usize, Duration)>,
    pub(super) beats: BTreeMap<u64, (usize, u64, u64, Duration, usize)>,
    pub(super) edition: u64,
    setups: usize,
    /// Numbered setups offered so far.
    offered: Vec<(u64, String)>,
}

impl Operators {
    /// How many setups were submitted so far.
    pub(super) fn setups(&self) -> usize {
        self.setups
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
        self.operators.setups += 1;
        let mut shape = self.shape.clone();
        if self.weak.homeless {
            shape.services.iter_mut().for_each(|work| work.homes = 0);
        }
        let extra = extra + self.operators.setups;
        let bytes = shape.setup(extra);
        self.submit(What::Setup { bytes, base, mark: extra % MARKS.len() });
    }

    /// Operators race with their own numbers: new ones in no order, two with the same, and old ones again.
    pub(super) fn race_numbers(&mut self) {
        let most = self.operators.offered.iter().map(|(number, _)| *number).max().unwrap_or(0);
        [3, 1, 5, 5, 4].into_iter().for_each(|ahead| {
            self.operators.setups += 1;
            let (number, extra) = (most + ahead, self.operators.setups);
            let bytes = self.shape.numbered_setup(extra, number);
            self.note(Fact::Offered { number, digest: protocol::digest(bytes.as_bytes()) });
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
        self.operators.setups += 1;
        let extra = self.operators.setups;
        let bytes = self.shape.setup(extra);
        self.submit_there(node, What::Setup { bytes, base: None, mark: extra % MARKS.len() });
    }

    pub(super) fn submit(&mut self, what: What) {
        self.submit_at(None, what);
    }

    /// Submits at this node first.
    pub(super) fn submit_there(&mut self, node: usize, what: What) {
        self.submit_at(Some(node), what);
    }

    fn submit_at(&mut self, ask_at: Option<usize>, what: What) {
        // Work may go there from the moment it is asked for: the yes comes later.
        if let What::Evacuate { locality, back: true } = &what {
            self.note(Fact::Evacuated { locality: locality.clone(), back: true });
        }
        let at = self.operators.submissions.len();
        let id = format!("submission-{at}");
        let submitted_at = self.now;
        self.operators.submissions.push(Submission {
            id,
            submitted_at,
            what,
            decided: false,
            asked: 0,
            asks_again: false,
            ask_at,
            then: None,
        });
        self.ask_submission(at);
    }

    pub(super) fn ask_submission(&mut self, at: usize) {
        let submission = &mut self.operators.submissions[at];
        submission.asks_again = false;
        if submission.decided {
            return;
        }
        submission.asked += 1;
        let id = submission.id.clone();
        let ask = match submission.what.clone() {
            What::Setup { bytes, base, .. } => Ask::Submit { id, base, bytes: bytes.into_bytes(), in_force: false },
            What::Numbered { bytes, .. } => Ask::Submit { id, base: None, bytes: bytes.into_bytes(), in_force: false },
            What::Evacuate { locality, back } => Ask::Evacuate { id, locality, back, in_force: false },
        };
        let ask_at = submission.ask_at.take();
        let (node, token) = (self.some_control_node(), self.id());
        let node = ask_at.unwrap_or(node);
        self.operators.tokens.insert(token, (at, node));
        self.after(Duration::from_millis(8), Action::Deliver { node, event: NodeEvent::Ask { token, ask } });
        // No answer at all: ask again with the same id, elsewhere.
        let unknown = Answer::Verdict { code: Code::SetupUnknown, edition: 0 };
        let impatient = |step: &Step| matches!(step.fault, Fault::LongCut { .. });
        let patience = if self.plan.steps.iter().any(impatient) { SILENCE } else { Duration::from_secs(4) };
        self.after(patience, Action::OperatorAnswer { submission: at, answer: unknown });
    }

    fn some_control_node(&mut self) -> usize {
        let control_nodes = self.control_nodes();
        control_nodes[self.random.below(control_nodes.len() as u64) as usize]
    }

    /// An answer of a postmaster, by token.
    pub(super) fn asked(&mut self, token: u64, answer: Answer) {
        if let Some(beat) = self.operators.beats.remove(&token) {
            return self.beat_answered(beat, answer);
        }
        if let Some((node, asked_at)) = self.operators.read_backs.remove(&token) {
            let read = match answer {
                Answer::Setup { edition, bytes } => Some((edition, protocol::digest(&bytes))),
                // 'Nothing was ever accepted' is an answer too.
                Answer::Verdict { code: Code::NoWord, edition } => Some((edition, String::new())),
                _ => None,
            };
            read.into_iter().for_each(|(edition, digest)| {
                let node = self.nodes[node].name.clone();
                self.note(Fact::ReadBack { node, edition, digest, asked_at });
            });
            return;
        }
        let submission = self.operators.tokens.remove(&token);
        submission.into_iter().for_each(|(submission, _)| {
            let answer = answer.clone();
            self.after(Duration::from_millis(8), Action::OperatorAnswer { submission, answer });
        });
    }

    pub(super) fn operator_told(&mut self, at: usize, answer: Answer) {
        if self.operators.submissions[at].decided {
            return;
        }
        if let Answer::Redirect { to } = &answer {
            self.operators.submissions[at].ask_at = self.named(to);
            return self.ask_submission(at);
        }
        let Answer::Verdict { code, edition } = answer else { return };
        match code {
            Code::Fine | Code::SetupBehind => self.decide_submission(at, code, edition),
            // Not decided: again with the same id, after a moment.
            _ if !self.operators.submissions[at].asks_again && self.operators.submissions[at].asked < MOST_ASKS => {
                self.operators.submissions[at].asks_again = true;
                self.after(ASK_AGAIN, Action::OperatorAsk { submission: at });
            }
            _ => {}
        }
    }

    fn decide_submission(&mut self, at: usize, code: Code, edition: u64) {
        let submission = &mut self.operators.submissions[at];
        submission.decided = true;
        let then = submission.then.take();
        let (what, took) = (submission.what.clone(), self.now - submission.submitted_at);
        self.operators.edition = self.operators.edition.max(edition);
        if code != Code::Fine {
            return;
        }
        match what {
            What::Setup { bytes, mark, .. } => {
                let digest = protocol::digest(bytes.as_bytes());
                self.note(Fact::Submitted { edition, digest, mark, took });
            }
            What::Numbered { number, .. } => self.note(Fact::Acknowledged { number }),
            What::Evacuate { locality, back: false } => self.note(Fact::Evacuated { locality, back: false }),
            What::Evacuate { back: true, .. } => {}
        }
        self.note(Fact::Accepted { edition });
        then.into_iter().for_each(|then| self.submit(then));
    }

    /// An operator takes a zone back only after the evacuation was decided.
    pub(super) fn take_back(&mut self, zone: String) {
        let (locality, back) = (zone.clone(), true);
        let evacuates = |submission: &&mut Submission| matches!(&submission.what, What::Evacuate { locality, back: false } if *locality == zone);
        let open = self.operators.submissions.iter_mut().rfind(evacuates).filter(|submission| !submission.decided);
        match open {
            Some(submission) => submission.then = Some(What::Evacuate { locality, back }),
            None => self.submit(What::Evacuate { locality, back }),
        }
    }

    /// Asks every node at once: each gives the same answer, or says that it can't know.
    fn read_back(&mut self) {
        let control_nodes = self.control_nodes();
        control_nodes.into_iter().for_each(|node| {
            let token = self.id();
            self.operators.read_backs.insert(token, (node, self.now));
            let event = NodeEvent::Ask { token, ask: Ask::ReadSetup };
            self.after(Duration::from_millis(8), Action::Deliver { node, event });
        });
    }
}
