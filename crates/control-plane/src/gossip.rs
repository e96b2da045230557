//! What postmasters tell one another of upstreams: news at once and in full, going on in batches of marks.

use crate::node::{CONTROL_NODE_ROLE, ControlNode, DIGEST_INTERVAL, Effect};
use protocol::{HeartbeatDigest, Heartbeats, Payload, Upstream, UpstreamsReply, UpstreamsRequest};
use std::collections::BTreeMap;
use std::time::Duration;

/// Each beat goes to other regions with so many batches, so that a lost one does no harm.
const DIGEST_REPEATS: u32 = 2;
/// Most records asked for at a time.
const MAX_REQUESTED_RECORDS: usize = 256;

impl ControlNode {
    /// Takes in a beat that came here; false where a newer one is known.
    pub(crate) fn record_heartbeat(&mut self, now: Duration, upstream: &Upstream) -> bool {
        let newer = self.registry.apply_heartbeat(now, upstream.clone());
        if newer {
            self.recent_heartbeats.insert(
                (upstream.service.clone(), upstream.instance.clone()),
                (upstream.beat, now),
            );
        }
        newer
    }

    /// Takes in a beat that came here; what is news about it goes to all at once.
    pub(crate) fn relay_heartbeat(&mut self, now: Duration, upstream: &Upstream) {
        let before = self
            .registry
            .get(now, upstream)
            .map(|known| upstream_registry::digest(&known));
        if !self.record_heartbeat(now, upstream) {
            return;
        }
        // With its age as it is known here: this beat may have lain in a frozen process.
        let known = self.registry.get(now, upstream);
        let news = known.filter(|known| Some(upstream_registry::digest(known)) != before);
        // Which keys it holds is worth telling only while no placement says so.
        let unplaced = self.placement.epoch == 0;
        news.into_iter().for_each(|mut known| {
            known.holds.retain(|_| unplaced);
            let upstreams = vec![Upstream {
                released: Vec::new(),
                ..known
            }];
            self.send_to_control_nodes(Payload::Heartbeats(Heartbeats {
                upstreams,
                nonce: 0,
            }));
        });
    }

