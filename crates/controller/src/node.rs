//! One postmaster's decisions: the register, membership, the roll of upstreams, the placement duty and the
//! news to carriers, as one reducer.

use crate::keys::KeyCounts;
use crate::news::Reader;
use crate::placing::Duty;
use address::{Code, Dice};
use claims::Claims;
use enrolment::Roll;
use gazetteer::{Owners, SetupReader};
use parcel::{Body, Durable, Member, Placement, RollAsk, RollTold, Share, Upstream};
use registered::{Change, Register, Standing};
use rounds::Rounds;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tariff::{Complaint, Setup, Sheet};

/// How often upstreams that go on beating are told on.
pub(crate) const BATCH_EVERY: Duration = Duration::from_millis(500);

/// A postmaster's time values.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub register: registered::Times,
    pub rounds: rounds::Times,
    pub claims: claims::Times,
    pub placement: gazetteer::Times,
    pub share_span: Duration,
    pub upstream_silent: Duration,
    pub stale_after: Duration,
}

/// What a postmaster starts from.
pub struct Start {
    pub me: Member,
    pub seeds: Vec<String>,
    pub roster_size: usize,
    pub seed: u64,
    /// How configurations are read.
    pub reader: SetupReader,
    /// Who owns a name.
    pub owners: Owners,
    pub durable: Durable,
    pub setups: BTreeMap<String, Vec<u8>>,
    pub times: Times,
}

/// What operators and upstreams ask over HTTP.
#[derive(Clone, Debug)]
pub enum Ask {
    Submit {
        id: String,
        base: Option<u64>,
        bytes: Vec<u8>,
        in_force: bool,
    },
    Evacuate {
        id: String,
        locality: String,
        back: bool,
        in_force: bool,
    },
    ReadSetup,
    Status,
    Upstreams,
    Reservations,
    Marks,
    Beat(Upstream),
    /// An upstream says that it ends now.
    SignOff {
        instance: String,
    },
}

/// An answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Verdict {
        code: Code,
        edition: u64,
    },
    Denied {
        code: Code,
        complaints: Vec<Complaint>,
    },
    Setup {
        edition: u64,
        bytes: Vec<u8>,
    },
    /// To a beat: who holds the duty, and all that the upstream holds from now on, for this span. Without shares it
    /// learns nothing new.
    Beat {
        holder: u64,
        shares: Option<Vec<Share>>,
        span: Duration,
    },
    Sheet(Sheet),
}

/// What happens to a postmaster.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Parcel {
        from: String,
        body: Body,
    },
    Datagram {
        address: String,
        body: Body,
    },
    Ask {
        token: u64,
        ask: Ask,
    },
    Kept {
        ticket: u64,
    },
    DiskFailed,
    /// The settings name other seeds.
    Seeds(Vec<String>),
    Close,
}

/// What a postmaster wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: String,
        body: Body,
    },
    Datagram {
        address: String,
        body: Body,
    },
    Keep {
        ticket: u64,
        durable: Durable,
    },
    KeepSetup {
        ticket: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    Answer {
        token: u64,
        answer: Answer,
    },
    /// Membership changed: node ids with their link addresses.
    Addresses(Vec<(String, String)>),
    /// Worth a line in the log.
    Note(String),
}

pub(crate) struct InForce {
    pub token: u64,
    pub answer: Answer,
    pub edition: u64,
    pub until: Duration,
}

/// A read-back that waits for a confirmation asked after it.
pub(crate) struct ReadWait {
    pub token: u64,
    pub asked_at: Duration,
}

pub(crate) struct BeatWait {
    pub token: u64,
    pub until: Duration,
}

/// What a postmaster did since its start, beside its rounds.
#[derive(Default)]
pub(crate) struct Counts {
    pub beats: u64,
    pub claims_held: u64,
    pub placements_told: u64,
    pub names_moved: u64,
    pub images: u64,
    pub changes: u64,
}

