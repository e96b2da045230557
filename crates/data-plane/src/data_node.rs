//! The core of a data-plane node, away from the path of requests: membership, the control node it follows, the view
//! that requests are served by, and the phases of its shutdown.
//!
//! It does no I/O and reads no clock: [`DataNode::step`] takes an [`Event`] and gives [`Effect`]s.

mod events;
mod pending_requests;
mod source;
mod updates;

pub use events::{Effect, Event, Phase, Start, Times};

use crate::pending_loads::PendingLoads;
use membership::Membership;
use name_directory::{Proxy, View};
use pending_requests::PendingRequests;
use protocol::{CONTROL_NODE_ROLE, Member, Payload};
use random::Random;
use source::Source;
use std::sync::Arc;
use std::time::Duration;

/// The role of a node that serves requests.
const PROXY_ROLE: &str = "proxy";

/// The core of one data-plane node.
pub struct DataNode {
    me: Member,
    times: Times,
    random: Random,
    membership: Membership,
    view: View,
    source: Source,
    /// The stream and number of the last update applied; stream 0 asks for a snapshot.
    stream: u64,
    sequence: u64,
    pending_requests: PendingRequests,
    /// Counts the sources followed: a request of an earlier generation went to one that was left.
    source_generation: u64,
    next_request_at: Duration,
    /// How many sources in a row were of no use.
    failed_sources: usize,
    /// The source that was left last.
    left_source: Option<String>,
    /// Nearest first.
    control_nodes: Vec<Member>,
    phase: Phase,
    started_at: Option<Duration>,
    /// True once any control node answered.
    was_answered: bool,
    /// Not before this it returns to its own zone.
    next_return_at: Duration,
    /// To be reported with the next request.
    loads: PendingLoads,
    effects: Vec<Effect>,
}

impl DataNode {
    /// A node that knows nothing yet.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// assert_eq!(data_plane::DataNode::new(start).view().revision, 0);
    /// ```
    pub fn new(start: Start) -> Self {
        let Start {
            me,
            seeds,
            seed,
            reader,
            times,
        } = start;
        let mut random = Random::new(seed);
        let membership = Membership::new(me.clone(), seeds, times.membership, random.next_u64());
        let mut data_node = DataNode {
            me,
            times,
            random,
            membership,
            view: View {
                reader,
                ..View::default()
            },
            source: Source::None,
            stream: 0,
            sequence: 0,
            pending_requests: PendingRequests::default(),
            source_generation: 0,
            next_request_at: Duration::ZERO,
            failed_sources: 0,
            left_source: None,
            control_nodes: Vec::new(),
            phase: Phase::Serving,
            started_at: None,
            was_answered: false,
            next_return_at: Duration::ZERO,
            loads: PendingLoads::default(),
            effects: Vec::new(),
        };
        data_node.update_members(Duration::ZERO);
        data_node.effects.clear();
        data_node
    }

    /// The view to publish.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// assert_eq!(data_plane::DataNode::new(start).view().as_of, None);
    /// ```
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Its phase.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// use data_plane::{Event, Phase};
    /// use std::time::Duration;
    /// let mut data_node = data_plane::DataNode::new(start);
    /// data_node.step(Duration::ZERO, Event::Shutdown);
    /// data_node.step(Duration::from_secs(1), Event::Tick);
    /// assert!(matches!(data_node.phase(), Phase::Draining { .. }), "clients may still have its address");
    /// data_node.step(Duration::from_secs(2), Event::Tick);
    /// assert_eq!(data_node.phase(), Phase::Rejecting);
    /// ```
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The one place where the phase changes.
    fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.effects.push(Effect::Phase(phase));
    }

    /// The HTTP addresses of the control nodes that membership knows, the one followed first.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// assert!(data_plane::DataNode::new(start).control_nodes().is_empty());
    /// ```
    pub fn control_nodes(&self) -> Vec<String> {
        let followed = self.source.node();
        let mut known: Vec<&Member> = self.control_nodes.iter().collect();
        known.sort_by_key(|member| Some(member.node.as_str()) != followed);
        known
            .into_iter()
            .map(|member| member.http_address.clone())
            .collect()
    }

    /// Takes an event in, and gives what is to be done for it.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// let mut data_node = data_plane::DataNode::new(start);
    /// assert!(data_node.step(Default::default(), data_plane::Event::Tick).is_empty(), "nobody to ask");
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => {
                let effects = self.membership.step(now, membership::Event::Tick);
                self.apply_membership_effects(now, effects);
                self.advance_shutdown(now);
                self.poll_source(now);
            }
            Event::Datagram { address, body } => {
                let effects = self
                    .membership
                    .step(now, membership::Event::Received { address, body });
                self.apply_membership_effects(now, effects);
            }
            Event::Received {
                from,
                body: Payload::ViewUpdate(update),
            } => self.on_view_update(now, from, update),
            Event::Received {
                from,
                body: Payload::Freshness(freshness),
            } => self.on_freshness(now, from, freshness),
            Event::Received { .. } => {}
            Event::KeyLoadsCounted(loads) => self.loads.add(loads),
            Event::SeedsChanged(seeds) => self.membership.set_seeds(seeds),
            Event::Shutdown => self.begin_shutdown(now),
        }
        std::mem::take(&mut self.effects)
    }

    fn apply_membership_effects(&mut self, now: Duration, effects: Vec<membership::Effect>) {
        let changed = effects.contains(&membership::Effect::Changed);
        for effect in effects {
            if let membership::Effect::Send { address, body } = effect {
                self.effects.push(Effect::Datagram { address, body });
            }
        }
        if changed {
            self.update_members(now);
        }
    }

    /// Leaves membership, and drains until every address given out has run out.
    fn begin_shutdown(&mut self, now: Duration) {
        let effects = self.membership.step(now, membership::Event::Leave);
        self.apply_membership_effects(now, effects);
        if self.phase == Phase::Serving {
            self.set_phase(Phase::Draining {
                until: now + self.times.lifetime,
            });
        }
    }

    fn advance_shutdown(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Draining { until } if now >= until) {
            self.set_phase(Phase::Rejecting);
        }
    }

    /// Takes over the members: their addresses, the proxies of the view, and the control nodes.
    fn update_members(&mut self, now: Duration) {
        let members: Vec<Member> = self.membership.members().cloned().collect();
        let addresses = members
            .iter()
            .map(|member| (member.node.clone(), member.link_address.clone()));
        self.effects.push(Effect::Addresses(addresses.collect()));
        let proxies = members
            .iter()
            .filter(|member| member.roles.contains(PROXY_ROLE))
            .filter_map(as_proxy);
        self.view.proxies = Arc::new(proxies.collect());
        self.view.update_senders(now);
        let control_nodes = members
            .into_iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE)
            .collect();
        self.set_control_nodes(control_nodes);
        self.effects.push(Effect::Publish);
    }
}

/// A member as a proxy of the view; none where its locality is unreadable.
fn as_proxy(member: &Member) -> Option<Proxy> {
    Some(Proxy {
        node: member.node.clone(),
        locality: member.locality.parse().ok()?,
        address: member.http_address.clone(),
        suspect: member.state() != protocol::MemberState::Alive,
    })
}
