//! Many hollow nodes in one process: the daemons' own cores over a simple network, in virtual time.

use super::count::{Ledger, Reach, Role, Stopwatch, kind};
use super::queue::{Happening, Queue, Write};
use super::size::Size;
use super::units::Unit;
use address::Dice;
use carrier::Carrier;
use gazetteer::View;
use parcel::{Body, Durable, Heard, Member, Message, Parcel};
use postmaster::{Answer, Ask, Office};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// As often as the daemons' shells.
const TICK: Duration = Duration::from_millis(20);
const SYNC: Duration = Duration::from_millis(2);
/// A frame's length on a link.
const FRAME: usize = 4;
const STALE_AFTER: Duration = Duration::from_secs(2);

/// What the hollow site is asked to bear.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Of a thousand beats, how many tell of other room than the last.
    pub changing_per_mille: u64,
    /// True where nodes have to find each other, and are not told of all others at their start.
    pub cold: bool,
}

pub(super) enum Core {
    Office(Box<Office>),
    /// With the view that requests would read: while they hold it, the next one is a copy.
    Carrier(Box<Carrier>, Box<View>),
    Down,
}

/// One hollow process.
pub struct Node {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) role: Role,
    pub(super) core: Core,
    life: u64,
    started_at: Duration,
    durable: Durable,
    setups: BTreeMap<String, Vec<u8>>,
    synced_at: Duration,
    /// Since when its book of members lacks all that are watched for.
    lacks: Option<Duration>,
}

/// A whole hollow site.
pub struct Fleet {
    pub size: Size,
    pub(super) load: Load,
    pub(super) now: Duration,
    pub(super) dice: Dice,
    pub(super) queue: Queue,
    pub(super) nodes: Vec<Node>,
    pub(super) units: Vec<Unit>,
    /// Unit, life and beat of those that wait for an answer.
    pub(super) beats: HashMap<u64, (usize, u64, u64)>,
    pub(super) ledger: Ledger,
    named: HashMap<String, usize>,
    in_order: HashMap<(usize, usize), Duration>,
    tokens: u64,
    submitted: HashMap<u64, (u32, Vec<u8>)>,
    /// The edition that the last setup was accepted as, and when.
    accepted: Option<(u64, Duration)>,
    awaited: u32,
    watched: BTreeSet<String>,
    cut: Option<usize>,
    /// Where the postmasters stand among the nodes.
    offices: std::ops::Range<usize>,
}

impl Fleet {
    /// A site that is about to start, on blank disks.
    ///
    /// ```
    /// use drill::hollow::{Fleet, Load, TODAY};
    /// let mut fleet = Fleet::new(TODAY, 1, Load::default());
    /// fleet.run_for(std::time::Duration::from_millis(100));
    /// assert_eq!(fleet.in_force(1), 0);
    /// ```
    pub fn new(size: Size, seed: u64, load: Load) -> Fleet {
        let mut fleet = Fleet {
            size,
            load,
            now: Duration::ZERO,
            dice: Dice::new(seed),
            queue: Queue::default(),
            nodes: Vec::new(),
            units: Vec::new(),
            beats: HashMap::new(),
            ledger: Ledger::default(),
            named: HashMap::new(),
            in_order: HashMap::new(),
            tokens: 0,
            submitted: HashMap::new(),
            accepted: None,
            awaited: 0,
            watched: BTreeSet::new(),
            cut: None,
            offices: size.nodes..size.nodes + size.postmasters,
        };
        let carriers = (0..size.nodes).map(|at| (format!("carrier-{at}"), size.zone(at), Role::Carrier));
        let offices = (0..size.postmasters).map(|at| (format!("postmaster-{at}"), size.zone(at), Role::Voter));
        carriers.chain(offices).for_each(|(name, zone, role)| fleet.push(name, zone, role));
        (0..fleet.nodes.len()).for_each(|at| fleet.start(at));
        fleet.lay_out_units();
        fleet
    }

    fn push(&mut self, name: String, zone: usize, role: Role) {
        self.named.insert(name.clone(), self.nodes.len());
        self.nodes.push(Node {
            name,
            zone,
            role,
            core: Core::Down,
            life: 0,
            started_at: Duration::ZERO,
            durable: Durable::default(),
            setups: BTreeMap::new(),
            synced_at: Duration::ZERO,
            lacks: None,
        });
    }

    fn member(&self, at: usize) -> Member {
        let node = &self.nodes[at];
        let roles = if node.role == Role::Carrier { "proxy,directory" } else { "postmaster" };
        let port = |port: u32| format!("10.{}.{}.{}:{port}", 100 + at / 62_500, at / 250 % 250, at % 250);
        // Links are found by node id here; the address only has its true length.
        Member {
            node: node.name.clone(),
            incarnation: 1,
            locality: self.size.locality(node.zone),
            roles: roles.into(),
            probe_address: port(7100),
            link_address: port(7000),
            http_address: port(8000),
            ..Member::default()
        }
    }

