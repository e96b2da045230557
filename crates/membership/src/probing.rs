//! Failure detection: whom to probe next, indirect probes, and when a silent node is suspect or dead.

use crate::node::{Effect, Membership};
use crate::record::{DISTANCES, OTHER_REGION, SAME_REGION, SAME_ZONE, compact, distance};
use protocol::{IndirectProbe, Member, MemberState, Payload, Probe, ProbeReply};
use random::Random;
use std::time::Duration;

/// How many nodes are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// How far the probes go in turn. Most stay near; what is all unreachable is found by those further off.
const PROBE_DISTANCES: [usize; 4] = [OTHER_REGION, SAME_ZONE, SAME_REGION, SAME_ZONE];
/// How many of the next probes go to other regions for each suspect there.
const EXTRA_PROBES: u64 = 2;
/// The most such probes.
const MAX_EXTRA_PROBES: u64 = 4;
/// How long after its start a node looks for the others at a higher rate.
const JOIN_PERIOD: Duration = Duration::from_millis(1500);
/// How often it sends probes during that time.
const JOIN_INTERVAL: Duration = Duration::from_millis(120);
/// How many probes it sends at once during that time.
const JOIN_PROBES: usize = 2;
/// The most probes on behalf of others in flight.
const MAX_FORWARDED_PROBES: usize = 64;

/// The probe in flight.
pub(crate) enum ProbeState {
    /// There is none.
    Idle,
    /// The node was probed directly.
    Direct {
        nonce: u64,
        node: String,
        sent_at: Duration,
    },
    /// It did not answer, and others probe it on this node's behalf.
    Indirect { nonce: u64, node: String },
}

impl ProbeState {
    /// True where this reply answers the probe in flight.
    fn is_answered_by(&self, reply_nonce: u64, reply_node: &str) -> bool {
        match self {
            ProbeState::Direct { nonce, node, .. } | ProbeState::Indirect { nonce, node } => {
                *nonce == reply_nonce && node == reply_node
            }
            ProbeState::Idle => false,
        }
    }
}

/// A probe on behalf of another node.
pub(crate) struct ForwardedProbe {
    nonce: u64,
    /// The address of the node that asked for it.
    requester: String,
    /// The nonce of its request.
    requester_nonce: u64,
    /// The node that is probed.
    target: String,
}

impl Membership {
    /// Without an answer half-way through the probe interval, other nodes are asked for an indirect probe.
    pub(crate) fn send_indirect_probes(&mut self, now: Duration) {
        let (nonce, target) = match &self.probe {
            ProbeState::Direct {
                nonce,
                node,
                sent_at,
            } if now >= *sent_at + self.timing.probe_interval / 2 => (*nonce, node.clone()),
            _ => return,
        };
        let mut addresses: Vec<String> = self
            .table
            .entries()
            .filter(|entry| entry.is_alive() && entry.member.node != target)
            .map(|entry| entry.member.probe_address.clone())
            .collect();
        while addresses.len() > INDIRECT_PROBES {
            let surplus = self.random.below(addresses.len() as u64) as usize;
            addresses.swap_remove(surplus);
        }
        for address in addresses {
            let members = self.table.select_updates(Some(&target));
            let body = Payload::IndirectProbe(IndirectProbe {
                nonce,
                target: target.clone(),
                members,
            });
            self.effects.push(Effect::Send { address, body });
        }
        self.probe = ProbeState::Indirect {
            nonce,
            node: target,
        };
    }

    /// At the end of the probe interval: a node that nobody got an answer from is suspect.
    pub(crate) fn suspect_unanswered(&mut self, now: Duration) {
        let probe = std::mem::replace(&mut self.probe, ProbeState::Idle);
        let ProbeState::Indirect { node, .. } = probe else {
            return;
        };
        if now < self.lenient_until {
            return;
        }
        if let Some(entry) = self.table.get(&node)
            && entry.is_alive()
        {
            let suspect = with_state(&entry.member, MemberState::Suspect);
            self.apply(now, suspect);
        }
    }

