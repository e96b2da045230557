//! Changes of the voters: a voter that is gone is replaced by a control node that has all state and no vote yet.
//!
//! The holder of the placement lease decides, so one node at a time does. Its decisions are changes of the replicated state
//! like any other: the register sees that quorums before and after a change share a voter, whoever proposes it. The number
//! of voters stays: a voter loses its vote only to a node that takes its place. So a zone or region that is lost takes no
//! votes along, and the nodes that are left never decide that they are enough.

use crate::interface::ControlResponse;
use crate::node::ControlNode;
use protocol::{CONTROL_NODE_ROLE, MemberState, Payload, VoterLeaving, majority};
use quorum_register::{Change, Event};
use result_code::ResultCode;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often the voters are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A voter that was silent for so long is replaced, where a node of its locality can replace it.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);
/// The same, where only a node of another locality can.
const REPLACE_FROM_ELSEWHERE_AFTER: Duration = Duration::from_secs(30);
/// A node that was silent for so long becomes no voter.
const HEARD_RECENTLY: Duration = Duration::from_millis(1500);
/// How long a voter that shuts down waits to be replaced.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long a voter's announcement that it leaves counts.
const LEAVING_EXPIRY: Duration = Duration::from_secs(6);
/// Most control nodes whose localities are remembered.
const MAX_LOCALITIES: usize = 256;

/// What is known for changes of the voters.
#[derive(Default)]
pub(crate) struct VoterChanges {
    next_check: Duration,
    /// Localities of control nodes, also of those that are gone.
    localities: BTreeMap<String, String>,
    /// Voters that announced that they leave, and when.
    leaving: BTreeMap<String, Duration>,
    /// Until when this node, shutting down, waits to be replaced.
    handover_deadline: Option<Duration>,
}

/// A voter that is gone, and the node that becomes a voter instead.
struct Replacement {
    gone: String,
    successor: String,
}

impl ControlNode {
    pub(crate) fn tick_voters(&mut self, now: Duration) {
        if now < self.voter_changes.next_check {
            return;
        }
        self.voter_changes.next_check = now + CHECK_INTERVAL;
        self.remember_localities();
        self.voter_changes
            .leaving
            .retain(|_, announced_at| now < *announced_at + LEAVING_EXPIRY);
        self.finish_handover(now);
        if self.lease.held_epoch(now).is_some() && self.is_current(now) {
            self.manage_voters(now);
        }
    }