    /// Starts a process on whatever its disk holds.
    pub fn start(&mut self, at: usize) {
        let me = self.member(at);
        self.named.insert(me.probe_address.clone(), at);
        let seeds = self.offices.clone().take(3).map(|at| self.member(at).probe_address).collect();
        let settings = tariff::Settings::read(&[tariff::TIMES], None, &[]).unwrap_or_default();
        let seed = self.dice.roll();
        let roster_size = self.size.postmasters;
        let node = &mut self.nodes[at];
        node.life += 1;
        node.started_at = self.now;
        node.synced_at = self.now;
        node.lacks = None;
        node.core = if node.role == Role::Carrier {
            let times = carrier::shell::times(&settings);
            Core::Carrier(Box::new(Carrier::new(carrier::Start { me, seeds, seed, times })), Box::default())
        } else {
            node.role = Role::Voter;
            let (durable, setups) = (node.durable.clone(), node.setups.clone());
            let times = postmaster::shell::times(&settings);
            Core::Office(Box::new(Office::new(postmaster::Start {
                me,
                seeds,
                roster_size,
                seed,
                durable,
                setups,
                times,
            })))
        };
        let life = node.life;
        let first = self.now + Duration::from_micros(self.dice.below(TICK.as_micros() as u64));
        if !self.load.cold {
            let members = (0..self.nodes.len()).map(|at| self.member(at)).collect();
            let body = Body::Heard(Heard { members, ..Heard::default() });
            self.queue.push(first, Happening::Datagram { node: at, from: at, body });
        }
        self.queue.push(first, Happening::Tick { node: at, life });
    }