    /// Suspects that did not refute in time are dead; those long dead are forgotten.
    pub(crate) fn declare_dead(&mut self, now: Duration) {
        let timeout = if now < self.lenient_until {
            self.timing.suspicion_timeout * 2
        } else {
            self.timing.suspicion_timeout
        };
        let dead: Vec<Member> = self
            .table
            .entries()
            .filter(|entry| entry.member.state() == MemberState::Suspect)
            .filter(|entry| now >= entry.changed_at + timeout)
            .map(|entry| with_state(&entry.member, MemberState::Dead))
            .collect();
        for member in dead {
            self.apply(now, member);
        }
        self.table.forget_dead(now);
    }

    /// Probes the next node in turn.
    pub(crate) fn probe_next(&mut self, now: Duration) {
        let Some(node) = self.next_target() else {
            return;
        };
        let Some(entry) = self.table.get(&node).filter(|entry| entry.is_present()) else {
            return;
        };
        let address = entry.member.probe_address.clone();
        let nonce = self.send_probe(address, Some(&node));
        self.probe = ProbeState::Direct {
            nonce,
            node,
            sent_at: now,
        };
    }

    /// The next node of the queue whose turn it is. An empty queue is filled with all nodes of its distance, in random
    /// order, so that each is probed within one round.
    fn next_target(&mut self) -> Option<String> {
        let mut by_distance: [Vec<String>; DISTANCES] = Default::default();
        for entry in self.table.present() {
            let nodes = &mut by_distance[distance(self.table.me(), &entry.member)];
            nodes.push(entry.member.node.clone());
        }
        let wanted = self.next_distance();
        let reach = [wanted, SAME_ZONE, SAME_REGION, OTHER_REGION]
            .into_iter()
            .find(|reach| !by_distance[*reach].is_empty())
            .unwrap_or(wanted);
        let queue = &mut self.probe_queues[reach];
        if queue.is_empty() {
            *queue = std::mem::take(&mut by_distance[reach]);
            shuffle(&mut self.random, queue);
        }
        queue.pop()
    }

    fn next_distance(&mut self) -> usize {
        self.probe_count += 1;
        let turn = (self.probe_count % PROBE_DISTANCES.len() as u64) as usize;
        if self.probes_to_other_regions > 0 {
            self.probes_to_other_regions -= 1;
            return OTHER_REGION;
        }
        PROBE_DISTANCES[turn]
    }

    /// Where a node of another region is suspect, others there may be unreachable too: they are probed next.
    pub(crate) fn prefer_region_of_suspect(&mut self, suspect: &Member) {
        let is_far = distance(self.table.me(), suspect) == OTHER_REGION;
        if suspect.state() != MemberState::Suspect || !is_far {
            return;
        }
        let mut others: Vec<String> = self
            .table
            .entries()
            .filter(|entry| entry.is_alive() && entry.member.node != suspect.node)
            .filter(|entry| distance(suspect, &entry.member) < OTHER_REGION)
            .map(|entry| entry.member.node.clone())
            .collect();
        shuffle(&mut self.random, &mut others);
        let queue = &mut self.probe_queues[OTHER_REGION];
        queue.retain(|node| !others.contains(node));
        queue.extend(others);
        self.probes_to_other_regions =
            (self.probes_to_other_regions + EXTRA_PROBES).min(MAX_EXTRA_PROBES);
    }

    /// A node that just started probes seeds and members in quick succession, until it knows them all.
    pub(crate) fn join(&mut self, now: Duration) {
        let started_at = *self.started_at.get_or_insert(now);
        if now >= started_at + JOIN_PERIOD || now < self.next_join_at {
            return;
        }
        self.next_join_at = now + JOIN_INTERVAL;
        let mut addresses: Vec<String> = self
            .table
            .present()
            .map(|entry| entry.member.probe_address.clone())
            .collect();
        let unknown_seeds: Vec<String> = self
            .seeds
            .iter()
            .filter(|seed| !addresses.contains(seed))
            .cloned()
            .collect();
        addresses.extend(unknown_seeds);
        for _ in 0..JOIN_PROBES {
            let at = self.random.below(addresses.len() as u64) as usize;
            if let Some(address) = addresses.get(at) {
                self.send_probe(address.clone(), None);
            }
        }
    }

