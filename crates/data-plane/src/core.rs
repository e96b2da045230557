//! What a carrier decides away from the path of requests: whom it follows and how old its view is.

use crate::pending_loads::PendingLoads;
use locality::Locality;
use membership::Membership;
use name_directory::{ConfigurationParser, Proxy, View};
use protocol::{Freshness, KeyLoad, Member, Payload, UpdateAck, UpdateRequest, ViewUpdate};
use random::Random;
use std::sync::Arc;
use std::time::Duration;

/// How long a carrier that just started waits to hear of a postmaster of its own zone.
const NEAR_WITHIN: Duration = Duration::from_millis(800);
/// How often a carrier without any view asks for one.
const FIRST_EVERY: Duration = Duration::from_millis(200);
/// How long a carrier stays away from its zone's postmasters at least.
const HOME_EVERY: Duration = Duration::from_secs(4);

/// A carrier's time values.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub membership: membership::Times,
    pub ask_every: Duration,
    /// An answer that takes longer means another postmaster.
    pub answer_within: Duration,
    /// How long origins keep an address.
    pub lifetime: Duration,
}

/// How a carrier ends: polite to those who still have its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// Not ready and out of membership, but still serving until every address given out has run out.
    Closing {
        until: Duration,
    },
    /// New requests are denied; what is under way is finished.
    Denying,
}

/// What a carrier starts from.
pub struct Start {
    pub me: Member,
    pub seeds: Vec<String>,
    pub seed: u64,
    /// How configurations are read.
    pub reader: ConfigurationParser,
    pub times: Times,
}

/// What happens to a carrier.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: String,
        body: Payload,
    },
    Datagram {
        address: String,
        body: Payload,
    },
    /// Requests by key since the last time.
    Counted(Vec<KeyLoad>),
    /// The settings name other seeds.
    Seeds(Vec<String>),
    Close,
}

/// What a carrier wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: String,
        body: Payload,
    },
    Datagram {
        address: String,
        body: Payload,
    },
    Addresses(Vec<(String, String)>),
    /// The view changed: publish it.
    Publish,
    /// It closes, or denies from now on.
    Phase(Phase),
    Log(String),
}

/// A postmaster whose confirmation is older than this may be cut off from the others.
const DOUBTED: Duration = Duration::from_secs(1);
/// How long a carrier that left a doubted postmaster waits before it asks the next one.
const BETWEEN: Duration = Duration::from_millis(100);

/// Most questions whose images are waited for.
const MAX_ASKS: usize = 64;

/// Whom the carrier follows.
enum Following {
    Nobody,
    /// Asked, and waits for the answer.
    Asked {
        source: String,
        nonce: u64,
        asked_at: Duration,
    },
    /// Answered; asks again in time.
    Content {
        source: String,
    },
}

/// The core of one carrier.
pub struct DataNode {
    me: Member,
    times: Times,
    random: Random,
    membership: Membership,
    view: View,
    following: Following,
    /// The stream and number of the last news kept; stream 0 wants an image.
    stream: u64,
    number: u64,
    /// Questions whose images may still come, oldest first.
    asks: Vec<Question>,
    /// Counts the sources followed: a question asked under an earlier count went to one that was left.
    followings: u64,
    next_ask: Duration,
    /// How many sources in a row were of no use.
    misses: usize,
    /// The source that was left last.
    left: Option<String>,
    postmasters: Vec<Member>,
    phase: Phase,
    started_at: Option<Duration>,
    /// True once any postmaster answered.
    heard: bool,
    /// Not before this it goes back to its own zone.
    next_home: Duration,
    /// To be told with the next question.
    loads: PendingLoads,
    effects: Vec<Effect>,
}

/// A question to a postmaster, as long as its image may come.
struct Question {
    nonce: u64,
    asked_at: Duration,
    source: String,
    following: u64,
}

/// What an image's age says of it.
enum ImageAge {
    /// It is taken, and surely no older than this, as far as its sender says.
    AsOf(Option<Duration>),
    Refused,
}

impl DataNode {
    /// A carrier that knows nothing yet.
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
        let mut carrier = DataNode {
            me,
            times,
            random,
            membership,
            view: View {
                reader,
                ..View::default()
            },
            following: Following::Nobody,
            stream: 0,
            number: 0,
            asks: Vec::new(),
            followings: 0,
            next_ask: Duration::ZERO,
            misses: 0,
            left: None,
            postmasters: Vec::new(),
            phase: Phase::Serving,
            started_at: None,
            heard: false,
            next_home: Duration::ZERO,
            loads: PendingLoads::default(),
            effects: Vec::new(),
        };
        carrier.learn_members(Duration::ZERO);
        carrier.effects.clear();
        carrier
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

