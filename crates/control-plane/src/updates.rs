//! ViewUpdate to carriers: an snapshot, then numbered changes, each acknowledged.

use crate::node::{CONTROL_NODE_ROLE, ControlNode, Effect};
use protocol::{
    ClusterState, DataPlaneAck, Freshness, Payload, Placement, UpdateAck, UpdateRequest, Upstream,
    ViewUpdate,
};
use std::sync::Arc;
use std::time::Duration;

const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
const MAX_STREAMS: usize = 4096;
/// A carrier that did not ask for so long has gone elsewhere.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A carrier that follows the news here.
pub(crate) struct UpdateStream {
    stream: u64,
    number: u64,
    asked_at: Duration,
    state: ClusterState,
    placement: Arc<Placement>,
    /// False while its snapshot leaves the upstreams it knows as they are: this node does not know them all yet.
    whole: bool,
    /// The edition in force there, as acknowledged.
    pub(crate) revision: u64,
}

/// The changes to the new placement, worked out once for all readers that were told the same one.
struct PlacementChanges<'a> {
    new: &'a Arc<Placement>,
    known: Vec<(Arc<Placement>, Option<Placement>)>,
}

impl PlacementChanges<'_> {
    /// What makes an older placement the new one; none where it is the same.
    fn since(&mut self, old: &Arc<Placement>) -> Option<Placement> {
        if let Some((_, change)) = self.known.iter().find(|(known, _)| Arc::ptr_eq(known, old)) {
            return change.clone();
        }
        let change = Some(self.new).filter(|new| ***new != **old);
        let change = change.map(|new| {
            name_directory::placement_delta(old, new).unwrap_or_else(|| Placement::clone(new))
        });
        self.known.push((old.clone(), change.clone()));
        change
    }
}

impl ControlNode {
    pub(crate) fn handle_update_request(
        &mut self,
        now: Duration,
        from: String,
        request: UpdateRequest,
    ) {
        self.count_key_loads(request.loads);
        if !self.is_current(now) {
            return;
        }
        // What the answer vouches for goes out ahead of it.
        self.send_updates(now);
        let settled = self.knows_upstreams(now);
        let known = self.update_streams.get(&from).is_some_and(|reader| {
            reader.stream == request.stream
                && request.number <= reader.number
                && reader.whole == settled
        });
        // Acknowledgements run behind by what is on the way; a real gap shows at the carrier, which then
        // asks with stream 0.
        if !known && self.update_streams.len() < MAX_STREAMS {
            self.send_snapshot(now, &from, request.nonce);
        }
        let age_ms = self.confirmation_age_ms(now).unwrap_or(u64::MAX);
        if let Some(reader) = self.update_streams.get_mut(&from) {
            reader.asked_at = now;
            let fresh = Freshness {
                nonce: request.nonce,
                age_ms,
                stream: reader.stream,
                number: reader.number,
                revision: self.register.state().revision,
            };
            self.effects.push_back(Effect::Send {
                to: from,
                body: Payload::Freshness(fresh),
            });
        }
    }

    /// How long ago a majority confirmed what is known here, rounded up.
    fn confirmation_age_ms(&self, now: Duration) -> Option<u64> {
        self.register
            .confirmation_age(now)
            .map(|age| age.as_millis() as u64 + 1)
    }

    fn send_snapshot(&mut self, now: Duration, to: &str, asked: u64) {
        self.statistics.snapshots += 1;
        let stream = self.random.next_u64().max(1);
        let state = data_plane_state(self.register.state());
        let (placement, revision, whole) = (
            Arc::new(self.placement_without_ages(now)),
            0,
            self.knows_upstreams(now),
        );
        // What it keeps of before must not hold those that departed meanwhile.
        let departed = self.registry.departed_without_entry().filter(|_| !whole);
        let snapshot = ViewUpdate {
            stream,
            number: 0,
            configuration: self.register.compressed_configuration(),
            state: Some(state.clone()),
            upstreams: self
                .registry
                .snapshot(now)
                .into_iter()
                .chain(departed)
                .map(without_local_fields)
                .collect(),
            placement: Some(Placement::clone(&placement)),
            keeps_upstreams: !whole,
            age_ms: self.confirmation_age_ms(now),
            asked,
        };
        let reader = UpdateStream {
            stream,
            number: 0,
            asked_at: now,
            state,
            placement,
            whole,
            revision,
        };
        self.update_streams.insert(to.to_owned(), reader);
        self.effects.push_back(Effect::Send {
            to: to.to_owned(),
            body: Payload::ViewUpdate(snapshot),
        });
    }