/// The core of one postmaster.
pub struct Office {
    pub(crate) me: Member,
    pub(crate) times: Times,
    pub(crate) reader: SetupReader,
    pub(crate) owners: Owners,
    pub(crate) dice: Dice,
    pub(crate) register: Register,
    pub(crate) rounds: Rounds,
    pub(crate) claims: Claims,
    pub(crate) roll: Roll,
    pub(crate) duty: Option<Duty>,
    /// Requests by key that carriers told of, to be told on to the holder of the duty.
    pub(crate) loads: KeyCounts,
    /// The last placement heard of, and who holds the duty.
    pub(crate) placement: Placement,
    pub(crate) placed_by: String,
    pub(crate) setup: Arc<Setup>,
    pub(crate) members: Vec<Member>,
    pub(crate) readers: BTreeMap<String, Reader>,
    /// The edition that each carrier acknowledged, to whichever postmaster.
    pub(crate) kept: BTreeMap<String, u64>,
    pub(crate) waiting_force: Vec<InForce>,
    pub(crate) read_waits: Vec<ReadWait>,
    pub(crate) beat_waits: BTreeMap<u64, BeatWait>,
    /// Upstreams whose beats came here of late: which beat, and when.
    pub(crate) heard_here: BTreeMap<(String, String), (u64, Duration)>,
    pub(crate) batches: usize,
    pub(crate) next_sweep: Duration,
    pub(crate) next_news: Duration,
    pub(crate) effects: VecDeque<Effect>,
    told: Standing,
    /// True once another postmaster told all it knows of upstreams, or all of them had time to beat.
    pub(crate) roll_told: bool,
    pub(crate) held_epoch: u64,
    pub(crate) counts: Counts,
    /// True once it was told to end: whoever asks is sent elsewhere.
    closing: bool,
}

impl Office {
    /// A postmaster as its disk left it.
    ///
    /// ```
    /// # let times = postmaster::shell::times(&tariff::Settings::read(&[tariff::TIMES], None, &[]).unwrap());
    /// let start = postmaster::Start { me: Default::default(), seeds: vec![], roster_size: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    ///     durable: Default::default(), setups: Default::default(), times };
    /// assert_eq!(postmaster::Office::new(start).edition(), 0);
    /// ```
    pub fn new(start: Start) -> Self {
        let mut dice = Dice::new(start.seed);
        let Start { me, seeds, roster_size, reader, owners, durable, setups, times, .. } = start;
        let register = Register::new(registered::Start {
            me: me.node.clone(),
            roster_size,
            seed: dice.roll(),
            durable,
            setups,
            times: times.register,
        });
        Office {
            rounds: Rounds::new(me.clone(), seeds, times.rounds, dice.roll()),
            claims: Claims::new(me.node.clone(), times.claims, dice.roll()),
            told: register.standing().clone(),
            members: vec![me.clone()],
            me,
            times,
            reader,
            owners,
            dice,
            register,
            roll: Roll::default(),
            duty: None,
            loads: KeyCounts::default(),
            placement: Placement::default(),
            placed_by: String::new(),
            setup: Arc::default(),
            readers: BTreeMap::new(),
            kept: BTreeMap::new(),
            waiting_force: Vec::new(),
            read_waits: Vec::new(),
            beat_waits: BTreeMap::new(),
            heard_here: BTreeMap::new(),
            batches: 0,
            next_sweep: Duration::ZERO,
            next_news: Duration::ZERO,
            effects: VecDeque::new(),
            roll_told: false,
            held_epoch: 0,
            counts: Counts::default(),
            closing: false,
        }
    }

    /// The edition in force here.
    ///
    /// ```
    /// # let times = postmaster::shell::times(&tariff::Settings::read(&[tariff::TIMES], None, &[]).unwrap());
    /// # let start = postmaster::Start { me: Default::default(), seeds: vec![], roster_size: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), setups: Default::default(), times };
    /// assert_eq!(postmaster::Office::new(start).edition(), 0);
    /// ```
    pub fn edition(&self) -> u64 {
        self.register.word().edition
    }

