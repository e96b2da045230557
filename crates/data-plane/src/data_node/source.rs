//! Which control node a data-plane node follows, when it asks it for updates, and when it turns to another.
//!
//! The nearest control node is followed first. One that does not answer in time, or whose confirmation is too old, is
//! left for the next. A node that follows a control node outside its zone returns to one of its own zone in time.

use super::pending_requests::PendingRequest;
use super::{DataNode, Effect};
use locality::Locality;
use protocol::{Member, Payload, UpdateRequest};
use std::time::Duration;

/// How long a node that just started waits to learn of a control node of its own zone.
const LOCAL_SOURCE_WAIT: Duration = Duration::from_millis(800);
/// How often a node without any view asks for one.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a node stays away from its zone's control nodes at least.
const MIN_TIME_AWAY: Duration = Duration::from_secs(4);
/// The jitter on top of it, in milliseconds.
const RETURN_JITTER_MS: u64 = 1000;

/// The control node that is followed.
pub(super) enum Source {
    /// None.
    None,
    /// It was asked, and its answer is awaited.
    Asked {
        node: String,
        nonce: u64,
        asked_at: Duration,
    },
    /// It answered, and is asked again in time.
    Confirmed { node: String },
}

impl Source {
    pub(super) fn node(&self) -> Option<&str> {
        match self {
            Source::None => None,
            Source::Asked { node, .. } | Source::Confirmed { node } => Some(node),
        }
    }
}

impl DataNode {
    /// The one place where the source changes.
    pub(super) fn set_source(&mut self, source: Source) {
        self.source = source;
    }

    /// Sorts the control nodes, the nearest first. Data-plane nodes of one locality spread over what is equally near.
    pub(super) fn set_control_nodes(&mut self, mut control_nodes: Vec<Member>) {
        let here: Locality = self.me.locality.parse().unwrap_or_default();
        let own_node = &self.me.node;
        control_nodes.sort_by_key(|member| {
            let locality: Locality = member.locality.parse().unwrap_or_default();
            let tie_breaker = random::stable_hash(&format!("{own_node}{}", member.node));
            (
                member.state() != protocol::MemberState::Alive,
                locality.region != here.region,
                locality != here,
                tie_breaker,
            )
        });
        self.control_nodes = control_nodes;
    }

    /// Leaves a source that is late, returns to the own zone, and asks for updates when it is time.
    pub(super) fn poll_source(&mut self, now: Duration) {
        let is_late = match &self.source {
            // Without any view there is nothing to lose by asking on.
            Source::Asked { .. } if self.view.as_of.is_none() => now >= self.next_request_at,
            Source::Asked { asked_at, .. } => now >= *asked_at + self.times.answer_timeout,
            _ => false,
        };
        if is_late {
            self.leave_source(now);
        }
        self.return_to_own_zone(now);
        let is_waiting = matches!(self.source, Source::Asked { .. });
        if !is_waiting && now >= self.next_request_at {
            self.request_updates(now);
        }
    }

    /// A node that follows a control node outside its zone returns to one of its own zone, once there is one again.
    fn return_to_own_zone(&mut self, now: Duration) {
        let Source::Confirmed { node: source } = &self.source else {
            return;
        };
        let own_zone = &self.me.locality;
        let has_local_source = self.control_nodes.first().is_some_and(|nearest| {
            nearest.locality == *own_zone
                && nearest.state() == protocol::MemberState::Alive
                && nearest.node != *source
        });
        let is_away = self
            .control_nodes
            .iter()
            .any(|member| member.node == *source && member.locality != *own_zone);
        if !has_local_source || !is_away || now < self.next_return_at {
            return;
        }
        let jitter = Duration::from_millis(self.random.below(RETURN_JITTER_MS));
        self.next_return_at = now + MIN_TIME_AWAY + jitter;
        self.left_source = None;
        self.failed_sources = 0;
        self.stream = 0;
        self.next_request_at = now;
        self.set_source(Source::None);
    }

    /// Leaves the source; another is asked at `next_request_at`.
    pub(super) fn leave_source(&mut self, next_request_at: Duration) {
        self.left_source = self.source.node().map(str::to_owned);
        self.next_return_at = next_request_at + MIN_TIME_AWAY;
        self.failed_sources += 1;
        self.stream = 0;
        self.set_source(Source::None);
        self.next_request_at = next_request_at;
    }

    /// The nearest control node but the one just left, and with each failed source in a row one further on.
    fn next_source(&self) -> Option<String> {
        let left = self
            .left_source
            .as_ref()
            .filter(|_| self.failed_sources > 0 && self.control_nodes.len() > 1);
        let others: Vec<&Member> = self
            .control_nodes
            .iter()
            .filter(|member| Some(&member.node) != left)
            .collect();
        let index = self
            .failed_sources
            .saturating_sub(1)
            .checked_rem(others.len())?;
        others.get(index).map(|member| member.node.clone())
    }

    /// The source, as long as it is a member.
    fn present_source(&self) -> Option<String> {
        let source = self.source.node()?;
        self.control_nodes
            .iter()
            .any(|member| member.node == source)
            .then(|| source.to_owned())
    }

    /// Asks the source for updates, or the next one where there is none.
    fn request_updates(&mut self, now: Duration) {
        let present = self.present_source();
        let is_new = present.is_none();
        // A snapshot from another zone is costly: one of the own zone may be known, and able to answer, in a moment.
        let started_at = *self.started_at.get_or_insert(now);
        let has_local_source = self
            .control_nodes
            .first()
            .is_some_and(|member| member.locality == self.me.locality);
        if !self.was_answered && now < started_at + LOCAL_SOURCE_WAIT {
            self.left_source = None;
            self.failed_sources = 0;
            if is_new && !has_local_source {
                return;
            }
        }
        let Some(node) = present.or_else(|| self.next_source()) else {
            return self.set_source(Source::None);
        };
        if is_new {
            self.stream = 0;
            self.source_generation += 1;
        }
        self.send_update_request(now, node);
    }

    fn send_update_request(&mut self, now: Duration, node: String) {
        let nonce = self.random.next_u64();
        self.pending_requests.add(PendingRequest {
            nonce,
            sent_at: now,
            source: node.clone(),
            generation: self.source_generation,
        });
        let poll_interval = self.times.poll_interval;
        self.next_request_at = now
            + if self.view.as_of.is_some() {
                poll_interval
            } else {
                poll_interval.min(INITIAL_POLL_INTERVAL)
            };
        let request = UpdateRequest {
            nonce,
            stream: self.stream,
            number: self.sequence,
            loads: self.loads.take(),
        };
        self.effects.push(Effect::Send {
            to: node.clone(),
            body: Payload::UpdateRequest(request),
        });
        self.set_source(Source::Asked {
            node,
            nonce,
            asked_at: now,
        });
    }
}
