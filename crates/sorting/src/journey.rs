//! One request's way: an explicit state and one function for every change of it.

use crate::board::{Board, Desk, Seat};
use address::{Code, Kind, Locality};
use gazetteer::{View, is_home};
use parcel::{Share, Upstream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tariff::Service;

/// Most sends of one request, the first and those that never connected included.
const MOST_SENDS: u32 = 4;
/// How long a try id is remembered beyond its deadline.
const TRY_LIFE: Duration = Duration::from_secs(10);

/// A request as it came in.
#[derive(Clone, Debug)]
pub struct Order {
    pub tryId: String,
    /// The name asked for: a name, an id-form name or an alias.
    pub name: String,
    pub path: String,
    pub key: Option<String>,
    pub arrivedAt: Duration,
    /// How much time the origin gave.
    pub remaining: Duration,
    pub bodyBytes: u64,
    /// True where another proxy forwarded it.
    pub forwarded: bool,
}

/// The proxy that serves it.
#[derive(Clone, Debug)]
pub struct Site {
    pub node: String,
    pub locality: Locality,
    pub staleAfter: Duration,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Nothing was sent: it may be denied.
    Waiting,
    /// An upstream (or the next proxy) may have it: 'busy' can't be said any more.
    Sent {
        instance: String,
    },
    Answered {
        code: Code,
    },
}

/// Ejected ones last, then nearness, places taken, and an even spread.
type Rank = (bool, u8, u32, u64);

/// What came of a send.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole, sealed verdict.
    Sealed,
    /// The upstream sealed that it did not and will not run it.
    SealedNotRun,
    /// No byte can have reached it.
    NotConnected,
    /// It may have reached it, and no whole verdict came.
    Lost,
    /// Partial, unsealed or foreign.
    Garbage,
    TimedOut,
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum Move {
    /// Call this upstream.
    Call { upstream: Upstream, share: Option<Share>, within: Duration },
    /// Hand it to one of these proxies, once.
    Forward { proxies: Vec<String>, locality: String, within: Duration },
    /// Pass the verdict that came.
    Pass,
    /// Answer with a code, and when to come back where that helps.
    Answer { code: Code, retryAfter: Option<Duration> },
}

/// One request under way.
pub struct Journey {
    order: Order,
    site: Site,
    stage: Stage,
    service: Option<Service>,
    sends: u32,
    tried: Vec<String>,
    seat: Option<Arc<Seat>>,
    desk: Option<Arc<Desk>>,
    /// A send whose outcome nobody knows: from then on it can't be said that nothing ran.
    doubt: Option<Code>,
    /// Why each candidate was passed over, for a trace.
    notes: Vec<String>,
}

impl Journey {
    /// A request that was just enrolled.
    ///
    /// ```
    /// use sorting::{Journey, Order, Site, Stage};
    /// use std::time::Duration;
    /// let order = Order { tryId: "t".into(), name: "n".into(), path: "/".into(), key: None,
    ///     arrivedAt: Duration::ZERO, remaining: Duration::from_secs(1), bodyBytes: 0, forwarded: false };
    /// let site = Site { node: "p".into(), locality: "n/1".parse().unwrap(), staleAfter: Duration::from_secs(2) };
    /// assert_eq!(*Journey::new(order, site).stage(), Stage::Waiting);
    /// ```
    pub fn new(order: Order, site: Site) -> Self {
        Journey {
            order,
            site,
            stage: Stage::Waiting,
            service: None,
            sends: 0,
            tried: Vec::new(),
            seat: None,
            desk: None,
            doubt: None,
            notes: Vec::new(),
        }
    }

    /// Where it stands.
    ///
    /// ```
    /// # use sorting::{Journey, Order, Site, Stage};
    /// # use std::time::Duration;
    /// # let order = Order { tryId: "t".into(), name: "n".into(), path: "/".into(), key: None,
    /// #     arrivedAt: Duration::ZERO, remaining: Duration::from_secs(1), bodyBytes: 0, forwarded: false };
    /// # let site = Site { node: "p".into(), locality: "n/1".parse().unwrap(), staleAfter: Duration::from_secs(2) };
    /// let mut journey = Journey::new(order, site);
    /// journey.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(journey.stage(), Stage::Answered { .. }));
    /// ```
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// What was decided on the way, for a trace.
    ///
    /// ```
    /// # use sorting::{Journey, Order, Site};
    /// # use std::time::Duration;
    /// # let order = Order { tryId: "t".into(), name: "n".into(), path: "/".into(), key: None,
    /// #     arrivedAt: Duration::ZERO, remaining: Duration::from_secs(1), bodyBytes: 0, forwarded: false };
    /// # let site = Site { node: "p".into(), locality: "n/1".parse().unwrap(), staleAfter: Duration::from_secs(2) };
    /// assert!(Journey::new(order, site).notes().is_empty());
    /// ```
    pub fn notes(&self) -> &[String] {
        &self.notes
    }

    /// The one place where the stage changes. An answered request stays answered, and after the first send
    /// only an outcome of that send can answer it.
    fn turn(&mut self, stage: Stage) {
        if !matches!(self.stage, Stage::Answered { .. }) {
            self.stage = stage;
        }
    }

    fn answer(&mut self, code: Code, retryAfter: Option<Duration>) -> Move {
        let doubt = self.doubt.filter(|_| code.kind() == Kind::NotRun);
        let (code, retryAfter) = doubt.map(|doubt| (doubt, None)).unwrap_or((code, retryAfter));
        self.leave_seat();
        self.leave_desk();
        self.turn(Stage::Answered { code });
        self.notes.push(format!("answered: {code}"));
        Move::Answer { code, retryAfter }
    }

    fn leave_desk(&mut self) {
        self.desk.take().iter().for_each(|desk| {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
        });
    }

    fn leave_seat(&mut self) {
        self.seat.take().iter().for_each(|seat| seat.rise());
    }

    fn left(&self, now: Duration) -> Duration {
        (self.order.arrivedAt + self.order.remaining).saturating_sub(now)
    }

    /// The first decision: deny, forward by a mark, or call.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Site};
    /// # use std::time::Duration;
    /// # let order = Order { tryId: "t".into(), name: "n".into(), path: "/".into(), key: None,
    /// #     arrivedAt: Duration::ZERO, remaining: Duration::from_secs(1), bodyBytes: 0, forwarded: false };
    /// # let site = Site { node: "p".into(), locality: "n/1".parse().unwrap(), staleAfter: Duration::from_secs(2) };
    /// use address::Code;
    /// let first = Journey::new(order, site).start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(first, Move::Answer { code: Code::Stale, .. }), "a view that was never confirmed");
    /// ```
    pub fn start(&mut self, now: Duration, view: &View, board: &Board) -> Move {
        let soon = Some(Duration::from_secs(1));
        if !view.is_fresh(now, self.site.staleAfter) {
            return self.answer(Code::Stale, soon);
        }
        let name = view.setup.resolve(&self.order.name);
        let route = name.and_then(|name| view.setup.route(name, &self.order.path));
        let found = route.and_then(|route| view.setup.services.get(&route.service).map(|service| (route, service)));
        let Some((route, service)) = found else {
            return self.answer(Code::NoSuchName, None);
        };
        self.notes.push(format!("asked for {}, which is name {}", self.order.name, route.name));
        self.notes.push(format!("route {} of edition {}, service {}", route.id, view.edition, service.name));
        if self.order.bodyBytes > service.mostBytes {
            return self.answer(Code::TooLarge, None);
        }
        if service.keyed && self.order.key.is_none() {
            return self.answer(Code::MissingKey, None);
        }
        let here = self.site.locality.to_string();
        let reservation = view.reservations.get(&route.name);
        let Some(reservation) = reservation.filter(|owned| !view.evacuated.contains(&owned.locality)) else {
            return self.answer(Code::NoOwner, soon);
        };
        self.notes.push(format!("owner {} at epoch {}", reservation.locality, reservation.epoch));
        let home = is_home(service, &here) && !view.evacuated.contains(&here);
        let mark = view.marks.get(&(route.name.clone(), here.clone()));
        let told = mark.map(|mark| format!("mark here: moved to {} at epoch {}", mark.to, mark.epoch));
        self.notes.extend(told);
        let away = reservation.locality != here && (mark.is_some() || !home);
        if away {
            return self.forward(now, view, service, &reservation.locality);
        }
        let desk = board.desk(&service.name);
        if desk.serving.fetch_add(1, Ordering::AcqRel) >= service.concurrency {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
            return self.answer(Code::Busy, soon);
        }
        self.desk = Some(desk);
        self.service = Some(service.clone());
        if !board.open_try(&self.order.tryId, now, self.left(now) + TRY_LIFE) {
            return self.answer(Code::Duplicate, None);
        }
        self.choose(now, view, board)
    }

    /// This locality does not own the name any more, or may not carry it: one hop to one that does.
    fn forward(&mut self, now: Duration, view: &View, service: &Service, owner: &str) -> Move {
        if self.order.forwarded {
            return self.answer(Code::NotMine, Some(Duration::from_secs(1)));
        }
        let able = |place: &str| is_home(service, place) && !view.evacuated.contains(place);
        let places =
            view.proxies.iter().map(|proxy| (proxy.locality.to_string(), proxy.address.clone(), proxy.suspect));
        let region = owner.split('/').next().unwrap_or_default().to_owned();
        let mut able: Vec<(bool, u8, u64, String)> = places
            .filter(|(place, ..)| able(place))
            .map(|(place, address, suspect)| {
                let near = if place == owner { 0 } else { 1 + u8::from(!place.starts_with(&format!("{region}/"))) };
                (suspect, near, address::spread(&format!("{}{address}", self.order.tryId)), address)
            })
            .collect();
        able.sort();
        let within = self.left(now);
        let proxies: Vec<String> = able.into_iter().take(2).map(|(.., address)| address).collect();
        if proxies.is_empty() {
            return self.answer(Code::NoOwner, Some(Duration::from_secs(1)));
        }
        if within.is_zero() {
            return self.answer(Code::Expired, None);
        }
        self.notes.push(format!("forwarded to {owner} by the mark"));
        self.turn(Stage::Sent { instance: owner.to_owned() });
        Move::Forward { proxies, locality: owner.to_owned(), within }
    }

    /// Chooses an upstream and takes a seat there.
    fn choose(&mut self, now: Duration, view: &View, board: &Board) -> Move {
        let Some(service) = self.service.clone() else { return self.answer(Code::NoSuchName, None) };
        let within = self.left(now);
        if within.is_zero() {
            return self.answer(Code::Expired, None);
        }
        // The view may have aged while the request waited.
        if !view.is_fresh(now, self.site.staleAfter) {
            return self.answer(Code::Stale, Some(Duration::from_secs(1)));
        }
        let share = self.share(view, &service);
        if service.keyed && share.is_none() {
            return self.answer(Code::Busy, Some(Duration::from_secs(1)));
        }
        let mut candidates = self.candidates(now, view, board, &service, share.as_ref());
        candidates.sort_by_key(|(order, _)| *order);
        let chosen = candidates
            .into_iter()
            .map(|(_, upstream)| upstream)
            .find(|upstream| self.take_seat(now, view, board, &service, upstream));
        match chosen {
            None => self.answer(Code::Busy, Some(Duration::from_secs(1))),
            Some(upstream) => {
                self.sends += 1;
                self.tried.push(upstream.instance.clone());
                self.notes.push(format!("sent to {} in {}", upstream.instance, upstream.locality));
                self.turn(Stage::Sent { instance: upstream.instance.clone() });
                Move::Call { upstream: upstream.clone(), share, within }
            }
        }
    }

    fn share(&self, view: &View, service: &Service) -> Option<Share> {
        let slot = self.order.key.as_deref().filter(|_| service.keyed).map(address::slot)?;
        let shares = view.shares.get(&service.name)?;
        shares.iter().find(|share| (share.from..share.until).contains(&slot)).cloned()
    }

    /// Those that may do it, in order: own locality, own region, other home regions; ejected ones last;
    /// the least taken first.
    fn candidates<'a>(
        &mut self,
        now: Duration,
        view: &'a View,
        board: &Board,
        service: &Service,
        share: Option<&Share>,
    ) -> Vec<(Rank, &'a Upstream)> {
        let all = view.upstreams.get(&service.name).into_iter().flat_map(|known| known.values());
        let here = self.site.locality.clone();
        let mut passed = Vec::new();
        let mut pass = |upstream: &Upstream, why: &str| {
            passed.push(format!("{} passed over: {why}", upstream.instance));
            false
        };
        let able: Vec<&Upstream> = all
            .filter(|upstream| {
                if upstream.condition != 0 {
                    pass(upstream, "leaving")
                } else if view.evacuated.contains(&upstream.locality) {
                    pass(upstream, "evacuated locality")
                } else if !is_home(service, &upstream.locality) {
                    pass(upstream, "outside the home regions")
                } else if share.is_some_and(|share| share.instance != upstream.instance) {
                    pass(upstream, "does not hold the key")
                } else if self.tried.contains(&upstream.instance) {
                    pass(upstream, "tried already")
                } else {
                    true
                }
            })
            .collect();
        self.notes.extend(passed);
        able.into_iter()
            .map(|upstream| {
                let seat = board.seat(&upstream.instance);
                let place = upstream.locality.parse::<Locality>().unwrap_or_default();
                let near = if place == here { 0 } else { 1 + u8::from(place.region != here.region) };
                let taken = seat.inFlight.load(Ordering::Acquire);
                let spread = address::spread(&format!("{}{}", self.order.tryId, upstream.instance));
                ((seat.is_ejected(now), near, taken, spread), upstream)
            })
            .collect()
    }

    fn take_seat(&mut self, now: Duration, view: &View, board: &Board, service: &Service, upstream: &Upstream) -> bool {
        let proxies = view.proxies.len().max(1);
        let rank = view.proxies.iter().position(|proxy| proxy.node == self.site.node).unwrap_or(0);
        // Its free slots are divided by the proxies; a little more, since not all send to it at once.
        let most = match upstream.freeSlots {
            0 => 0,
            free => (2 * free).div_ceil(proxies as u32).max(1),
        };
        let seat = board.seat(&upstream.instance);
        if !seat.sit(most) {
            self.notes.push(format!("{} passed over: no free slot", upstream.instance));
            return false;
        }
        if !upstream.warm && !seat.warm_up(now, service.warmUpPerSecond, proxies as u64, rank as u64) {
            seat.rise();
            self.notes.push(format!("{} passed over: warming up", upstream.instance));
            return false;
        }
        if self.sends == 0 {
            board.desk(&service.name).firsts.add(now);
        }
        self.seat = Some(seat);
        true
    }

    /// What came of the send: pass it, send again where that is safe and allowed, or answer.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Outcome, Site};
    /// # use std::time::Duration;
    /// # let order = Order { tryId: "t".into(), name: "n".into(), path: "/".into(), key: None,
    /// #     arrivedAt: Duration::ZERO, remaining: Duration::from_secs(1), bodyBytes: 0, forwarded: false };
    /// # let site = Site { node: "p".into(), locality: "n/1".parse().unwrap(), staleAfter: Duration::from_secs(2) };
    /// use address::Code;
    /// let mut journey = Journey::new(order, site);
    /// let next = journey.after(Duration::ZERO, &Default::default(), &Default::default(), Outcome::Lost);
    /// assert!(matches!(next, Move::Answer { code: Code::Lost, .. }), "never sent again blindly");
    /// ```
    pub fn after(&mut self, now: Duration, view: &View, board: &Board, outcome: Outcome) -> Move {
        let seat = self.seat.clone();
        self.leave_seat();
        seat.iter().for_each(|seat| {
            seat.note(now, matches!(outcome, Outcome::Sealed | Outcome::SealedNotRun));
        });
        let code = match outcome {
            Outcome::Sealed => {
                self.answer(Code::Fine, None);
                return Move::Pass;
            }
            Outcome::SealedNotRun => Code::Busy,
            Outcome::NotConnected => Code::ResendsSpent,
            Outcome::Lost => Code::Lost,
            Outcome::Garbage => Code::Garbage,
            Outcome::TimedOut => Code::TimedOut,
        };
        self.doubt = self.doubt.or(Some(code).filter(|code| code.kind() == Kind::Unknown));
        let repeatable = self.service.as_ref().is_some_and(|service| service.repeatable);
        let safe = repeatable || code.kind() == Kind::NotRun;
        let proxies = view.proxies.len();
        // Where no connection came up, nothing was sent: going elsewhere is no resend.
        let again = safe
            && seat.is_some()
            && self.sends < MOST_SENDS
            && !self.left(now).is_zero()
            && (code == Code::ResendsSpent || self.desk.as_ref().is_some_and(|desk| desk.take_resend(now, proxies)));
        if again {
            self.notes.push(format!("sent again after: {code}"));
            return self.choose(now, view, board);
        }
        self.answer(code, Some(Duration::from_secs(1)).filter(|_| code.kind() == Kind::NotRun))
    }
}

/// A request whose origin hung up gives its places back.
impl Drop for Journey {
    fn drop(&mut self) {
        self.leave_seat();
        self.leave_desk();
    }
}
