//! The pages of facts that operators read: status, upstreams, reservations and tombstones. Names and words in them are an
//! interface and stay as they are.

use crate::node::ControlNode;
use config::JsonValue;
use protocol::{Member, MemberState, Upstream, UpstreamState, VoterSet};
use quorum_register::VoterPhase;
use std::time::Duration;

impl ControlNode {
    pub(crate) fn status_json(&self, now: Duration) -> JsonValue {
        let state = self.register.state();
        let age_ms = self
            .register
            .confirmation_age(now)
            .map_or(JsonValue::Null, |age| (age.as_millis() as u64).into());
        JsonValue::object([
            ("node", self.me.node.as_str().into()),
            ("standing", self.phase_text().into()),
            ("disk", self.disk_text().into()),
            (
                "setupMissing",
                self.register.is_missing_accepted_configuration().into(),
            ),
            ("edition", state.revision.into()),
            ("digest", state.digest.as_str().into()),
            ("decided", state.decided.into()),
            ("evacuated", texts(&state.evacuated)),
            ("current", self.is_current(now).into()),
            ("ageMs", age_ms),
            ("roster", texts(self.register.voter_set().members())),
            ("voters", self.voters_json(now)),
            ("placement", self.placement.lease_holder.as_str().into()),
            ("placementEpoch", self.placement.lease_epoch.into()),
            ("keys", self.key_reports_json(now)),
            ("counts", self.counters_json()),
            ("members", self.members.iter().map(member_json).collect()),
            ("readers", self.update_streams_json()),
        ])
    }

    fn phase_text(&self) -> &'static str {
        match self.register.phase() {
            VoterPhase::Blank { .. } => "blank",
            VoterPhase::Bootstrapping { .. } => "founding",
            VoterPhase::Recovering(_) => "mending",
            VoterPhase::Active if self.register.is_voter() => "voting",
            VoterPhase::Active => "following",
            VoterPhase::Failed => "out",
        }
    }

    fn disk_text(&self) -> &'static str {
        if self.disk_failing {
            "failing"
        } else {
            "works"
        }
    }

    fn update_streams_json(&self) -> JsonValue {
        let rows = self.updates.followers().map(|(node, revision)| {
            JsonValue::object([("node", node.into()), ("edition", revision.into())])
        });
        rows.collect()
    }

    fn counters_json(&self) -> JsonValue {
        let register = self.register.statistics();
        let node = &self.statistics;
        JsonValue::object([
            ("rounds", register.rounds_started.into()),
            ("roundsLost", register.rounds_lost.into()),
            ("writes", register.disk_writes.into()),
            ("beats", node.heartbeats.into()),
            ("claimsHeld", node.leases_acquired.into()),
            ("placementsTold", node.placements_published.into()),
            ("namesMoved", node.names_moved.into()),
            ("images", node.snapshots.into()),
            ("changes", node.changes.into()),
        ])
    }

    /// The voters, and the control nodes without a vote.
    fn voters_json(&self, now: Duration) -> JsonValue {
        let voter_set = self.register.voter_set();
        let replicas = self
            .control_nodes()
            .map(|member| &member.node)
            .filter(|node| !voter_set.contains(node));
        let rows = voter_set
            .members()
            .chain(replicas)
            .map(|node| self.voter_json(now, voter_set, node));
        JsonValue::object([
            ("epoch", voter_set.epoch.into()),
            ("members", rows.collect()),
        ])
    }

    fn voter_json(&self, now: Duration, voter_set: &VoterSet, node: &str) -> JsonValue {
        let is_me = node == self.me.node;
        let silent_ms = if is_me {
            0
        } else {
            self.register.time_since_heard(now, node).as_millis() as u64
        };
        let persisted_round = if is_me {
            None
        } else {
            self.register.persisted_round(node)
        };
        JsonValue::object([
            ("node", node.into()),
            ("role", voter_role(voter_set, node).into()),
            ("silentMs", silent_ms.into()),
            (
                "syncedRound",
                persisted_round.map_or(JsonValue::Null, JsonValue::from),
            ),
            ("caughtUp", self.has_caught_up(node).into()),
        ])
    }

    pub(crate) fn upstreams_json(&self, now: Duration) -> JsonValue {
        let upstreams = self.registry.snapshot(now);
        upstreams.iter().map(upstream_json).collect()
    }

    pub(crate) fn reservations_json(&self) -> JsonValue {
        let reservations = &self.placement.current.reservations;
        let rows = reservations.iter().map(|reservation| {
            JsonValue::object([
                ("name", reservation.name.as_str().into()),
                ("locality", reservation.locality.as_str().into()),
                ("epoch", reservation.epoch.into()),
                ("ageMs", reservation.age_ms.into()),
            ])
        });
        rows.collect()
    }

    pub(crate) fn tombstones_json(&self) -> JsonValue {
        let tombstones = &self.placement.current.tombstones;
        let rows = tombstones.iter().map(|tombstone| {
            JsonValue::object([
                ("name", tombstone.name.as_str().into()),
                ("from", tombstone.from.as_str().into()),
                ("to", tombstone.to.as_str().into()),
                ("epoch", tombstone.epoch.into()),
            ])
        });
        rows.collect()
    }
}

fn texts<'a>(values: impl IntoIterator<Item = &'a String>) -> JsonValue {
    values
        .into_iter()
        .map(|value| JsonValue::from(value.as_str()))
        .collect()
}

fn member_json(member: &Member) -> JsonValue {
    let condition = if member.state() == MemberState::Alive {
        "alive"
    } else {
        "suspect"
    };
    JsonValue::object([
        ("node", member.node.as_str().into()),
        ("roles", member.roles.as_str().into()),
        ("locality", member.locality.as_str().into()),
        ("http", member.http_address.as_str().into()),
        ("condition", condition.into()),
    ])
}

/// What a control node is in this set: while the set changes, voters of only one of its halves are joining or leaving.
fn voter_role(voter_set: &VoterSet, node: &str) -> &'static str {
    let is_current = voter_set.voters.iter().any(|voter| voter == node);
    let is_next = voter_set.next.iter().any(|voter| voter == node);
    match (is_current, voter_set.contains(node)) {
        (true, _) if !voter_set.is_joint() || is_next => "voter",
        (true, _) => "leaving",
        (false, true) => "joining",
        (false, false) => "replica",
    }
}

fn upstream_json(upstream: &Upstream) -> JsonValue {
    let state = match upstream.state() {
        UpstreamState::Ready => "ready",
        UpstreamState::Draining => "leaving",
        _ => "gone",
    };
    JsonValue::object([
        ("service", upstream.service.as_str().into()),
        ("instance", upstream.instance.as_str().into()),
        ("address", upstream.address.as_str().into()),
        ("locality", upstream.locality.as_str().into()),
        ("freeSlots", u64::from(upstream.free_slots).into()),
        ("warm", upstream.warm.into()),
        ("condition", state.into()),
        ("beat", upstream.heartbeat_number.into()),
        ("ageMs", upstream.age_ms.into()),
    ])
}
