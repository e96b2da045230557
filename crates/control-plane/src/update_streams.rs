//! Updates to data-plane nodes: a stream to each of them begins with a snapshot and goes on with numbered changes, each
//! acknowledged.

use crate::node::ControlNode;
use protocol::{
    CONTROL_NODE_ROLE, ClusterState, DataPlaneAck, Freshness, Member, Payload, Placement,
    UpdateAck, UpdateRequest, Upstream, ViewUpdate,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often changes are sent.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Most data-plane nodes that follow one control node.
const MAX_STREAMS: usize = 4096;
/// A data-plane node without a request for so long follows another control node.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The stream to one data-plane node: what was sent last, and what was acknowledged.
struct UpdateStream {
    id: u64,
    /// Number of the last change.
    number: u64,
    requested_at: Duration,
    state: ClusterState,
    placement: Arc<Placement>,
    /// False where its snapshot left the upstreams as the data-plane node knows them: this node did not know all then.
    has_all_upstreams: bool,
    /// The revision in force there, as acknowledged.
    revision: u64,
}

/// The streams to all data-plane nodes that follow this control node.
#[derive(Default)]
pub(crate) struct UpdateStreams {
    streams: BTreeMap<String, UpdateStream>,
    /// The revision that each data-plane node acknowledged, to whichever control node.
    acknowledged_revisions: BTreeMap<String, u64>,
    next_update_at: Duration,
}

impl UpdateStreams {
    /// The data-plane nodes that follow this control node, with the revisions that they acknowledged here.
    pub(crate) fn followers(&self) -> impl Iterator<Item = (&str, u64)> {
        self.streams
            .iter()
            .map(|(node, stream)| (node.as_str(), stream.revision))
    }

    /// Lets the next tick send changes, whenever the last ones were sent.
    pub(crate) fn schedule_now(&mut self) {
        self.next_update_at = Duration::ZERO;
    }

    /// Forgets what nodes acknowledged that are no members any more.
    pub(crate) fn retain_members(&mut self, members: &[Member]) {
        self.acknowledged_revisions
            .retain(|node, _| members.iter().any(|member| member.node == *node));
    }

    /// True where a data-plane node goes on with the stream that it names.
    fn continues(&self, node: &str, request: &UpdateRequest, has_all_upstreams: bool) -> bool {
        self.streams.get(node).is_some_and(|stream| {
            stream.id == request.stream
                && request.number <= stream.number
                && stream.has_all_upstreams == has_all_upstreams
        })
    }

    fn has_capacity(&self) -> bool {
        self.streams.len() < MAX_STREAMS
    }

    /// True where some data-plane node was not sent the configuration with this digest.
    fn lacks_configuration(&self, digest: &str) -> bool {
        self.streams
            .values()
            .any(|stream| stream.state.digest != digest)
    }

    /// Notes an acknowledgement; true where it is newer than those before on the same stream.
    fn acknowledge(&mut self, node: &str, ack: &UpdateAck) -> bool {
        match self.streams.get_mut(node) {
            Some(stream) if stream.id == ack.stream && stream.revision < ack.revision => {
                stream.revision = ack.revision;
                true
            }
            _ => false,
        }
    }

    /// True where every data-plane node among the members has acknowledged this revision to some control node.
    pub(crate) fn is_acknowledged_by_all(&self, revision: u64, members: &[Member]) -> bool {
        members
            .iter()
            .filter(|member| member.roles != CONTROL_NODE_ROLE)
            .all(|member| {
                let acknowledged = self.acknowledged_revisions.get(&member.node);
                acknowledged.is_some_and(|acknowledged| *acknowledged >= revision)
            })
    }
}

impl UpdateStream {
    /// The next change of this stream; none where nothing has changed.
    fn next_update(
        &mut self,
        changes: &Changes,
        placement_changes: &mut PlacementChanges,
    ) -> Option<ViewUpdate> {
        let state = Some(&changes.state).filter(|state| **state != self.state);
        let configuration = state
            .filter(|state| state.digest != self.state.digest)
            .and(changes.compressed_configuration.as_ref());
        let update = ViewUpdate {
            stream: self.id,
            number: self.number + 1,
            state: state.cloned(),
            configuration: configuration.cloned(),
            upstreams: changes.upstreams.clone(),
            placement: placement_changes.since(&self.placement),
            keeps_unlisted_upstreams: false,
            age_ms: None,
            asked: 0,
        };
        self.placement = placement_changes.new.clone();
        if update.state.is_none() && update.upstreams.is_empty() && update.placement.is_none() {
            return None;
        }
        self.number += 1;
        if let Some(state) = &update.state {
            self.state = state.clone();
        }
        Some(update)
    }
}

/// What may go into the next change of each stream.
struct Changes {
    state: ClusterState,
    /// Where some data-plane node lacks it.
    compressed_configuration: Option<Vec<u8>>,
    upstreams: Vec<Upstream>,
}

/// The changes to the new placement, computed once for all streams that were sent the same one before.
struct PlacementChanges {
    new: Arc<Placement>,
    known: Vec<(Arc<Placement>, Option<Placement>)>,
}

impl PlacementChanges {
    /// The change from an older placement to the new one; none where they are equal.
    fn since(&mut self, old: &Arc<Placement>) -> Option<Placement> {
        if let Some((_, change)) = self.known.iter().find(|(known, _)| Arc::ptr_eq(known, old)) {
            return change.clone();
        }
        let change = if *self.new == **old {
            None
        } else {
            let delta = name_directory::placement_delta(old, &self.new);
            Some(delta.unwrap_or_else(|| Placement::clone(&self.new)))
        };
        self.known.push((old.clone(), change.clone()));
        change
    }
}

impl ControlNode {
    /// Answers a data-plane node that follows this control node: with a snapshot where its stream can't go on, and with
    /// how fresh what it was sent is.
    pub(crate) fn handle_update_request(
        &mut self,
        now: Duration,
        from: String,
        mut request: UpdateRequest,
    ) {
        self.count_key_loads(std::mem::take(&mut request.loads));
        if !self.is_current(now) {
            return;
        }
        // What the answer vouches for is sent ahead of it.
        self.send_updates(now);
        let has_all_upstreams = self.knows_upstreams(now);
        // Acknowledgements run behind by what is on the way; a real gap shows at the data-plane node, which then requests
        // stream 0.
        if !self.updates.continues(&from, &request, has_all_upstreams)
            && self.updates.has_capacity()
        {
            self.send_snapshot(now, &from, request.nonce);
        }
        let age_ms = self.confirmation_age_ms(now).unwrap_or(u64::MAX);
        let revision = self.revision();
        if let Some(stream) = self.updates.streams.get_mut(&from) {
            stream.requested_at = now;
            let freshness = Freshness {
                nonce: request.nonce,
                age_ms,
                stream: stream.id,
                number: stream.number,
                revision,
            };
            self.send(from, Payload::Freshness(freshness));
        }
    }

    /// How long ago a majority confirmed what is known here, rounded up.
    fn confirmation_age_ms(&self, now: Duration) -> Option<u64> {
        self.register
            .confirmation_age(now)
            .map(|age| age.as_millis() as u64 + 1)
    }

    /// Begins a stream anew: everything that this control node knows.
    fn send_snapshot(&mut self, now: Duration, to: &str, nonce: u64) {
        self.statistics.snapshots += 1;
        let id = self.random.next_u64().max(1);
        let state = data_plane_state(self.register.state());
        let placement = Arc::new(self.placement_without_ages(now));
        let has_all_upstreams = self.knows_upstreams(now);
        // What the data-plane node keeps of before must not hold those that departed meanwhile.
        let departed = self
            .registry
            .departed_without_entry()
            .filter(|_| !has_all_upstreams);
        let upstreams = self
            .registry
            .snapshot(now)
            .into_iter()
            .chain(departed)
            .map(without_local_fields)
            .collect();
        let snapshot = ViewUpdate {
            stream: id,
            number: 0,
            configuration: self.register.compressed_configuration(),
            state: Some(state.clone()),
            upstreams,
            placement: Some(Placement::clone(&placement)),
            keeps_unlisted_upstreams: !has_all_upstreams,
            age_ms: self.confirmation_age_ms(now),
            asked: nonce,
        };
        let stream = UpdateStream {
            id,
            number: 0,
            requested_at: now,
            state,
            placement,
            has_all_upstreams,
            revision: 0,
        };
        self.updates.streams.insert(to.to_owned(), stream);
        self.send(to.to_owned(), Payload::ViewUpdate(snapshot));
    }

    pub(crate) fn tick_updates(&mut self, now: Duration) {
        if now >= self.updates.next_update_at {
            self.updates.next_update_at = now + UPDATE_INTERVAL;
            self.updates
                .streams
                .retain(|_, stream| now < stream.requested_at + STREAM_IDLE_TIMEOUT);
            self.send_updates(now);
        }
    }

    /// Sends what has changed to every data-plane node that follows this control node.
    fn send_updates(&mut self, now: Duration) {
        let changes = self.drain_changes(now);
        let mut placement_changes = PlacementChanges {
            new: Arc::new(self.placement_without_ages(now)),
            known: Vec::new(),
        };
        let mut updates = Vec::new();
        for (node, stream) in &mut self.updates.streams {
            if let Some(update) = stream.next_update(&changes, &mut placement_changes) {
                updates.push((node.clone(), update));
            }
        }
        for (node, update) in updates {
            self.statistics.changes += 1;
            self.send(node, Payload::ViewUpdate(update));
        }
    }

    fn drain_changes(&mut self, now: Duration) -> Changes {
        let upstreams = self
            .registry
            .drain_changes(now)
            .into_iter()
            .map(without_local_fields)
            .collect();
        let digest = &self.register.state().digest;
        let compressed_configuration = if self.updates.lacks_configuration(digest) {
            self.register.compressed_configuration()
        } else {
            None
        };
        Changes {
            state: data_plane_state(self.register.state()),
            compressed_configuration,
            upstreams,
        }
    }

    /// The placement without ages, which change all the time and matter only to the next lease holder. Its number is left
    /// out too: one epoch's placements reach a data-plane node in order.
    fn placement_without_ages(&self, now: Duration) -> Placement {
        let mut placement = self.placement.current.clone();
        if placement.epoch == 0 {
            placement.shares = self.claimed_shares(now);
        }
        placement.number = 0;
        for reservation in &mut placement.reservations {
            reservation.age_ms = 0;
        }
        for tombstone in &mut placement.tombstones {
            tombstone.age_ms = 0;
        }
        placement
    }

    /// A data-plane node acknowledged a change: the other control nodes hear which revision is in force there.
    pub(crate) fn handle_update_ack(&mut self, from: &str, ack: &UpdateAck) {
        if self.updates.acknowledge(from, ack) {
            let ack = DataPlaneAck {
                node: from.to_owned(),
                revision: ack.revision,
            };
            self.send_to_control_nodes(Payload::DataPlaneAck(ack.clone()));
            self.handle_data_plane_ack(ack);
        }
    }

    /// Notes which revision is in force at a data-plane node.
    pub(crate) fn handle_data_plane_ack(&mut self, ack: DataPlaneAck) {
        if self.members.iter().any(|member| member.node == ack.node) {
            let revisions = &mut self.updates.acknowledged_revisions;
            let revision = revisions.entry(ack.node).or_insert(0);
            *revision = ack.revision.max(*revision);
        }
    }
}

/// What data-plane nodes need of the state: what is remembered of changes stays with the voters.
fn data_plane_state(state: &ClusterState) -> ClusterState {
    ClusterState {
        revision: state.revision,
        digest: state.digest.clone(),
        evacuated: state.evacuated.clone(),
        number: state.number,
        ..ClusterState::default()
    }
}

/// An upstream as data-plane nodes need it: without ages and key lists.
fn without_local_fields(upstream: Upstream) -> Upstream {
    Upstream {
        age_ms: 0,
        registered_ms_ago: 0,
        holder: 0,
        holds: Vec::new(),
        released: Vec::new(),
        ..upstream
    }
}