    pub(crate) fn tick_updates(&mut self, now: Duration) {
        if now >= self.next_update_at {
            self.next_update_at = now + UPDATE_INTERVAL;
            self.update_streams
                .retain(|_, reader| now < reader.asked_at + STREAM_IDLE_TIMEOUT);
            self.send_updates(now);
        }
    }

    fn send_updates(&mut self, now: Duration) {
        let changed: Vec<Upstream> = self
            .registry
            .drain_changes(now)
            .into_iter()
            .map(without_local_fields)
            .collect();
        let current = &self.register.state().digest;
        let wanted = self
            .update_streams
            .values()
            .any(|reader| reader.state.digest != *current);
        let compressed = if wanted {
            self.register.compressed_configuration()
        } else {
            None
        };
        let state = data_plane_state(self.register.state());
        let placement = Arc::new(self.placement_without_ages(now));
        let mut changes = PlacementChanges {
            new: &placement,
            known: Vec::new(),
        };
        for (node, reader) in &mut self.update_streams {
            let new_word = Some(&state).filter(|state| **state != reader.state);
            let new_setup = new_word
                .filter(|state| state.digest != reader.state.digest)
                .and(compressed.as_ref());
            let news = ViewUpdate {
                stream: reader.stream,
                number: reader.number + 1,
                state: new_word.cloned(),
                configuration: new_setup.cloned(),
                upstreams: changed.clone(),
                placement: changes.since(&reader.placement),
                keeps_upstreams: false,
                age_ms: None,
                asked: 0,
            };
            reader.placement = placement.clone();
            if news.state.is_none() && news.upstreams.is_empty() && news.placement.is_none() {
                continue;
            }
            reader.number += 1;
            self.statistics.changes += 1;
            reader.state = news.state.clone().unwrap_or_else(|| reader.state.clone());
            self.effects.push_back(Effect::Send {
                to: node.clone(),
                body: Payload::ViewUpdate(news),
            });
        }
    }

    /// The placement without ages, which change all the time and matter to nobody but the next holder. Its
    /// number is left out too: one epoch's placements reach a carrier in order.
    fn placement_without_ages(&self, now: Duration) -> Placement {
        let mut bare = self.placement.clone();
        if bare.epoch == 0 {
            bare.shares = self.claimed_shares(now);
        }
        bare.number = 0;
        bare.reservations
            .iter_mut()
            .for_each(|reservation| reservation.age_ms = 0);
        bare.tombstones.iter_mut().for_each(|mark| mark.age_ms = 0);
        bare
    }

    pub(crate) fn handle_update_ack(&mut self, from: &str, kept: &UpdateAck) {
        let reader = self
            .update_streams
            .get_mut(from)
            .filter(|reader| reader.stream == kept.stream);
        let newer = reader
            .filter(|reader| reader.revision < kept.revision)
            .map(|reader| {
                reader.revision = kept.revision;
                DataPlaneAck {
                    node: from.to_owned(),
                    revision: kept.revision,
                }
            });
        newer.into_iter().for_each(|kept| {
            self.send_to_control_nodes(Payload::DataPlaneAck(kept.clone()));
            self.handle_data_plane_ack(kept);
        });
    }

    pub(crate) fn handle_data_plane_ack(&mut self, kept: DataPlaneAck) {
        let known = self.members.iter().any(|member| member.node == kept.node);
        let revision = kept.revision;
        Some(kept.node)
            .filter(|_| known)
            .into_iter()
            .for_each(|node| {
                let last = self.acknowledged_revisions.entry(node).or_insert(0);
                *last = revision.max(*last);
            });
    }

    /// True where every carrier that membership knows has acknowledged this edition to some postmaster.
    pub(crate) fn is_acknowledged_by_all(&self, revision: u64) -> bool {
        let mut carriers = self
            .members
            .iter()
            .filter(|member| member.roles != CONTROL_NODE_ROLE);
        carriers.all(|member| {
            self.acknowledged_revisions
                .get(&member.node)
                .is_some_and(|kept| *kept >= revision)
        })
    }
}

/// What carriers need of the state: what is remembered of orders stays with the voters.
fn data_plane_state(state: &ClusterState) -> ClusterState {
    let ClusterState {
        revision,
        digest,
        evacuated,
        number,
        ..
    } = state;
    ClusterState {
        revision: *revision,
        digest: digest.clone(),
        evacuated: evacuated.clone(),
        number: *number,
        ..ClusterState::default()
    }
}

/// Ages and key lists stay here; carriers want what requests need.
fn without_local_fields(upstream: Upstream) -> Upstream {
    Upstream {
        age_ms: 0,
        born_ms: 0,
        holder: 0,
        holds: Vec::new(),
        released: Vec::new(),
        ..upstream
    }
}