    /// Ends a process at once; its disk keeps what was synced.
    pub fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.life += 1;
        node.core = Core::Down;
        if node.role == Role::Holder {
            node.role = Role::Voter;
        }
    }

    /// Further carriers start.
    pub fn grow(&mut self, count: usize) {
        (0..count).for_each(|_| {
            let at = self.nodes.len();
            self.push(format!("carrier-{at}"), self.size.zone(at), Role::Carrier);
            self.start(at);
        });
    }

    /// Everything within a region talks to nothing outside, or all is whole again.
    pub fn cut(&mut self, region: Option<usize>) {
        self.cut = region;
    }

    /// Lets some virtual time pass.
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, what)) = self.queue.pop(until) {
            self.now = at;
            self.happen(what);
        }
        self.now = until;
    }

    /// Lets time pass until something is so; how long that took, none where the limit came first.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let (from, each) = (self.now, Duration::from_millis(10));
        while !done(self) {
            if self.now >= from + limit {
                return None;
            }
            self.run_for(each);
        }
        Some(self.now - from)
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick { node, life } => {
                if self.nodes[node].life == life {
                    self.queue.push(self.now + TICK, Happening::Tick { node, life });
                    self.step(node, "tick", carrier::Event::Tick, postmaster::Event::Tick);
                }
            }
            Happening::Parcel { node, from, body } => self.parcel(node, from, body),
            Happening::Datagram { node, from, body } => {
                let (address, kind) = (self.member(from).probe_address, kind(&body));
                match self.nodes[node].role {
                    Role::Carrier => self.step_carrier(node, kind, carrier::Event::Datagram { address, body }),
                    _ => self.step_office(node, kind, postmaster::Event::Datagram { address, body }),
                }
            }
            Happening::Synced { node, life, ticket, write } => self.synced(node, life, ticket, write),
            Happening::Beat { unit, life } => self.beat(unit, life),
            Happening::BeatComes { node, unit, life, told } => self.beat_comes(node, unit, life, *told),
            Happening::BeatAnswered { unit, answered } => self.beat_answered(unit, answered),
            Happening::Submit { bytes, asked } => self.ask_to_submit(bytes, asked),
            Happening::Verdict { asked, answer } => self.verdict(asked, &answer),
        }
    }

    fn step(&mut self, at: usize, kind: &'static str, carrier: carrier::Event, office: postmaster::Event) {
        match self.nodes[at].role {
            Role::Carrier => self.step_carrier(at, kind, carrier),
            _ => self.step_office(at, kind, office),
        }
    }

    fn parcel(&mut self, at: usize, from: usize, body: Body) {
        let (from, kind) = (self.nodes[from].name.clone(), kind(&body));
        match self.nodes[at].role {
            Role::Carrier => self.step_carrier(at, kind, carrier::Event::Parcel { from, body }),
            _ => self.step_office(at, kind, postmaster::Event::Parcel { from, body }),
        }
    }

    fn step_carrier(&mut self, at: usize, kind: &'static str, event: carrier::Event) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = now - node.started_at;
        let Core::Carrier(carrier, view) = &mut node.core else { return };
        let watch = Stopwatch::start();
        let effects = carrier.step(local, event);
        if effects.iter().any(|effect| matches!(effect, carrier::Effect::Publish)) {
            **view = carrier.view().clone();
        }
        self.ledger.stepped(Role::Carrier, at, kind, watch.took());
        effects.into_iter().for_each(|effect| match effect {
            carrier::Effect::Send { to, body } => self.send(at, &to, body, true),
            carrier::Effect::Datagram { address, body } => self.send(at, &address, body, false),
            carrier::Effect::Addresses(book) => self.look_up(at, &book),
            _ => {}
        });
    }

    pub(super) fn step_office(&mut self, at: usize, kind: &'static str, event: postmaster::Event) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = now - node.started_at;
        let Core::Office(office) = &mut node.core else { return };
        let watch = Stopwatch::start();
        let effects = office.step(local, event);
        let took = watch.took();
        node.role = if office.holds_placement(local) { Role::Holder } else { Role::Voter };
        self.ledger.stepped(node.role, at, kind, took);
        effects.into_iter().for_each(|effect| match effect {
            postmaster::Effect::Send { to, body } => self.send(at, &to, body, true),
            postmaster::Effect::Datagram { address, body } => self.send(at, &address, body, false),
            postmaster::Effect::Keep { ticket, durable } => self.keep(at, ticket, Write::State(durable)),
            postmaster::Effect::KeepSetup { ticket, digest, bytes } => {
                self.keep(at, ticket, Write::Setup(digest, bytes));
            }
            postmaster::Effect::Answer { token, answer } => self.answered(at, token, answer),
            postmaster::Effect::Addresses(book) => self.look_up(at, &book),
            postmaster::Effect::Note(_) => {}
        });
    }

    fn keep(&mut self, at: usize, ticket: u64, write: Write) {
        let node = &mut self.nodes[at];
        node.synced_at = node.synced_at.max(self.now) + SYNC;
        let life = node.life;
        self.queue.push(node.synced_at, Happening::Synced { node: at, life, ticket, write });
    }

    fn synced(&mut self, at: usize, life: u64, ticket: u64, write: Write) {
        let node = &mut self.nodes[at];
        if node.life != life {
            return;
        }
        match write {
            Write::State(durable) => node.durable = durable,
            Write::Setup(digest, bytes) => drop(node.setups.insert(digest, bytes)),
        }
        self.step_office(at, "synced", postmaster::Event::Kept { ticket });
    }

    /// Sends a message over a link, or as a datagram.
    fn send(&mut self, from: usize, to: &str, body: Body, linked: bool) {
        let Some(to) = self.named.get(to).copied() else { return };
        let kind = kind(&body);
        let parcel =
            Parcel { from: if linked { self.nodes[from].name.clone() } else { String::new() }, body: Some(body) };
        let bytes = parcel.encoded_len() + if linked { FRAME } else { 0 };
        let (here, there) = (self.nodes[from].zone, self.nodes[to].zone);
        let way = (self.nodes[from].role, self.nodes[to].role, kind, self.reach(here, there));
        self.ledger.sent(way, bytes as u64);
        let (Some(delay), Some(body)) = (self.delay(here, there), parcel.body) else { return };
        let at = self.now + delay;
        if linked {
            let last = self.in_order.entry((from, to)).or_default();
            *last = at.max(*last + Duration::from_nanos(1));
            self.queue.push(*last, Happening::Parcel { node: to, from, body });
        } else {
            self.queue.push(at, Happening::Datagram { node: to, from, body });
        }
    }

    pub(super) fn reach(&self, from: usize, to: usize) -> Reach {
        match (from == to, self.size.region(from) == self.size.region(to)) {
            (true, _) => Reach::Zone,
            (_, true) => Reach::Region,
            _ => Reach::Far,
        }
    }

    /// How long a message takes from zone to zone; none where it is lost.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let within = |region: usize, zone: usize| self.size.region(zone) == region;
        let lost = self.cut.is_some_and(|region| within(region, from) != within(region, to));
        let base = match self.reach(from, to) {
            Reach::Zone => 200,
            Reach::Region => 1500,
            Reach::Far => 20_000,
        };
        let micros = base + self.dice.below(base / 2 + 300);
        Some(Duration::from_micros(micros)).filter(|_| !lost)
    }

    /// One of the postmasters that are up.
    pub(super) fn some_office(&mut self) -> Option<usize> {
        let all = self.offices.clone().filter(|at| !matches!(self.nodes[*at].core, Core::Down));
        let up: Vec<usize> = all.collect();
        up.get(self.dice.below(up.len() as u64) as usize).copied()
    }

    pub(super) fn token(&mut self) -> u64 {
        self.tokens += 1;
        self.tokens
    }

    /// An operator submits a setup with so many further routes, and asks again until it is accepted.
    pub fn submit(&mut self, extra: usize) {
        self.accepted = None;
        self.awaited += 1;
        let bytes = self.size.setup(extra).into_bytes();
        self.queue.push(self.now, Happening::Submit { bytes, asked: self.awaited });
    }

    fn ask_to_submit(&mut self, bytes: Vec<u8>, asked: u32) {
        if asked != self.awaited || self.accepted.is_some() {
            return;
        }
        let Some(at) = self.some_office() else { return };
        let token = self.token();
        self.submitted.insert(token, (asked, bytes.clone()));
        let ask = Ask::Submit { id: format!("setup-{asked}"), base: None, bytes: bytes.clone(), in_force: false };
        self.queue.push(self.now + Duration::from_secs(3), Happening::Submit { bytes, asked });
        self.step_office(at, "submit", postmaster::Event::Ask { token, ask });
    }

    fn answered(&mut self, at: usize, token: u64, answer: Answer) {
        if !self.answer_beat(at, token, &answer) {
            let asked = self.submitted.remove(&token);
            asked.into_iter().for_each(|(asked, _)| {
                self.queue.push(self.now, Happening::Verdict { asked, answer: answer.clone() });
            });
        }
    }

    fn verdict(&mut self, asked: u32, answer: &Answer) {
        if let Answer::Verdict { code: address::Code::Fine, edition } = answer {
            self.accepted = Some((*edition, self.now)).filter(|_| asked == self.awaited).or(self.accepted);
        }
    }

    /// The edition of the last setup, once it was accepted.
    pub fn accepted(&self) -> Option<u64> {
        self.accepted.map(|(edition, _)| edition)
    }

    fn look_up(&mut self, at: usize, book: &[(String, String)]) {
        if !self.watched.is_empty() {
            let lacks = !book.iter().any(|(node, _)| self.watched.contains(node));
            let now = self.now;
            let node = &mut self.nodes[at];
            node.lacks = Some(node.lacks.unwrap_or(now)).filter(|_| lacks);
        }
    }

    /// From now on it is noted who has these nodes in the book no more.
    pub fn watch(&mut self, nodes: &[usize]) {
        self.watched = nodes.iter().map(|at| self.nodes[*at].name.clone()).collect();
        self.nodes.iter_mut().for_each(|node| node.lacks = None);
    }

    /// When each of those that know that all that are watched are gone came to know it, the first of them first.
    pub fn noticed(&self) -> Vec<Duration> {
        let up = self.nodes.iter().filter(|node| !matches!(node.core, Core::Down));
        let mut times: Vec<Duration> = up.filter_map(|node| node.lacks).collect();
        times.sort();
        times
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// How many processes are up.
    pub fn up(&self) -> usize {
        self.nodes.iter().filter(|node| !matches!(node.core, Core::Down)).count()
    }

    /// The carriers' views with the time that each counts.
    pub fn views(&self) -> impl Iterator<Item = (usize, Duration, &View)> {
        self.nodes.iter().enumerate().filter_map(|(at, node)| match &node.core {
            Core::Carrier(carrier, _) => Some((at, self.now - node.started_at, carrier.view())),
            _ => None,
        })
    }

    /// How many carriers serve by this edition or a later one.
    pub fn in_force(&self, edition: u64) -> usize {
        self.views().filter(|(_, now, view)| view.edition >= edition && view.is_fresh(*now, STALE_AFTER)).count()
    }

    /// How many carriers could serve every name: a fresh view in which each has an owner that is served.
    pub fn serving(&self) -> usize {
        let routes = self.size.routes;
        let serves = |(_, now, view): &(usize, Duration, &View)| {
            view.is_fresh(*now, STALE_AFTER) && view.reservations.len() >= routes
        };
        self.views().filter(serves).count()
    }

    /// The counts since the last call.
    pub fn take_ledger(&mut self) -> Ledger {
        std::mem::take(&mut self.ledger)
    }

    /// The processes in a zone, and the upstreams there.
    pub fn in_zone(&self, zone: usize) -> (Vec<usize>, Vec<usize>) {
        let nodes = (0..self.nodes.len()).filter(|at| self.nodes[*at].zone == zone).collect();
        (nodes, (0..self.units.len()).filter(|at| self.units[*at].zone == zone).collect())
    }
}