    /// Whether it serves, closes or denies.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// use data_plane::{Event, Phase};
    /// use std::time::Duration;
    /// let mut carrier = data_plane::DataNode::new(start);
    /// carrier.step(Duration::ZERO, Event::Close);
    /// carrier.step(Duration::from_secs(1), Event::Tick);
    /// assert!(matches!(carrier.phase(), Phase::Closing { .. }), "origins may still have its address");
    /// carrier.step(Duration::from_secs(2), Event::Tick);
    /// assert_eq!(carrier.phase(), Phase::Denying);
    /// ```
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The one place where the phase changes.
    fn turn(&mut self, phase: Phase) {
        self.phase = phase;
        self.effects.push(Effect::Phase(phase));
    }

    /// Postmasters that membership knows, the one followed first.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// assert!(data_plane::DataNode::new(start).postmasters().is_empty());
    /// ```
    pub fn postmasters(&self) -> Vec<String> {
        let first = self.source().map(str::to_owned);
        let mut known: Vec<&Member> = self.postmasters.iter().collect();
        known.sort_by_key(|member| Some(&member.node) != first.as_ref());
        known
            .into_iter()
            .map(|member| member.http_address.clone())
            .collect()
    }

    /// The one reducer: takes an event in, gives effects out.
    ///
    /// ```
    /// # let times = data_plane::shell::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = data_plane::Start { me: Default::default(), seeds: vec![], seed: 1, reader: Default::default(), times };
    /// let mut carrier = data_plane::DataNode::new(start);
    /// assert!(carrier.step(Default::default(), data_plane::Event::Tick).is_empty(), "nobody to ask");
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => {
                let effects = self.membership.step(now, membership::Event::Tick);
                self.run_membership(now, effects);
                self.tick(now);
            }
            Event::Datagram { address, body } => {
                let effects = self
                    .membership
                    .step(now, membership::Event::Received { address, body });
                self.run_membership(now, effects);
            }
            Event::Received {
                from,
                body: Payload::ViewUpdate(news),
            } => self.news(now, from, news),
            Event::Received {
                from,
                body: Payload::Freshness(fresh),
            } => self.fresh(now, from, fresh),
            Event::Received { .. } => {}
            Event::Counted(loads) => self.loads.add(loads),
            Event::Seeds(seeds) => self.membership.learn_seeds(seeds),
            Event::Close => {
                let effects = self.membership.step(now, membership::Event::Leave);
                self.run_membership(now, effects);
                if self.phase == Phase::Serving {
                    self.turn(Phase::Closing {
                        until: now + self.times.lifetime,
                    });
                }
            }
        }
        std::mem::take(&mut self.effects)
    }

    fn run_membership(&mut self, now: Duration, effects: Vec<membership::Effect>) {
        let changed = effects.contains(&membership::Effect::Changed);
        effects.into_iter().for_each(|effect| {
            if let membership::Effect::Send { address, body } = effect {
                self.effects.push(Effect::Datagram { address, body });
            }
        });
        if changed {
            self.learn_members(now);
        }
    }

    fn learn_members(&mut self, now: Duration) {
        let members: Vec<Member> = self.membership.members().cloned().collect();
        let here: Locality = self.me.locality.parse().unwrap_or_default();
        let book = members
            .iter()
            .map(|member| (member.node.clone(), member.link_address.clone()));
        self.effects.push(Effect::Addresses(book.collect()));
        let proxies = members
            .iter()
            .filter(|member| member.roles.contains("proxy"));
        let proxies = proxies
            .filter_map(|member| {
                let locality = member.locality.parse().ok()?;
                let suspect = member.condition != membership::ALIVE;
                Some(Proxy {
                    node: member.node.clone(),
                    locality,
                    address: member.http_address.clone(),
                    suspect,
                })
            })
            .collect();
        self.view.proxies = Arc::new(proxies);
        self.view.update_senders(now);
        self.postmasters = members
            .into_iter()
            .filter(|member| member.roles == "postmaster")
            .collect();
        // The nearest first, and carriers of one place spread over what is equally near.
        let me = self.me.node.clone();
        self.postmasters.sort_by_key(|member| {
            let place: Locality = member.locality.parse().unwrap_or_default();
            let spread = random::stable_hash(&format!("{me}{}", member.node));
            (
                member.condition != membership::ALIVE,
                place.region != here.region,
                place != here,
                spread,
            )
        });
        self.effects.push(Effect::Publish);
    }

    /// The one place where it changes whom the carrier follows.
    fn follow(&mut self, following: Following) {
        self.following = following;
    }

    fn source(&self) -> Option<&str> {
        match &self.following {
            Following::Nobody => None,
            Following::Asked { source, .. } | Following::Content { source } => Some(source),
        }
    }

    fn tick(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Closing { until } if now >= until) {
            self.turn(Phase::Denying);
        }
        let late = match &self.following {
            // Without any view there is nothing to lose by asking on.
            Following::Asked { .. } if self.view.as_of.is_none() => now >= self.next_ask,
            Following::Asked { asked_at, .. } => now >= *asked_at + self.times.answer_within,
            _ => false,
        };
        if late {
            self.leave_source(now);
        }
        self.turn_home(now);
        let asking = matches!(self.following, Following::Asked { .. });
        if !asking && now >= self.next_ask {
            self.ask(now);
        }
    }

    /// A carrier that follows far away goes back to a postmaster of its own zone, once there is one again.
    fn turn_home(&mut self, now: Duration) {
        let Following::Content { source } = &self.following else {
            return;
        };
        let place = |member: &&Member| {
            member.locality == self.me.locality && member.condition == membership::ALIVE
        };
        let home = self
            .postmasters
            .first()
            .filter(place)
            .filter(|member| member.node != *source);
        let away = self
            .postmasters
            .iter()
            .any(|member| member.node == *source && member.locality != self.me.locality);
        if home.is_none() || !away || now < self.next_home {
            return;
        }
        self.next_home = now + HOME_EVERY + Duration::from_millis(self.random.below(1000));
        (self.left, self.misses, self.stream, self.next_ask) = (None, 0, 0, now);
        self.follow(Following::Nobody);
    }

    /// Goes on to another postmaster at `next_ask`.
    fn leave_source(&mut self, next_ask: Duration) {
        self.left = self.source().map(str::to_owned);
        self.next_home = next_ask + HOME_EVERY;
        self.misses += 1;
        self.stream = 0;
        self.follow(Following::Nobody);
        self.next_ask = next_ask;
    }

    /// The nearest postmaster but the one just left, and with each miss in a row one further on.
    fn next_source(&self) -> Option<String> {
        let left = self
            .left
            .as_ref()
            .filter(|_| self.misses > 0 && self.postmasters.len() > 1);
        let others: Vec<&Member> = self
            .postmasters
            .iter()
            .filter(|member| Some(&member.node) != left)
            .collect();
        let at = self.misses.saturating_sub(1).checked_rem(others.len())?;
        others.get(at).map(|member| member.node.clone())
    }

    fn ask(&mut self, now: Duration) {
        let known = self.source().map(str::to_owned);
        let known =
            known.filter(|source| self.postmasters.iter().any(|member| member.node == *source));
        let fresh = known.is_none();
        // An image from far is dear: one of the own zone may be known, and have something to tell, in a moment.
        let started_at = *self.started_at.get_or_insert(now);
        let near = self
            .postmasters
            .first()
            .is_some_and(|member| member.locality == self.me.locality);
        if !self.heard && now < started_at + NEAR_WITHIN {
            (self.left, self.misses) = (None, 0);
            if fresh && !near {
                return;
            }
        }
        let Some(source) = known.or_else(|| self.next_source()) else {
            return self.follow(Following::Nobody);
        };
        if fresh {
            self.stream = 0;
            self.followings += 1;
        }
        let nonce = self.random.next_u64();
        self.asks.push(Question {
            nonce,
            asked_at: now,
            source: source.clone(),
            following: self.followings,
        });
        let excess = self.asks.len().saturating_sub(MAX_ASKS);
        self.asks.drain(..excess);
        let every = self.times.ask_every;
        self.next_ask = now
            + if self.view.as_of.is_some() {
                every
            } else {
                every.min(FIRST_EVERY)
            };
        let ask = UpdateRequest {
            nonce,
            stream: self.stream,
            number: self.number,
            loads: self.loads.take(),
        };
        self.effects.push(Effect::Send {
            to: source.clone(),
            body: Payload::UpdateRequest(ask),
        });
        self.follow(Following::Asked {
            source,
            nonce,
            asked_at: now,
        });
    }

    fn news(&mut self, now: Duration, from: String, news: ViewUpdate) {
        let (stream, number, image) = (news.stream, news.number, news.number == 0);
        let followed = self.source() == Some(from.as_str());
        if !followed && !image {
            return;
        }
        if !image && (stream != self.stream || number != self.number + 1) {
            self.want_image(now);
            return;
        }
        let as_of = match image {
            true => match self.image_age(&news, &from) {
                ImageAge::AsOf(as_of) => as_of,
                ImageAge::Refused => return,
            },
            false => self.view.as_of,
        };
        if !followed {
            // It took longer than this carrier waited, and is news all the same: where all are slow, leaving each of them
            // for the next would never bring an image.
            (self.left, self.misses) = (None, 0);
            self.follow(Following::Content {
                source: from.clone(),
            });
        }
        let before = self.view.revision;
        let compressed = news.configuration.as_deref();
        let configuration = compressed.map(protocol::decompress);
        if configuration == Some(None) {
            self.effects
                .push(Effect::Log("news denied: a damaged setup".into()));
            return self.want_image(now);
        }
        let news = ViewUpdate {
            configuration: configuration.flatten(),
            ..news
        };
        if let Err(validation_errors) = self.view.apply_update(news, image) {
            let notes = validation_errors
                .iter()
                .map(|complaint| Effect::Log(format!("news denied: {complaint}")));
            self.effects.extend(notes);
            return self.want_image(now);
        }
        // An image replaces what was known: the view is as old as it, also where what another source told was newer.
        self.view.as_of = as_of;
        self.view.update_senders(now);
        (self.stream, self.number) = (stream, number);
        let revision = self.view.revision;
        if revision != before {
            self.effects
                .push(Effect::Log(format!("edition {revision} is in force")));
        }
        let kept = UpdateAck {
            stream,
            number,
            revision,
        };
        self.effects.push(Effect::Send {
            to: from,
            body: Payload::UpdateAck(kept),
        });
        self.effects.push(Effect::Publish);
    }

    /// Whether an image is taken, and the moment that it is surely no older than. It answers a question later than that of
    /// the last image: one from before, which lay in a slow or frozen link, would set the view back. However long the answer
    /// takes, it is as old as its question says. Where it is older than what is known here, it is not taken from a source
    /// that was left, nor from one that may be cut off from the others.
    fn image_age(&mut self, image: &ViewUpdate, from: &str) -> ImageAge {
        let Some(question) = self.question_of(image.asked, from) else {
            return ImageAge::Refused;
        };
        let left = question.following != self.followings || self.source() != Some(from);
        let Some(age) = image.age_ms.map(Duration::from_millis) else {
            return if left {
                ImageAge::Refused
            } else {
                ImageAge::AsOf(self.view.as_of)
            };
        };
        let Some(as_of) = question.asked_at.checked_sub(age) else {
            return ImageAge::Refused;
        };
        let is_older = self.view.as_of.is_some_and(|known| as_of < known);
        if is_older && (left || age > DOUBTED) {
            ImageAge::Refused
        } else {
            ImageAge::AsOf(Some(as_of))
        }
    }

    /// The question that an image answers; those before it are forgotten.
    fn question_of(&mut self, asked: u64, from: &str) -> Option<Question> {
        // Nodes of an older version do not say what they answer.
        let nonce = if asked == 0 {
            self.asks.last()?.nonce
        } else {
            asked
        };
        let at = self
            .asks
            .iter()
            .position(|question| question.nonce == nonce && question.source == from)?;
        self.asks.drain(..=at).next_back()
    }

    fn want_image(&mut self, now: Duration) {
        self.stream = 0;
        self.next_ask = now + self.times.ask_every / 10;
    }

    fn fresh(&mut self, now: Duration, from: String, fresh: Freshness) {
        let asked_at = match &self.following {
            Following::Asked {
                source,
                nonce,
                asked_at,
            } if *source == from && *nonce == fresh.nonce => *asked_at,
            _ => return,
        };
        self.heard = true;
        self.follow(Following::Content { source: from });
        let whole = (fresh.stream, fresh.number) == (self.stream, self.number)
            && self.view.revision >= fresh.revision;
        let doubted = Duration::from_millis(fresh.age_ms) > DOUBTED;
        // Each of the others is tried once; where all are as old, the carrier stays where it is.
        let leaves = doubted && self.misses + 1 < self.postmasters.len();
        if leaves {
            self.leave_source(now + BETWEEN);
        } else if !whole {
            self.want_image(now);
        }
        if !whole {
            return;
        }
        if !doubted {
            self.misses = 0;
        }
        let as_of = asked_at.checked_sub(Duration::from_millis(fresh.age_ms));
        self.view.as_of = as_of.max(self.view.as_of);
        self.effects.push(Effect::Publish);
    }
}