    fn remember_localities(&mut self) {
        let control_nodes = self
            .members
            .iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE);
        for member in control_nodes {
            let localities = &mut self.voter_changes.localities;
            if localities.len() < MAX_LOCALITIES || localities.contains_key(&member.node) {
                localities.insert(member.node.clone(), member.locality.clone());
            }
        }
    }

    /// Completes a change that is under way, or begins one where a voter is gone and can be replaced.
    fn manage_voters(&mut self, now: Duration) {
        let voter_set = self.register.state().voter_set.clone();
        let epoch = voter_set.epoch;
        if voter_set.is_joint() {
            return self.propose(now, Change::CompleteVoters { epoch });
        }
        if !self.may_begin_change(now) {
            return;
        }
        let Some(Replacement { gone, successor }) = self.replacement(now) else {
            return;
        };
        if !self.has_caught_up(&successor) {
            // A round that changes nothing brings it the state in force.
            return self.propose(now, Change::FinishRound);
        }
        let mut voters: Vec<String> = voter_set
            .voters
            .into_iter()
            .filter(|voter| *voter != gone)
            .collect();
        voters.push(successor.clone());
        self.log(format!("voters: {successor} replaces {gone}"));
        self.propose(now, Change::BeginVoters { epoch, voters });
    }

    /// An operator's change of the voters. A majority of the set after it must have caught up, so that no state is lost.
    pub(crate) fn change_voters(
        &mut self,
        now: Duration,
        request_id: u64,
        add: Option<String>,
        remove: Option<String>,
    ) {
        let revision = self.revision();
        match self.voters_after(now, add, remove) {
            Err(code) => self.respond(request_id, ControlResponse::Outcome { code, revision }),
            Ok(voters) => {
                let epoch = self.register.state().voter_set.epoch;
                self.submit_change(now, request_id, Change::BeginVoters { epoch, voters }, None);
            }
        }
    }

    fn voters_after(
        &self,
        now: Duration,
        add: Option<String>,
        remove: Option<String>,
    ) -> Result<Vec<String>, ResultCode> {
        if !self.is_current(now) {
            return Err(ResultCode::StaleView);
        }
        if !self.may_begin_change(now) {
            return Err(ResultCode::VoterChangePending);
        }
        let voters = &self.register.state().voter_set.voters;
        let unknown = remove.as_ref().is_some_and(|node| !voters.contains(node));
        let unfit = add
            .as_ref()
            .is_some_and(|node| !self.candidates(now).contains(node) || !self.has_caught_up(node));
        if unknown || unfit {
            return Err(ResultCode::UnsuitableVoter);
        }
        let kept = voters
            .iter()
            .filter(|voter| Some(*voter) != remove.as_ref())
            .cloned();
        let after: Vec<String> = kept.chain(add).collect();
        let caught_up = after
            .iter()
            .filter(|voter| self.has_caught_up(voter))
            .count();
        if after.is_empty() || caught_up < majority(after.len()) {
            Err(ResultCode::UnsuitableVoter)
        } else {
            Ok(after)
        }
    }

    pub(crate) fn has_caught_up(&self, node: &str) -> bool {
        node == self.me.node || self.register.is_caught_up(node)
    }

    /// A lease that an earlier set of voters granted must have run out before the set after the next may grant one.
    fn may_begin_change(&self, now: Duration) -> bool {
        let least = self.times.lease.duration + self.times.lease.safety_margin;
        self.register
            .voter_set_stable_for(now)
            .is_some_and(|settled| settled >= least)
    }

    fn propose(&mut self, now: Duration, change: Change) {
        self.run_register(now, Event::Propose(change));
    }

    /// A voter that is gone or leaves, and the node that can replace it: of the same locality if there is one.
    fn replacement(&self, now: Duration) -> Option<Replacement> {
        let candidates = self.candidates(now);
        let voters = self.register.voter_set().voters.iter();
        let pairs = voters.filter_map(|voter| {
            let successor = candidates
                .iter()
                .min_by_key(|candidate| !self.share_locality(voter, candidate))?;
            let near = self.share_locality(voter, successor);
            self.is_gone(now, voter, near)
                .then(|| (near, voter.clone(), successor.clone()))
        });
        pairs
            .max_by_key(|(near, ..)| *near)
            .map(|(_, gone, successor)| Replacement { gone, successor })
    }

    /// Control nodes that are there and have no vote.
    fn candidates(&self, now: Duration) -> Vec<String> {
        let voter_set = self.register.voter_set();
        let others = self.members.iter().filter(|member| {
            member.roles == CONTROL_NODE_ROLE
                && member.state() == MemberState::Alive
                && !voter_set.contains(&member.node)
        });
        let heard = others.filter(|member| {
            member.node == self.me.node
                || self.register.time_since_heard(now, &member.node) < HEARD_RECENTLY
        });
        heard.map(|member| member.node.clone()).collect()
    }

    fn share_locality(&self, one: &str, other: &str) -> bool {
        let localities = &self.voter_changes.localities;
        localities
            .get(one)
            .is_some_and(|locality| localities.get(other) == Some(locality))
    }

    fn is_gone(&self, now: Duration, voter: &str, near: bool) -> bool {
        if voter == self.me.node {
            return self.shutting_down;
        }
        let silence_timeout = if near {
            REPLACE_AFTER
        } else {
            REPLACE_FROM_ELSEWHERE_AFTER
        };
        let leaves = near && self.voter_changes.leaving.contains_key(voter);
        leaves || self.register.time_since_heard(now, voter) >= silence_timeout
    }

    pub(crate) fn handle_voter_leaving(&mut self, now: Duration, from: String) {
        if self.register.voter_set().contains(&from) {
            self.voter_changes.leaving.insert(from, now);
            self.voter_changes.next_check = now;
        }
    }

    /// The process was asked to stop. A voter that can be replaced announces that and votes on until it is; any other node
    /// leaves at once.
    pub(crate) fn shut_down(&mut self, now: Duration) {
        self.shutting_down = true;
        let candidates = self.candidates(now);
        let replaceable = candidates
            .iter()
            .any(|candidate| self.share_locality(&self.me.node, candidate));
        if replaceable && self.register.is_voter() {
            self.voter_changes.handover_deadline = Some(now + HANDOVER_TIMEOUT);
            self.send_to_control_nodes(Payload::VoterLeaving(VoterLeaving {}));
            self.voter_changes.next_check = now;
        } else {
            self.leave_cluster(now);
        }
    }

    fn finish_handover(&mut self, now: Duration) {
        let Some(deadline) = self.voter_changes.handover_deadline else {
            return;
        };
        if now >= deadline || !self.register.is_voter() {
            self.voter_changes.handover_deadline = None;
            self.leave_cluster(now);
        }
    }

    fn leave_cluster(&mut self, now: Duration) {
        let effects = self.membership.step(now, membership::Event::Leave);
        self.run_membership(now, effects);
        self.run_lease(now, lease::Event::Shutdown);
    }

    /// True once a node that shuts down may end: it was replaced as a voter, or cannot be.
    ///
    /// ```
    /// # let times = control_plane::daemon::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = control_plane::Start { me: Default::default(), seeds: vec![], initial_voter_count: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), configurations: Default::default(), departures: vec![], times };
    /// let mut control = control_plane::ControlNode::new(start);
    /// assert!(!control.is_shut_down());
    /// control.step(Default::default(), control_plane::Event::Shutdown);
    /// assert!(control.is_shut_down());
    /// ```
    pub fn is_shut_down(&self) -> bool {
        self.shutting_down && self.voter_changes.handover_deadline.is_none()
    }

    /// The voters, as far as this node knows.
    ///
    /// ```
    /// # let times = control_plane::daemon::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = control_plane::Start { me: Default::default(), seeds: vec![], initial_voter_count: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), configurations: Default::default(), departures: vec![], times };
    /// assert!(control_plane::ControlNode::new(start).voters().is_empty());
    /// ```
    pub fn voters(&self) -> Vec<String> {
        self.register.voter_set().members().cloned().collect()
    }
}
