//! How control nodes tell one another of upstreams: what is new goes to all at once and in full, what goes on unchanged in
//! regular digests.

use crate::node::ControlNode;
use protocol::{
    HeartbeatDigest, Heartbeats, Member, Payload, Upstream, UpstreamState, UpstreamsReply,
    UpstreamsRequest,
};
use std::collections::BTreeMap;
use std::time::Duration;
use upstream_registry::UpstreamRegistry;

/// How often digests are sent.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Each heartbeat goes to other regions in so many digests, so that a lost one does no harm.
const DIGEST_REPEATS: u32 = 2;
/// Most records requested at a time.
const MAX_REQUESTED_RECORDS: usize = 256;

/// A heartbeat that an upstream sent to this node.
struct RecentHeartbeat {
    number: u64,
    received_at: Duration,
}

/// The heartbeats that this node has to relay.
#[derive(Default)]
pub(crate) struct HeartbeatRelay {
    /// By service and instance.
    recent: BTreeMap<(String, String), RecentHeartbeat>,
    /// Digests sent so far; it chooses the node of each other region in turn.
    rounds: usize,
}

impl HeartbeatRelay {
    fn record(&mut self, now: Duration, upstream: &Upstream) {
        let id = (upstream.service.clone(), upstream.instance.clone());
        let heartbeat = RecentHeartbeat {
            number: upstream.heartbeat_number,
            received_at: now,
        };
        self.recent.insert(id, heartbeat);
    }

    fn expire(&mut self, now: Duration) {
        self.recent
            .retain(|_, heartbeat| now < heartbeat.received_at + DIGEST_INTERVAL * DIGEST_REPEATS);
    }

    /// The upstreams that sent a heartbeat here within a span and nowhere else since, and those that are gone lately.
    fn digest(
        &self,
        now: Duration,
        span: Duration,
        registry: &UpstreamRegistry,
    ) -> HeartbeatDigest {
        let mut upstreams = Vec::new();
        for ((service, instance), heartbeat) in &self.recent {
            if now >= heartbeat.received_at + span {
                continue;
            }
            let id = Upstream {
                service: service.clone(),
                instance: instance.clone(),
                ..Upstream::default()
            };
            // A newer heartbeat went to another node, which relays it.
            let known = registry.get(now, &id).filter(|known| {
                known.heartbeat_number == heartbeat.number
                    && known.state() != UpstreamState::Deregistered
            });
            upstreams.extend(known);
        }
        upstreams.extend(registry.recently_deregistered(now));
        HeartbeatDigest {
            digests: upstreams.iter().map(upstream_registry::digest).collect(),
            heartbeat_numbers: upstreams.iter().map(encode_heartbeat_number).collect(),
            ages_ms: upstreams.iter().map(|upstream| upstream.age_ms).collect(),
            should_forward: false,
        }
    }
}

impl ControlNode {
    /// Records a heartbeat that an upstream sent here; false where a newer one is known.
    pub(crate) fn record_heartbeat(&mut self, now: Duration, upstream: &Upstream) -> bool {
        let is_newer = self.registry.apply_heartbeat(now, upstream.clone());
        if is_newer {
            self.relay.record(now, upstream);
        }
        is_newer
    }

    /// Records a heartbeat that an upstream sent here, and sends what is new about it to all control nodes.
    pub(crate) fn relay_heartbeat(&mut self, now: Duration, upstream: &Upstream) {
        let known_before = self.registry.get(now, upstream);
        let digest_before = known_before.map(|known| upstream_registry::digest(&known));
        if !self.record_heartbeat(now, upstream) {
            return;
        }
        // With its age as it is known here: this heartbeat may have waited in a frozen process.
        let Some(known) = self.registry.get(now, upstream) else {
            return;
        };
        if Some(upstream_registry::digest(&known)) == digest_before {
            return;
        }
        // Which keys it holds matters to others only while no placement says so.
        let holds = if self.placement.current.epoch == 0 {
            known.holds
        } else {
            Vec::new()
        };
        let relayed = Upstream {
            holds,
            released: Vec::new(),
            ..known
        };
        self.send_to_control_nodes(Payload::Heartbeats(Heartbeats {
            upstreams: vec![relayed],
            nonce: 0,
        }));
    }

    /// Sends digests of the upstreams that are alive, and of those that are gone: to all control nodes of the own region,
    /// and to one of each other region, another one each time, which forwards it there.
    pub(crate) fn send_heartbeat_digests(&mut self, now: Duration) {
        self.relay.expire(now);
        let far_digest = self
            .relay
            .digest(now, DIGEST_INTERVAL * DIGEST_REPEATS, &self.registry);
        let near_digest = self.relay.digest(now, DIGEST_INTERVAL, &self.registry);
        self.relay.rounds += 1;
        let my_region = region(&self.me.locality).to_owned();
        for (region, nodes) in self.peers_by_region() {
            if region == my_region {
                for node in nodes {
                    self.send_digest(node, near_digest.clone());
                }
            } else {
                let forwarded = HeartbeatDigest {
                    should_forward: nodes.len() > 1,
                    ..far_digest.clone()
                };
                let chosen = self.relay.rounds % nodes.len();
                if let Some(node) = nodes.into_iter().nth(chosen) {
                    self.send_digest(node, forwarded);
                }
            }
        }
    }