    /// The one reducer: takes an event in, gives effects out.
    ///
    /// ```
    /// # let times = postmaster::shell::times(&tariff::Settings::read(&[tariff::TIMES], None, &[]).unwrap());
    /// # let start = postmaster::Start { me: Default::default(), seeds: vec![], roster_size: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), setups: Default::default(), times };
    /// use postmaster::{Answer, Ask, Effect, Event, Office};
    /// let mut office = Office::new(start);
    /// let ask = Ask::Submit { id: "a".into(), base: None, bytes: b"{".to_vec(), in_force: false };
    /// let effects = office.step(Default::default(), Event::Ask { token: 7, ask });
    /// assert!(matches!(&effects[0], Effect::Answer { token: 7, answer: Answer::Denied { .. } }));
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Parcel { from, body } => self.take(now, from, body),
            Event::Datagram { address, body } => {
                let effects = self.rounds.step(now, rounds::Event::Parcel { address, body });
                self.run_rounds(now, effects);
            }
            Event::Ask { token, .. } if self.closing => {
                self.answer(token, Answer::Verdict { code: Code::Closing, edition: 0 });
            }
            Event::Ask { token, ask } => self.ask(now, token, ask),
            Event::Kept { ticket } => self.run_register(now, registered::Event::Kept { ticket }),
            Event::DiskFailed => self.run_register(now, registered::Event::DiskFailed),
            Event::Seeds(seeds) => self.rounds.learn_seeds(seeds),
            Event::Close => {
                self.closing = true;
                let effects = self.rounds.step(now, rounds::Event::Leave);
                self.run_rounds(now, effects);
                self.run_claims(now, claims::Event::Close);
            }
        }
        self.answer_reads(now);
        std::mem::take(&mut self.effects).into()
    }

    fn tick(&mut self, now: Duration) {
        let effects = self.rounds.step(now, rounds::Event::Tick);
        self.run_rounds(now, effects);
        self.run_register(now, registered::Event::Tick);
        let (roster, epoch) = (self.register.roster().to_vec(), self.register.claim_epoch());
        if *self.register.standing() == Standing::Voting {
            self.run_claims(now, claims::Event::Roster { roster, epoch });
            self.run_claims(now, claims::Event::Tick);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + BATCH_EVERY;
            // What others hear of comes with their next batch.
            self.roll.sweep(now, self.times.upstream_silent + BATCH_EVERY);
            if !self.is_settled(now) {
                self.tell_postmasters(Body::RollAsk(RollAsk::default()));
            }
            self.tell_loads();
            self.tell_alive(now);
        }
        self.tick_duty(now);
        self.tick_news(now);
        self.tick_waits(now);
        self.note_standing();
    }

    fn note_standing(&mut self) {
        let now = self.register.standing();
        if std::mem::discriminant(now) != std::mem::discriminant(&self.told) {
            self.told = now.clone();
            let text = match now {
                Standing::Blank { .. } => "the disk is blank",
                Standing::Founding { .. } => "endorsed a roster",
                Standing::Mending { .. } => "mending from the other voters",
                Standing::Voting => "voting",
                Standing::Out => "the disk failed: out of rounds",
            };
            self.effects.push_back(Effect::Note(text.into()));
        }
    }

    fn take(&mut self, now: Duration, from: String, body: Body) {
        match body {
            Body::ClaimAsk(_) | Body::ClaimGrant(_) | Body::ClaimDrop(_) => {
                // A voter that has lost its disk has forgotten the epochs it granted.
                if *self.register.standing() == Standing::Voting {
                    self.run_claims(now, claims::Event::Parcel { from, body });
                }
            }
            Body::Beats(beats) => beats.upstreams.into_iter().for_each(|upstream| {
                self.roll.take(now, upstream);
            }),
            Body::Alive(alive) => self.alive_told(now, from, alive),
            Body::RollAsk(ask) => self.roll_asked(now, from, ask),
            Body::RollTold(told) => self.roll_told(now, told),
            Body::Holder(holder) => self.hear_holder(from, holder.epoch),
            Body::SharesAsk(ask) => self.shares_asked(now, from, ask),
            Body::SharesGiven(given) => self.shares_given(given),
            Body::PlacementAsk(_) => self.placement_asked(from),
            Body::Placement(placement) => self.take_placement(from, placement),
            Body::KeyLoads(told) => self.count_keys(told.loads),
            Body::NewsAsk(ask) => self.news_asked(now, from, ask),
            Body::NewsKept(kept) => self.news_kept(&from, &kept),
            Body::CarrierKept(kept) => self.carrier_kept(kept),
            other => self.run_register(now, registered::Event::Parcel { from, body: other }),
        }
    }

    fn run_rounds(&mut self, now: Duration, effects: Vec<rounds::Effect>) {
        let changed = effects.contains(&rounds::Effect::Changed);
        effects.into_iter().for_each(|effect| {
            if let rounds::Effect::Send { address, body } = effect {
                self.effects.push_back(Effect::Datagram { address, body });
            }
        });
        if changed {
            self.members = self.rounds.members().cloned().collect();
            let present = |node: &String| self.members.iter().any(|member| member.node == *node);
            self.kept.retain(|node, _| present(node));
            let book = self.members.iter().map(|member| (member.node.clone(), member.link_address.clone()));
            self.effects.push_back(Effect::Addresses(book.collect()));
        }
        let peers = self.members.iter().filter(|member| member.roles == "postmaster");
        let peers = peers.map(|member| member.node.clone()).collect();
        self.run_register(now, registered::Event::Peers(peers));
    }

    pub(crate) fn run_register(&mut self, now: Duration, event: registered::Event) {
        let effects = self.register.step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            registered::Effect::Send { to, body } => self.effects.push_back(Effect::Send { to, body }),
            registered::Effect::Keep { ticket, durable } => {
                self.effects.push_back(Effect::Keep { ticket, durable });
            }
            registered::Effect::KeepSetup { ticket, digest, bytes } => {
                self.effects.push_back(Effect::KeepSetup { ticket, digest, bytes });
            }
            registered::Effect::Verdict { token, verdict } => self.decided(now, token, verdict),
            registered::Effect::Adopted => self.adopted(),
            registered::Effect::EpochKept { token } => self.run_claims(now, claims::Event::EpochKept { token }),
        });
    }

    fn run_claims(&mut self, now: Duration, event: claims::Event) {
        let effects = self.claims.step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            claims::Effect::Send { to, body } => self.effects.push_back(Effect::Send { to, body }),
            claims::Effect::RaiseEpoch { epoch, token } => {
                self.run_register(now, registered::Event::RaiseEpoch { epoch, token });
            }
        });
    }

    /// A newer word is in force: read its setup once, and tell the carriers with the next news.
    fn adopted(&mut self) {
        let read = self.register.setup().map(self.reader.0).and_then(Result::ok);
        self.setup = read.map(Arc::new).unwrap_or_default();
        self.next_news = Duration::ZERO;
        let edition = self.register.word().edition;
        self.effects.push_back(Effect::Note(format!("edition {edition} is in force")));
    }

    pub(crate) fn tell_postmasters(&mut self, body: Body) {
        let others = self.members.iter().filter(|member| member.roles == "postmaster" && member.node != self.me.node);
        let sends = others.map(|member| Effect::Send { to: member.node.clone(), body: body.clone() });
        self.effects.extend(sends.collect::<Vec<_>>());
    }

    pub(crate) fn change(&mut self, now: Duration, token: u64, change: Change, bytes: Option<Vec<u8>>) {
        self.run_register(now, registered::Event::Ask { token, change, bytes });
    }

    /// True once this node knows the upstreams well enough to tell carriers of them.
    pub(crate) fn is_settled(&self, now: Duration) -> bool {
        self.roll_told || now >= self.times.upstream_silent
    }

    fn roll_told(&mut self, now: Duration, told: RollTold) {
        told.upstreams.into_iter().for_each(|upstream| {
            self.roll.take(now, upstream);
        });
        self.take_placement(told.placed_by, told.placement);
        self.roll_told = true;
    }

    /// True while a majority confirmed the word lately.
    pub(crate) fn is_current(&self, now: Duration) -> bool {
        self.register.age(now).is_some_and(|age| age < self.times.stale_after)
    }
}