    /// Tells which upstreams beat here lately, and which are gone: to the own region, and to one postmaster of each
    /// other region, another one each time, which tells it on there.
    pub(crate) fn send_heartbeat_digests(&mut self, now: Duration) {
        self.recent_heartbeats
            .retain(|_, (_, heard_at)| now < *heard_at + DIGEST_INTERVAL * DIGEST_REPEATS);
        let (far, near) = (
            self.heartbeat_digest(now, DIGEST_INTERVAL * DIGEST_REPEATS),
            self.heartbeat_digest(now, DIGEST_INTERVAL),
        );
        self.digest_rounds += 1;
        let mut regions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let there = self
            .members
            .iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE && member.node != self.me.node);
        there.for_each(|member| {
            regions
                .entry(region(&member.locality))
                .or_default()
                .push(&member.node)
        });
        let mine = region(&self.me.locality);
        let sends = regions.into_iter().flat_map(|(there, nodes)| {
            let (tell_on, count) = (there != mine, nodes.len());
            let turn = self.digest_rounds % count.max(1);
            let chosen = nodes
                .into_iter()
                .enumerate()
                .filter(move |(at, _)| !tell_on || *at == turn);
            let alive = HeartbeatDigest {
                tell_on: tell_on && count > 1,
                ..if tell_on { &far } else { &near }.clone()
            };
            let chosen = chosen
                .filter(|_| !alive.marks.is_empty())
                .collect::<Vec<_>>()
                .into_iter();
            chosen.map(move |(_, node)| Effect::Send {
                to: node.to_owned(),
                body: Payload::HeartbeatDigest(alive.clone()),
            })
        });
        let sends: Vec<Effect> = sends.collect();
        self.effects.extend(sends);
    }

    /// Those that beat here within a span and nowhere else since, and those gone lately.
    fn heartbeat_digest(&self, now: Duration, span: Duration) -> HeartbeatDigest {
        let heard = self
            .recent_heartbeats
            .iter()
            .filter(|(_, (_, heard_at))| now < *heard_at + span);
        let heard = heard.filter_map(|((service, instance), (beat, _))| {
            let id = Upstream {
                service: service.clone(),
                instance: instance.clone(),
                ..Upstream::default()
            };
            // A newer beat went elsewhere, and is told from there.
            self.registry.get(now, &id).filter(|known| {
                known.beat == *beat && known.state() != protocol::UpstreamState::Deregistered
            })
        });
        let told: Vec<Upstream> = heard
            .chain(self.registry.recently_deregistered(now))
            .collect();
        HeartbeatDigest {
            marks: told.iter().map(upstream_registry::digest).collect(),
            beats: told.iter().map(encode_heartbeat_number).collect(),
            ages_ms: told.iter().map(|upstream| upstream.age_ms).collect(),
            tell_on: false,
        }
    }

    /// Takes a batch in, tells on what is new in it where that is wanted, and asks its sender for the records that are
    /// not as they are known here.
    pub(crate) fn handle_heartbeat_digest(
        &mut self,
        now: Duration,
        from: String,
        alive: HeartbeatDigest,
    ) {
        let (mut wanted, mut new) = (Vec::new(), HeartbeatDigest::default());
        let told = alive.marks.iter().zip(&alive.beats).zip(&alive.ages_ms);
        told.for_each(|((mark, encode_heartbeat_number), age_ms)| {
            let beat = decode_heartbeat_number(*mark, *encode_heartbeat_number);
            if self
                .registry
                .find_by_digest(now, *mark)
                .is_none_or(|known| known.beat < beat)
            {
                new.marks.push(*mark);
                new.beats.push(*encode_heartbeat_number);
                new.ages_ms.push(*age_ms);
            }
            if !self
                .registry
                .refresh_from_digest(now, *mark, beat, Duration::from_millis(*age_ms))
            {
                wanted.push(*mark);
            }
        });
        if alive.tell_on && !new.marks.is_empty() {
            let mine = region(&self.me.locality);
            let near = self.members.iter().filter(|member| {
                member.roles == CONTROL_NODE_ROLE
                    && region(&member.locality) == mine
                    && member.node != self.me.node
                    && member.node != from
            });
            let sends = near.map(|member| Effect::Send {
                to: member.node.clone(),
                body: Payload::HeartbeatDigest(new.clone()),
            });
            self.effects.extend(sends.collect::<Vec<_>>());
        }
        if !wanted.is_empty() {
            wanted.truncate(MAX_REQUESTED_RECORDS);
            self.effects.push_back(Effect::Send {
                to: from,
                body: Payload::UpstreamsRequest(UpstreamsRequest {
                    marks: wanted,
                    life: 0,
                }),
            });
        }
    }

    pub(crate) fn handle_upstreams_request(
        &mut self,
        now: Duration,
        from: String,
        request: UpstreamsRequest,
    ) {
        if !request.marks.is_empty() {
            let wanted = request
                .marks
                .iter()
                .take(MAX_REQUESTED_RECORDS)
                .filter_map(|mark| self.registry.find_by_digest(now, *mark));
            let upstreams = wanted
                .map(|known| Upstream {
                    holds: Vec::new(),
                    released: Vec::new(),
                    ..known
                })
                .collect();
            self.effects.push_back(Effect::Send {
                to: from,
                body: Payload::Heartbeats(Heartbeats {
                    upstreams,
                    nonce: 0,
                }),
            });
        } else if self.knows_upstreams(now) {
            let (placement, placed_by) = (self.placement.clone(), self.placement_holder.clone());
            let told = UpstreamsReply {
                upstreams: self.registry.snapshot(now),
                placement,
                placed_by,
                life: request.life,
            };
            self.effects.push_back(Effect::Send {
                to: from,
                body: Payload::UpstreamsReply(told),
            });
        }
    }
}

/// An upstream's last beat as a batch tells it. One that signed off has the last beat there can be, a long number on the
/// wire; its mark says that it is gone, so it goes as none.
fn encode_heartbeat_number(upstream: &Upstream) -> u64 {
    let deregistered_record =
        upstream.state() == protocol::UpstreamState::Deregistered && upstream.beat == u64::MAX;
    if deregistered_record {
        0
    } else {
        upstream.beat
    }
}

/// The beat that a batch means. Of an upstream that is gone it decides only whether its record is asked for.
fn decode_heartbeat_number(mark: u64, told: u64) -> u64 {
    if told == 0 && upstream_registry::is_deregistered_digest(mark) {
        u64::MAX
    } else {
        told
    }
}

fn region(locality: &str) -> &str {
    locality.split('/').next().unwrap_or_default()
}