    /// Seeds and dead nodes are still probed now and then, so that a network partition heals.
    pub(crate) fn probe_unreachable(&mut self) {
        let dead = self
            .table
            .entries()
            .filter(|entry| entry.member.state() == MemberState::Dead)
            .map(|entry| entry.member.probe_address.clone());
        let mut addresses: Vec<String> = self.seeds.iter().cloned().chain(dead).collect();
        addresses.retain(|address| {
            let is_present = |entry: &crate::table::Entry| entry.member.probe_address == *address;
            !self.table.present().any(is_present)
        });
        addresses.dedup();
        self.seed_turn = self.seed_turn.wrapping_add(1);
        let Some(turn) = self.seed_turn.checked_rem(addresses.len()) else {
            return;
        };
        self.send_probe(addresses.swap_remove(turn), None);
    }

    /// Probes an address, with the updates for `target`; returns the nonce. Without a target it is unknown who is there,
    /// and this node's own record always goes along.
    pub(crate) fn send_probe(&mut self, address: String, target: Option<&str>) -> u64 {
        let nonce = self.draw_nonce();
        let mut members = self.table.select_updates(target);
        let me = self.table.me();
        if target.is_none() && !members.iter().any(|member| member.node == me.node) {
            members.push(compact(me));
        }
        let body = Payload::Probe(Probe {
            nonce,
            members,
            node: me.node.clone(),
            table_digest: self.table.digest(),
        });
        self.effects.push(Effect::Send { address, body });
        nonce
    }

    /// Probes a node on behalf of another one.
    pub(crate) fn forward_probe(&mut self, now: Duration, requester: &str, probe: IndirectProbe) {
        self.apply_all(now, probe.members);
        let Some(entry) = self.table.get(&probe.target) else {
            return;
        };
        let address = entry.member.probe_address.clone();
        let nonce = self.send_probe(address, Some(&probe.target));
        let excess = (self.forwarded_probes.len() + 1).saturating_sub(MAX_FORWARDED_PROBES);
        self.forwarded_probes.drain(..excess);
        self.forwarded_probes.push(ForwardedProbe {
            nonce,
            requester: requester.to_owned(),
            requester_nonce: probe.nonce,
            target: probe.target,
        });
    }

    /// Takes a reply from `node`: the probe in flight is answered, or one on behalf of another node, which is told.
    pub(crate) fn handle_reply(&mut self, nonce: u64, node: &str) {
        if self.probe.is_answered_by(nonce, node) {
            self.probe = ProbeState::Idle;
        }
        let forwarded = self
            .forwarded_probes
            .iter()
            .position(|probe| probe.nonce == nonce && probe.target == node);
        if let Some(at) = forwarded {
            let probe = self.forwarded_probes.swap_remove(at);
            let reply = ProbeReply {
                nonce: probe.requester_nonce,
                node: probe.target,
                ..ProbeReply::default()
            };
            self.send_reply(probe.requester, reply);
        }
    }

    /// 32 bits suffice for the few replies that are in flight.
    fn draw_nonce(&mut self) -> u64 {
        (self.random.next_u64() >> 32).max(1)
    }
}

fn with_state(member: &Member, state: MemberState) -> Member {
    Member {
        state: state.into(),
        ..member.clone()
    }
}

/// Fisher and Yates' shuffle.
fn shuffle(random: &mut Random, nodes: &mut [String]) {
    for at in 1..nodes.len() {
        let other = random.below(at as u64 + 1) as usize;
        nodes.swap(at, other);
    }
}
