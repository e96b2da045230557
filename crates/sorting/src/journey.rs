//! One request's way: an explicit state and one function for every change of it.

use crate::board::{Board, Desk, Seat};
use crate::choosing::{Place, region};
use crate::comeback::come_back;
use crate::load::Load;
use crate::notes::{Note, Why};
use crate::waitlist::Bell;
use address::{Code, Kind, Locality};
use gazetteer::{Owners, View, is_home, is_within};
use protocol::{Share, Upstream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tariff::{Route, Service};

/// Most connections tried for one request, those that never came up included.
const MOST_CALLS: u32 = 4;
/// How long a try id is remembered beyond its deadline.
const TRY_LIFE: Duration = Duration::from_secs(10);
/// A request as it came in.
#[derive(Clone, Debug, Default)]
pub struct Order {
    pub try_id: String,
    /// The name asked for: a name, an id-form name or an alias.
    pub name: String,
    pub path: String,
    pub key: Option<String>,
    pub arrived_at: Duration,
    /// How much time the origin gave.
    pub remaining: Duration,
    pub body_bytes: u64,
    /// True where another proxy forwarded it.
    pub forwarded: bool,
    /// Rung when a seat it waits for may be free.
    pub bell: Bell,
}

/// The proxy that serves it.
#[derive(Clone, Debug)]
pub struct Site {
    pub node: String,
    pub locality: Locality,
    /// The locality as text.
    pub(crate) here: String,
    pub stale_after: Duration,
    /// How long a request may wait for a seat; zero denies at once.
    pub wait_for: Duration,
    /// Who owns a name; a proxy forwards only where one locality owns it for everybody.
    pub owners: Owners,
    /// True where a view that no majority confirms any more is served from all the same.
    pub serves_on: bool,
    /// What a request to another zone of the region, and to another region, costs beside work, in milliseconds.
    pub far_ms: (f64, f64),
}

impl Site {
    /// A proxy's place and spans.
    ///
    /// ```
    /// use std::time::Duration;
    /// let site = sorting::Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(site.locality.region, "n");
    /// ```
    pub fn new(node: &str, locality: Locality, stale_after: Duration, wait_for: Duration) -> Self {
        Site {
            node: node.to_owned(),
            here: locality.to_string(),
            locality,
            stale_after,
            wait_for,
            owners: Owners::One,
            serves_on: false,
            far_ms: (20.0, 60.0),
        }
    }

    /// True while a view may be acted on.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut site = sorting::Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let view = gazetteer::View { as_of: Some(Duration::ZERO), ..Default::default() };
    /// assert!(!site.may_use(&view, Duration::from_secs(9)));
    /// site.serves_on = true;
    /// assert!(site.may_use(&view, Duration::from_secs(9)));
    /// assert!(!site.may_use(&Default::default(), Duration::ZERO), "it was never confirmed at all");
    /// ```
    pub fn may_use(&self, view: &View, now: Duration) -> bool {
        (self.serves_on && view.as_of.is_some()) || view.is_fresh(now, self.stale_after)
    }
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Nothing was sent: it may be denied.
    Waiting,
    /// A connection is being opened; still nothing was sent, and another may be chosen.
    Chosen {
        upstream: Arc<Upstream>,
        share: Option<Share>,
    },
    /// An upstream (or the next proxy) may have it: 'busy' can't be said any more.
    Sent {
        instance: String,
    },
    Answered {
        code: Code,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole, sealed verdict.
    Sealed,
    /// The upstream sealed that it did not and will not run it.
    SealedNotRun,
    /// No byte can have reached it: none left this process.
    NotConnected,
    /// It may have reached it, and no whole verdict came.
    Lost,
    /// Partial, unsealed or foreign.
    Garbage,
    /// Whole and sealed, but by another instance: the one that was called is not there any more.
    Replaced,
    /// The same, and what answered says that it did not and will not run it.
    ReplacedNotRun,
    /// It does not hold the key, and did not and will not run it.
    NotHeld,
    /// A whole verdict that says that it failed.
    Failed,
    TimedOut,
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum Move {
    /// Open a connection to this upstream and tell [`Journey::connected`]. Nothing is sent yet.
    Connect { upstream: Arc<Upstream>, within: Duration },
    /// Write the request on the connection that just came up, at once.
    Send { share: Option<Share>, within: Duration },
    /// Hand it to one of these proxies, once.
    Forward { proxies: Vec<String>, within: Duration },
    /// No seat is free: tell [`Journey::called`] when the bell rings, or when this span is over.
    Wait { within: Duration },
    /// Pass the verdict that came.
    Pass,
    /// Answer with a code, and when to come back where that helps.
    Answer { code: Code, retry_after: Option<Duration> },
}

/// One request under way.
pub struct Journey {
    pub(crate) order: Order,
    pub(crate) site: Site,
    pub(crate) stage: Stage,
    /// The route and the service it is for, as of this edition.
    pub(crate) route: Option<Arc<Route>>,
    pub(crate) service: Option<Arc<Service>>,
    pub(crate) edition: u64,
    pub(crate) calls: u32,
    /// How many upstreams it was written to.
    sends: u32,
    /// What it was written to last.
    sent_to: Option<(Arc<Upstream>, Option<Share>)>,
    /// When it was written last, and to how many requests on how many slots.
    sent_at: Option<(Duration, f64, u32)>,
    /// True once its try id was noted.
    opened: bool,
    /// True once it was written to any upstream.
    written: bool,
    pub(crate) tried: Vec<String>,
    pub(crate) seat: Option<(Arc<Seat>, String)>,
    pub(crate) desk: Option<Arc<Desk>>,
    pub(crate) place: Option<Place>,
    pub(crate) wait_until: Option<Duration>,
    /// A send whose outcome nobody knows: from then on it can't be said that nothing ran.
    doubt: Option<Code>,
    pub(crate) notes: Vec<Note>,
}

impl Journey {
    /// A request that was just enrolled.
    ///
    /// ```
    /// use sorting::{Journey, Order, Site, Stage};
    /// use std::time::Duration;
    /// let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(*Journey::new(Order::default(), site).stage(), Stage::Waiting);
    /// ```
    pub fn new(order: Order, site: Site) -> Self {
        Journey {
            order,
            site,
            stage: Stage::Waiting,
            route: None,
            service: None,
            edition: 0,
            calls: 0,
            sends: 0,
            sent_to: None,
            sent_at: None,
            opened: false,
            written: false,
            tried: Vec::new(),
            seat: None,
            desk: None,
            place: None,
            wait_until: None,
            doubt: None,
            notes: Vec::new(),
        }
    }

    /// Where it stands.
    ///
    /// ```
    /// # use sorting::{Journey, Order, Site, Stage};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut journey = Journey::new(Order::default(), site);
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
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert!(Journey::new(Order::default(), site).into_notes().is_empty());
    /// ```
    pub fn into_notes(mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// The one place where the stage changes. An answered request stays answered, and after the first send
    /// only an outcome of that send can answer it.
    pub(crate) fn turn(&mut self, stage: Stage) {
        if !matches!(self.stage, Stage::Answered { .. }) {
            self.stage = stage;
        }
    }

    pub(crate) fn answer(&mut self, now: Duration, code: Code) -> Move {
        let code = self.doubt.filter(|_| code.kind() == Kind::NotRun).unwrap_or(code);
        // Only a denial for want of room asks for the pressure: it sums whole windows.
        let crowded = self.desk.as_ref().filter(|_| code == Code::Busy);
        let pressure = crowded.map(|desk| {
            desk.denied.add(now);
            desk.pressure(now)
        });
        let pressure = pressure.unwrap_or_default();
        let retry_after = come_back(code, pressure, &self.order.try_id);
        self.leave_seat();
        self.leave_place();
        self.leave_desk();
        self.turn(Stage::Answered { code });
        self.notes.push(Note::Answered { code });
        Move::Answer { code, retry_after }
    }

    fn leave_desk(&mut self) {
        self.desk.take().iter().for_each(|desk| {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
        });
    }

    /// Gives the seat back and calls whoever waits for it first.
    pub(crate) fn leave_seat(&mut self) {
        self.seat.take().iter().for_each(|(seat, instance)| {
            seat.rise();
            self.desk.iter().for_each(|desk| desk.ring(Some(instance)));
        });
    }

    pub(crate) fn leave_place(&mut self) {
        self.place.take().iter().for_each(|place| place.desk.leave(place.ticket));
    }

    pub(crate) fn left(&self, now: Duration) -> Duration {
        let timeout = self.route.as_ref().and_then(|route| route.terms.timeout);
        let given = timeout.map_or(self.order.remaining, |timeout| timeout.min(self.order.remaining));
        (self.order.arrived_at + given).saturating_sub(now)
    }

    /// The first decision: deny, forward by a mark, or call.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use address::Code;
    /// let mut journey = Journey::new(Order::default(), site);
    /// let first = journey.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(first, Move::Answer { code: Code::Stale, .. }), "a view that was never confirmed");
    /// ```
    pub fn start(&mut self, now: Duration, view: &View, board: &Board) -> Move {
        if !self.site.may_use(view, now) {
            return self.answer(now, Code::Stale);
        }
        let name = view.setup.resolve(&self.order.name);
        let route = name.and_then(|name| view.setup.route(name, &self.order.path));
        let service = |route: &Arc<Route>| view.setup.services.get(route.pick(&self.order.try_id));
        let found = route.and_then(|route| service(route).map(|service| (route, service)));
        let Some((route, service)) = found else {
            return self.answer(now, Code::NoSuchName);
        };
        self.edition = view.edition;
        self.notes.push(Note::Asked { name: self.order.name.clone(), route: route.clone(), edition: view.edition });
        self.route = Some(route.clone());
        if self.order.body_bytes > service.most_bytes {
            return self.answer(now, Code::TooLarge);
        }
        if service.keyed && self.order.key.is_none() {
            return self.answer(now, Code::MissingKey);
        }
        match self.site.owners {
            Owners::ByCaller => self.serve(now, view, board, service),
            Owners::One => self.serve_or_forward(now, view, board, route, service),
        }
    }

    /// Where one locality owns the name for everybody: served there, and forwarded from where it was left.
    fn serve_or_forward(
        &mut self,
        now: Duration,
        view: &View,
        board: &Board,
        route: &Route,
        service: &Arc<Service>,
    ) -> Move {
        let here = self.site.here.clone();
        let reservation = view.reservations.get(&route.name);
        let Some(reservation) = reservation.filter(|owned| !view.evacuated.contains(&owned.locality)) else {
            return self.answer(now, Code::NoOwner);
        };
        self.notes.push(Note::Owner { locality: reservation.locality.clone(), epoch: reservation.epoch });
        let home = self.is_home(service, &here) && !view.evacuated.contains(&here);
        let mark = view.marks.get(&(route.name.clone(), here.clone()));
        self.notes.extend(mark.map(|mark| Note::Mark { to: mark.to.clone(), epoch: mark.epoch }));
        let away = reservation.locality != here && (mark.is_some() || !home);
        if away {
            return self.forward(now, view, service, &reservation.locality);
        }
        self.serve(now, view, board, service)
    }

    /// True where its work may go there: both its service's and its route's home regions bind.
    pub(crate) fn is_home(&self, service: &Service, place: &str) -> bool {
        let route = self.route.as_ref().is_none_or(|route| is_within(&route.terms.home_regions, place));
        route && is_home(service, place)
    }

    /// Served by this proxy.
    fn serve(&mut self, now: Duration, view: &View, board: &Board, service: &Arc<Service>) -> Move {
        let desk = board.desk(&service.name);
        if desk.serving.fetch_add(1, Ordering::AcqRel) >= service.concurrency {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
            return self.answer(now, Code::Busy);
        }
        self.leave_desk();
        self.desk = Some(desk);
        self.service = Some(service.clone());
        if !self.opened && !board.open_try(&self.order.try_id, now, self.left(now) + TRY_LIFE) {
            return self.answer(now, Code::Duplicate);
        }
        if !self.opened && service.numbered {
            let key = self.order.key.as_deref().and_then(|key| service.place(key));
            key.zip(self.desk.as_ref()).into_iter().for_each(|(key, desk)| desk.count_key(key));
        }
        self.opened = true;
        self.choose(now, view, board)
    }

    /// This locality does not own the name any more, or may not carry it: one hop to one that does.
    fn forward(&mut self, now: Duration, view: &View, service: &Service, owner: &str) -> Move {
        // A denial by the next proxy would be passed on, and may not be once this one has sent it somewhere.
        if self.order.forwarded || self.doubt.is_some() {
            return self.answer(now, Code::NotMine);
        }
        let able = |place: &str| self.is_home(service, place) && !view.evacuated.contains(place);
        let places =
            view.proxies.iter().map(|proxy| (proxy.locality.to_string(), proxy.address.clone(), proxy.suspect));
        let region = region(owner);
        let mut able: Vec<(bool, u8, u64, String)> = places
            .filter(|(place, ..)| able(place))
            .map(|(place, address, suspect)| {
                let near = if place == owner { 0 } else { 1 + u8::from(self::region(&place) != region) };
                (suspect, near, address::spread_all([self.order.try_id.as_str(), address.as_str()]), address)
            })
            .collect();
        able.sort();
        let within = self.left(now);
        let proxies: Vec<String> = able.into_iter().take(2).map(|(.., address)| address).collect();
        if proxies.is_empty() {
            return self.answer(now, Code::NoOwner);
        }
        if within.is_zero() {
            return self.answer(now, Code::Expired);
        }
        self.notes.push(Note::Forwarded { to: owner.to_owned() });
        self.turn(Stage::Sent { instance: owner.to_owned() });
        Move::Forward { proxies, within }
    }

    /// The bell rang, or the waiting is over: one more look for a seat.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut journey = Journey::new(Order::default(), site);
    /// let next = journey.called(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(next, Move::Answer { .. }), "it waited for nothing");
    /// ```
    pub fn called(&mut self, now: Duration, view: &View, board: &Board) -> Move {
        self.notes.push(Note::Called);
        self.choose(now, view, board)
    }

    /// The connection is up, and nothing was sent. The choice is judged once more, since the process may have
    /// stood still in between: only what may still go there is written, and else another is chosen.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut journey = Journey::new(Order::default(), site);
    /// let next = journey.connected(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(next, Move::Answer { .. }), "it had chosen nobody");
    /// ```
    pub fn connected(&mut self, now: Duration, view: &View, board: &Board) -> Move {
        let (Stage::Chosen { upstream, share }, Some(service)) = (self.stage.clone(), self.service.clone()) else {
            return self.answer(now, Code::Expired);
        };
        let withdrawn = self.withdrawn(now, view, &service, &upstream, share.as_ref());
        let within = self.left(now);
        if let Some(why) = withdrawn {
            self.notes.push(Note::Withdrawn { upstream, why });
            self.leave_seat();
            self.turn(Stage::Waiting);
            return if self.calls < MOST_CALLS { self.choose(now, view, board) } else { self.answer(now, Code::Busy) };
        }
        if !self.written {
            self.written = true;
            self.desk.iter().for_each(|desk| desk.firsts.add(now));
        }
        self.sends += 1;
        self.sent_at = self.seat.as_ref().map(|(seat, _)| (now, seat.load(now), upstream.slots));
        self.turn(Stage::Sent { instance: upstream.instance.clone() });
        self.sent_to = Some((upstream.clone(), share.clone()));
        self.notes.push(Note::Sent { upstream });
        Move::Send { share, within }
    }

    /// The kept connection that it was to be written on had ended, and no byte of it left this process: the same
    /// upstream is called on a new one, and the choice judged again.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut journey = Journey::new(Order::default(), site);
    /// assert!(matches!(journey.unsent(Duration::ZERO), Move::Answer { .. }), "it was to be written nowhere");
    /// ```
    pub fn unsent(&mut self, now: Duration) -> Move {
        let Some((upstream, share)) = self.sent_to.take().filter(|_| matches!(self.stage, Stage::Sent { .. })) else {
            return self.answer(now, Code::Expired);
        };
        self.sends -= 1;
        self.notes.push(Note::Unsent { upstream: upstream.clone() });
        self.turn(Stage::Chosen { upstream: upstream.clone(), share });
        Move::Connect { upstream, within: self.left(now) }
    }

    /// Why what was chosen is not allowed any more.
    fn withdrawn(
        &self,
        now: Duration,
        view: &View,
        service: &Service,
        chosen: &Upstream,
        share: Option<&Share>,
    ) -> Option<Why> {
        let stale = !self.site.may_use(view, now) || view.edition != self.edition;
        let late = stale || self.left(now).is_zero();
        let known = view.upstreams.get(&service.name).and_then(|known| known.get(&chosen.instance));
        let known = known.filter(|known| known.address == chosen.address && !late);
        let held = self.share(view, service);
        let other = service.keyed && held.as_ref() != share;
        known
            .map_or(Some(Why::Gone), |known| self.barred(view, service, share, known))
            .or(Some(Why::OtherHolder).filter(|_| other))
    }

    /// What the upstream told of its load with its answer; to be told before the outcome.
    ///
    /// ```
    /// # use sorting::{Journey, Load, Order, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// Journey::new(Order::default(), site).hear(Duration::ZERO, Load::default());
    /// ```
    pub fn hear(&self, now: Duration, load: Load) {
        self.seat.iter().for_each(|(seat, _)| seat.hear(now, load));
    }

    /// What came of the call: pass it, call again where that is safe and allowed, or answer.
    ///
    /// ```
    /// # use sorting::{Journey, Move, Order, Outcome, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use address::Code;
    /// let mut journey = Journey::new(Order::default(), site);
    /// let next = journey.after(Duration::ZERO, &Default::default(), &Default::default(), Outcome::Lost);
    /// assert!(matches!(next, Move::Answer { code: Code::Lost, .. }), "never sent again blindly");
    /// ```
    pub fn after(&mut self, now: Duration, view: &View, board: &Board, outcome: Outcome) -> Move {
        let called = self.seat.is_some();
        let was_sent = self.sent_to.take().is_some();
        // The connection came up and ended before a byte went out.
        self.sends -= u32::from(was_sent && outcome == Outcome::NotConnected);
        // A holder of keys may also deny because a share just moved.
        let least = u32::from(self.service.as_ref().is_some_and(|service| service.keyed));
        self.seat.iter().for_each(|(seat, _)| {
            seat.note(
                now,
                matches!(outcome, Outcome::Sealed | Outcome::SealedNotRun | Outcome::NotHeld | Outcome::Failed),
            );
            match outcome {
                Outcome::SealedNotRun => seat.full(now, least),
                Outcome::Replaced | Outcome::ReplacedNotRun => seat.replaced.store(true, Ordering::Release),
                Outcome::Sealed => {
                    self.sent_at.iter().filter(|(.., slots)| *slots > 0).for_each(|(at, load, slots)| {
                        seat.gauge.worked(now.saturating_sub(*at), *load, *slots);
                    })
                }
                _ => {}
            }
        });
        self.leave_seat();
        let code = match outcome {
            Outcome::Sealed => {
                self.answer(now, Code::Fine);
                return Move::Pass;
            }
            Outcome::SealedNotRun | Outcome::ReplacedNotRun => Code::Busy,
            Outcome::NotHeld => Code::NoHolder,
            Outcome::Failed => Code::Failed,
            Outcome::NotConnected => Code::ResendsSpent,
            Outcome::Lost => Code::Lost,
            Outcome::Garbage | Outcome::Replaced => Code::Garbage,
            Outcome::TimedOut => Code::TimedOut,
        };
        self.doubt = self.doubt.or(Some(code).filter(|code| code.kind() == Kind::Unknown));
        let said = self.route.as_ref().and_then(|route| route.terms.repeatable);
        let repeatable = said.unwrap_or_else(|| self.service.as_ref().is_some_and(|service| service.repeatable));
        let attempts = self.route.as_ref().and_then(|route| route.terms.attempts).unwrap_or(MOST_CALLS);
        let safe = repeatable || code.kind() == Kind::NotRun;
        let proxies = view.proxies.len();
        // Where no connection came up, nothing was sent: going elsewhere is no resend.
        let again = safe
            && called
            && self.calls < MOST_CALLS
            && self.sends < attempts
            && !self.left(now).is_zero()
            && (code == Code::ResendsSpent || self.desk.as_ref().is_some_and(|desk| desk.take_resend(now, proxies)));
        if again {
            self.notes.push(Note::Again { after: code });
            return self.choose(now, view, board);
        }
        let answer = self.answer(now, code);
        // What it said of its failure is for the origin.
        if outcome == Outcome::Failed { Move::Pass } else { answer }
    }
}

/// What would be decided for a request at this moment, with the seats, ejections and budgets as they are; nothing is
/// taken, counted or noted of it.
///
/// ```
/// use sorting::{Board, Order, Site, suppose};
/// use std::time::Duration;
/// let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
/// let board = Board::default();
/// let notes = suppose(Order::default(), &site, Duration::ZERO, &Default::default(), &board);
/// assert!(notes[0].to_string().starts_with("answered: 1202"));
/// ```
pub fn suppose(order: Order, site: &Site, now: Duration, view: &View, board: &Board) -> Vec<Note> {
    // A copy of the counts takes what the real ones would have given.
    let copy = board.copy();
    let mut journey = Journey::new(order, Site { wait_for: Duration::ZERO, ..site.clone() });
    journey.start(now, view, &copy);
    journey.into_notes()
}

/// A request whose origin hung up gives its places back.
impl Drop for Journey {
    fn drop(&mut self) {
        self.leave_seat();
        self.leave_place();
        self.leave_desk();
    }
}