    fn send_digest(&mut self, node: String, digest: HeartbeatDigest) {
        if !digest.digests.is_empty() {
            self.send(node, Payload::HeartbeatDigest(digest));
        }
    }

    /// The other control nodes, by their regions.
    fn peers_by_region(&self) -> BTreeMap<String, Vec<String>> {
        let mut regions: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for member in self.peers() {
            regions
                .entry(region(&member.locality).to_owned())
                .or_default()
                .push(member.node.clone());
        }
        regions
    }

    /// Applies a digest, forwards what is new in it where that is wanted, and requests the records that differ from what
    /// is known here.
    pub(crate) fn handle_heartbeat_digest(
        &mut self,
        now: Duration,
        from: String,
        digest: HeartbeatDigest,
    ) {
        let mut requested = Vec::new();
        let mut news = HeartbeatDigest::default();
        let entries = digest
            .digests
            .iter()
            .zip(&digest.heartbeat_numbers)
            .zip(&digest.ages_ms);
        for ((mark, encoded_number), age_ms) in entries {
            let number = decode_heartbeat_number(*mark, *encoded_number);
            let known = self.registry.find_by_digest(now, *mark);
            if known.is_none_or(|known| known.heartbeat_number < number) {
                news.digests.push(*mark);
                news.heartbeat_numbers.push(*encoded_number);
                news.ages_ms.push(*age_ms);
            }
            let age = Duration::from_millis(*age_ms);
            if !self.registry.refresh_from_digest(now, *mark, number, age) {
                requested.push(*mark);
            }
        }
        if digest.should_forward && !news.digests.is_empty() {
            self.forward_digest(&from, &news);
        }
        if !requested.is_empty() {
            requested.truncate(MAX_REQUESTED_RECORDS);
            let request = UpstreamsRequest {
                digests: requested,
                incarnation: 0,
            };
            self.send(from, Payload::UpstreamsRequest(request));
        }
    }

    /// Forwards a digest from another region to the control nodes of the own one.
    fn forward_digest(&mut self, from: &str, digest: &HeartbeatDigest) {
        let my_region = region(&self.me.locality);
        let is_receiver =
            |member: &&Member| region(&member.locality) == my_region && member.node != from;
        let receivers: Vec<String> = self
            .peers()
            .filter(is_receiver)
            .map(|member| member.node.clone())
            .collect();
        for node in receivers {
            self.send(node, Payload::HeartbeatDigest(digest.clone()));
        }
    }

    /// Sends the records that another control node lacks: those it names, or all of them.
    pub(crate) fn handle_upstreams_request(
        &mut self,
        now: Duration,
        from: String,
        request: UpstreamsRequest,
    ) {
        if !request.digests.is_empty() {
            let upstreams = self.requested_records(now, &request.digests);
            let heartbeats = Heartbeats {
                upstreams,
                nonce: 0,
            };
            self.send(from, Payload::Heartbeats(heartbeats));
        } else if self.knows_upstreams(now) {
            let reply = UpstreamsReply {
                upstreams: self.registry.snapshot(now),
                placement: self.placement.current.clone(),
                placed_by: self.placement.lease_holder.clone(),
                incarnation: request.incarnation,
            };
            self.send(from, Payload::UpstreamsReply(reply));
        }
    }

    fn requested_records(&self, now: Duration, digests: &[u64]) -> Vec<Upstream> {
        digests
            .iter()
            .take(MAX_REQUESTED_RECORDS)
            .filter_map(|mark| self.registry.find_by_digest(now, *mark))
            .map(|known| Upstream {
                holds: Vec::new(),
                released: Vec::new(),
                ..known
            })
            .collect()
    }

    /// Takes over all that another control node knows of upstreams and of the placement.
    pub(crate) fn handle_upstreams_reply(&mut self, now: Duration, reply: UpstreamsReply) {
        // A reply to an earlier process of this name may be older than that process's end.
        if reply.incarnation != 0 && reply.incarnation != self.incarnation {
            return;
        }
        for upstream in reply.upstreams {
            self.registry.apply_heartbeat(now, upstream);
        }
        self.handle_placement(reply.placed_by, reply.placement);
        self.registry_synced = true;
    }
}

/// An upstream's heartbeat number as a digest carries it. One that deregistered has the greatest number there is, which
/// is long on the wire; its digest says that it is gone, so the number is sent as zero.
fn encode_heartbeat_number(upstream: &Upstream) -> u64 {
    let deregistered =
        upstream.state() == UpstreamState::Deregistered && upstream.heartbeat_number == u64::MAX;
    if deregistered {
        0
    } else {
        upstream.heartbeat_number
    }
}

/// The heartbeat number that a digest means. Of an upstream that is gone it decides only whether its record is requested.
fn decode_heartbeat_number(mark: u64, encoded: u64) -> u64 {
    if encoded == 0 && upstream_registry::is_deregistered_digest(mark) {
        u64::MAX
    } else {
        encoded
    }
}

fn region(locality: &str) -> &str {
    locality.split('/').next().unwrap_or_default()
}
