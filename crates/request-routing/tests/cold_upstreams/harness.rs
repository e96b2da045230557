//! An upstream that turns cold, and the proxies that send to it, in virtual time.

use name_directory::{OwnershipMode, Proxy, View};
use protocol::{ClusterState, Upstream, ViewUpdate};
use random::Random;
use request_routing::{
    CallOutcome, HealthCheck, HealthReport, Load, NextStep, ProxyContext, ProxyStats, RequestInfo,
    RequestState, WakeUp, WarmUpTolerance,
};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A cold upstream bears in any second its slow-start rate times this, beside its margin.
const EXCESS: f64 = 1.5;
pub const COLD_FROM: Duration = Duration::from_secs(4);
const COLD_FOR: Duration = Duration::from_secs(3);
/// How long before the upstream turns cold the traffic rises.
const RISE: Duration = Duration::from_millis(300);
const END: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(1);
pub const SEEDS: u64 = 12;
/// A request comes in a step with the chance of some in so many.
const DRAWS: u64 = 1_000_000;

/// What an upstream is like.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    pub slow_start_rate: u32,
    /// So many requests in a second it bears beside.
    pub margin: f64,
    pub slots: u32,
    pub work: Duration,
}

impl Profile {
    /// The most requests in any second that it may get while it is cold.
    pub fn most_in_a_second(&self) -> f64 {
        f64::from(self.slow_start_rate) * EXCESS + self.margin
    }
}

pub const FAST: Profile = Profile {
    slow_start_rate: 15,
    margin: 5.0,
    slots: 6,
    work: Duration::from_millis(90),
};
pub const SLOW: Profile = Profile {
    slow_start_rate: 3,
    margin: 5.0,
    slots: 3,
    work: Duration::from_millis(220),
};

pub const SLOW_RATES: [f64; 4] = [5.0, 8.0, 11.0, 13.0];

/// How the requests for one upstream reach it.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub profile: Profile,
    /// Requests a second, over all proxies.
    pub rate: f64,
    /// The part of them that comes before the upstream is about to turn cold: a partition moves traffic and makes upstreams cold.
    pub rate_before: f64,
    pub proxies: usize,
    /// The part of them that the first proxy gets; the others share the rest.
    pub first_share: f64,
    /// Whether the upstream reports its load.
    pub reports_load: bool,
    /// How long a health check takes.
    pub check_latency: Duration,
    /// How long a request may wait for a slot or an answer.
    pub max_queue_wait: Duration,
    pub view_course: ViewCourse,
    /// Whether no connection comes up from before the upstream turns cold until shortly after.
    pub has_outage: bool,
}

/// What the proxies' view tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewCourse {
    /// They are out of touch: the view is that of the start, in which the upstream is warm.
    Stale,
    /// They are in touch, and the upstream is cut off from the control plane: no heartbeat says that it is cold.
    HeartbeatsLost,
    /// They are in touch. The upstream's zone is evacuated from the start on; the end of that is known at once, and that the
    /// upstream turned cold shortly before, with its next heartbeat.
    EvacuationEnds,
}

/// The connections that are begun within this time come up at its end.
const OUTAGE: Range<Duration> = Duration::from_millis(2500)..Duration::from_millis(4300);
/// When an evacuation ends, after the upstream has turned cold.
const EVACUATION_END: Duration = Duration::from_millis(4500);
/// When the heartbeat that says that it is cold has reached the proxies.
const HEARTBEAT_NEWS: Duration = Duration::from_millis(5600);
/// How often a view is confirmed to proxies in touch.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(600);
/// A view that was not confirmed for so long is stale.
const STALE_AFTER: Duration = Duration::from_secs(2);
const LOCALITY: &str = "n/1";

/// Most of an upstream's requests come from a few proxies near it.
pub const LOCAL: Traffic = Traffic {
    profile: FAST,
    rate: 36.0,
    rate_before: 1.0,
    proxies: 3,
    first_share: 0.34,
    reports_load: true,
    check_latency: Duration::from_millis(5),
    max_queue_wait: Duration::ZERO,
    view_course: ViewCourse::Stale,
    has_outage: false,
};

/// What happens at a later moment.
enum Later {
    Answered {
        proxy: usize,
        request: Box<RequestState>,
    },
    Checked {
        proxy: usize,
        check: HealthCheck,
    },
    WaitOver(u64),
    Connected {
        id: u64,
        waiting: Waiting,
    },
}

/// A request in an admission queue.
struct Waiting {
    proxy: usize,
    request: Box<RequestState>,
}

pub struct Run {
    view: View,
    waiting: BTreeMap<u64, Waiting>,
    /// Requests that are told to look again.
    woken: Arc<Mutex<Vec<u64>>>,
    proxies: Vec<(ProxyContext, ProxyStats)>,
    later: BTreeMap<(Duration, u64), Later>,
    next_id: u64,
    running: u32,
    pub offered: Vec<Duration>,
    pub arrivals: Vec<Duration>,
    pub checks: usize,
    traffic: Traffic,
}

fn view(traffic: &Traffic) -> View {
    let profile = traffic.profile;
    let configuration =
        r#"{"services": [{"name": "clauses", "work": "repeatable", "warmUpPerSecond": RATE,
                                          "healthCheckPath": "/health"}],
        "routes": [{"id": "r1", "name": "clause", "path": "/text", "service": "clauses"}]}"#
            .replace("RATE", &profile.slow_start_rate.to_string());
    let upstream = Upstream {
        service: "clauses".into(),
        instance: "a".into(),
        address: "a".into(),
        locality: LOCALITY.into(),
        slots: profile.slots,
        free_slots: profile.slots,
        warm: true,
        ..Upstream::default()
    };
    let evacuated = match traffic.view_course {
        ViewCourse::Stale | ViewCourse::HeartbeatsLost => Vec::new(),
        ViewCourse::EvacuationEnds => vec![LOCALITY.to_owned()],
    };
    let update = ViewUpdate {
        state: Some(ClusterState {
            revision: 1,
            evacuated,
            ..ClusterState::default()
        }),
        configuration: Some(configuration.into()),
        upstreams: vec![upstream],
        ..ViewUpdate::default()
    };
    let proxy = |number: usize| Proxy {
        node: format!("p{number}"),
        locality: LOCALITY.parse().expect("a locality"),
        address: String::new(),
        suspect: false,
    };
    let mut view = View {
        as_of: Some(Duration::ZERO),
        proxies: Arc::new((0..traffic.proxies).map(proxy).collect()),
        ..View::default()
    };
    view.apply_update(update, true).expect("it is valid");
    view
}

fn proxy(number: usize, traffic: &Traffic) -> (ProxyContext, ProxyStats) {
    let locality = LOCALITY.parse().expect("a locality");
    let mut proxy = ProxyContext::new(
        &format!("p{number}"),
        locality,
        STALE_AFTER,
        traffic.max_queue_wait,
    );
    proxy.ownership = OwnershipMode::PerClientZone;
    proxy.serve_stale_view = true;
    proxy.warm_up_tolerance = WarmUpTolerance {
        excess: EXCESS,
        margin: traffic.profile.margin,
    };
    (proxy, ProxyStats::default())
}

impl Run {
    pub fn new(traffic: Traffic) -> Run {
        Run {
            view: view(&traffic),
            waiting: BTreeMap::new(),
            woken: Arc::default(),
            proxies: (0..traffic.proxies)
                .map(|number| proxy(number, &traffic))
                .collect(),
            later: BTreeMap::new(),
            next_id: 0,
            running: 0,
            offered: Vec::new(),
            arrivals: Vec::new(),
            checks: 0,
            traffic,
        }
    }

    fn is_cold(now: Duration) -> bool {
        (COLD_FROM..COLD_FROM + COLD_FOR).contains(&now)
    }

    fn at(&mut self, at: Duration, later: Later) {
        self.next_id += 1;
        self.later.insert((at, self.next_id), later);
    }

    fn send_checks(&mut self, now: Duration, proxy: usize, checks: Vec<HealthCheck>) {
        for check in checks {
            self.checks += 1;
            let answered_at = now + self.traffic.check_latency;
            self.at(answered_at, Later::Checked { proxy, check });
        }
    }

    pub fn without_health_path(mut self) -> Run {
        let configuration = Arc::make_mut(&mut self.view.configuration);
        for service in configuration.services.values_mut() {
            Arc::make_mut(service).health_path = None;
        }
        self
    }

    /// Proxies that take their view for confirmed, however old it is.
    pub fn with_view_taken_for_current(mut self) -> Run {
        self.view.as_of = Some(END);
        self
    }

    fn request(&mut self, now: Duration, proxy: usize) {
        self.offered.push(now);
        self.next_id += 1;
        let (id, woken) = (self.next_id, self.woken.clone());
        let wake = move || woken.lock().expect("no panic holds it").push(id);
        let info = RequestInfo {
            attempt_id: format!("t-{id}"),
            name: "clause".into(),
            path: "/text".into(),
            arrived_at: now,
            remaining: Duration::from_secs(3),
            wake_up: WakeUp::new(wake),
            ..RequestInfo::default()
        };
        let (context, stats) = &self.proxies[proxy];
        let mut request = Box::new(RequestState::new(info, context.clone()));
        let next = request.start(now, &self.view, stats);
        self.proceed(now, id, Waiting { proxy, request }, next);
    }

    /// Does what is next for a request.
    fn proceed(&mut self, now: Duration, id: u64, waiting: Waiting, next: NextStep) {
        let Waiting { proxy, mut request } = waiting;
        let stats = &self.proxies[proxy].1;
        let is_connecting = matches!(next, NextStep::Connect { .. });
        if is_connecting && self.traffic.has_outage && OUTAGE.contains(&now) {
            let waiting = Waiting { proxy, request };
            return self.at(OUTAGE.end, Later::Connected { id, waiting });
        }
        let next = match next {
            NextStep::Connect { .. } => request.on_connected(now, &self.view, stats),
            next => next,
        };
        let checks = request.take_health_checks();
        self.send_checks(now, proxy, checks);
        match next {
            NextStep::Send { .. } => {
                self.arrivals.push(now);
                self.running += 1;
                let slowdown = if Run::is_cold(now) { 2 } else { 1 };
                let work = self.traffic.profile.work * slowdown;
                self.at(now + work, Later::Answered { proxy, request });
            }
            NextStep::Wait { within } => {
                self.waiting.insert(id, Waiting { proxy, request });
                self.at(now + within, Later::WaitOver(id));
            }
            _ => {}
        }
    }

    /// A queued request looks again, where it still waits.
    fn wake(&mut self, now: Duration, id: u64) {
        let Some(mut waiting) = self.waiting.remove(&id) else {
            return;
        };
        let stats = &self.proxies[waiting.proxy].1;
        let next = waiting.request.on_wake_up(now, &self.view, stats);
        self.proceed(now, id, waiting, next);
    }

    fn wake_all_woken(&mut self, now: Duration) {
        loop {
            let woken = std::mem::take(&mut *self.woken.lock().expect("no panic holds it"));
            if woken.is_empty() {
                return;
            }
            for id in woken {
                self.wake(now, id);
            }
        }
    }

    /// What the control plane tells at this moment.
    fn follow_control_plane(&mut self, now: Duration) {
        if self.traffic.view_course == ViewCourse::Stale {
            return;
        }
        if now
            .as_millis()
            .is_multiple_of(CONFIRMATION_INTERVAL.as_millis())
        {
            self.view.confirm(now, Some(now));
        }
        if self.traffic.view_course == ViewCourse::HeartbeatsLost {
            return;
        }
        let mut update = ViewUpdate::default();
        if now == EVACUATION_END {
            update.state = Some(ClusterState {
                revision: 2,
                ..ClusterState::default()
            });
        }
        if now == HEARTBEAT_NEWS || now == COLD_FROM + COLD_FOR {
            let known = &self.view.upstreams["clauses"]["a"];
            update.upstreams.push(Upstream {
                warm: now != HEARTBEAT_NEWS,
                ..Upstream::clone(known)
            });
        }
        if update != ViewUpdate::default() {
            let evacuated_before = self.view.evacuated.clone();
            self.view.apply_update(update, false).expect("it is valid");
            self.view.note_evacuation_ends(now, &evacuated_before);
            self.view.update_senders(now);
        }
    }

    fn handle(&mut self, now: Duration, later: Later) {
        match later {
            Later::Answered { proxy, mut request } => {
                let stats = &self.proxies[proxy].1;
                if self.traffic.reports_load {
                    let slots = self.traffic.profile.slots;
                    let load = Load {
                        running: self.running.min(slots),
                        waiting: self.running.saturating_sub(slots),
                        slots,
                    };
                    request.record_load(now, load);
                }
                request.on_outcome(now, &self.view, stats, CallOutcome::Complete);
                self.running -= 1;
            }
            Later::Checked { proxy, check } => {
                let warm_up_left = match Run::is_cold(now) {
                    true => COLD_FROM + COLD_FOR - now,
                    false => Duration::ZERO,
                };
                let report = Some(HealthReport { warm_up_left });
                let stats = &self.proxies[proxy].1;
                stats.on_health_check(&check, now, report);
            }
            Later::WaitOver(id) => self.wake(now, id),
            Later::Connected { id, mut waiting } => {
                let stats = &self.proxies[waiting.proxy].1;
                let next = waiting.request.on_connected(now, &self.view, stats);
                self.proceed(now, id, waiting, next);
            }
        }
    }

    pub fn play(mut self, seed: u64) -> Run {
        let mut random = Random::new(seed);
        let traffic = self.traffic;
        let others = (traffic.proxies - 1).max(1) as f64;
        let mut now = STEP;
        while now < END {
            while let Some(entry) = self.later.first_entry()
                && entry.key().0 <= now
            {
                let later = entry.remove();
                self.handle(now, later);
                self.wake_all_woken(now);
            }
            self.follow_control_plane(now);
            for proxy in 0..traffic.proxies {
                let share = match proxy {
                    0 => traffic.first_share,
                    _ => (1.0 - traffic.first_share) / others,
                };
                let part = match now < COLD_FROM - RISE {
                    true => traffic.rate_before,
                    false => 1.0,
                };
                if random.below(DRAWS) < draws_per_step(traffic.rate * part * share) {
                    self.request(now, proxy);
                }
            }
            now += STEP;
        }
        self
    }

    /// The most requests within one second while the upstream was cold.
    pub fn most_while_cold(&self) -> usize {
        let cold: Vec<Duration> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| Run::is_cold(*at))
            .collect();
        let within = |at: &Duration| {
            let until = *at + Duration::from_secs(1);
            cold.iter()
                .filter(|other| (*at..until).contains(other))
                .count()
        };
        cold.iter().map(within).max().unwrap_or(0)
    }
}

fn draws_per_step(rate: f64) -> u64 {
    (rate * STEP.as_secs_f64() * DRAWS as f64) as u64
}

/// Each rate at an upstream, from so many proxies, of which the first sends such a part.
pub fn traffics(profile: Profile, rates: &[f64], senders: &[(usize, f64)]) -> Vec<Traffic> {
    let mut traffics = Vec::new();
    for rate in rates.iter().copied() {
        for (proxies, first_share) in senders.iter().copied() {
            for reports_load in [true, false] {
                for (check_latency, rate_before) in [(5, 1.0), (80, 1.0), (5, 0.4)] {
                    traffics.push(Traffic {
                        profile,
                        rate,
                        rate_before,
                        proxies,
                        first_share,
                        reports_load,
                        check_latency: Duration::from_millis(check_latency),
                        max_queue_wait: Duration::ZERO,
                        view_course: ViewCourse::Stale,
                        has_outage: false,
                    });
                }
            }
        }
    }
    traffics
}

/// Plays each traffic; those in which a cold upstream gets more than it bears.
pub fn overruns(traffics: Vec<Traffic>) -> Vec<String> {
    let mut overruns = Vec::new();
    for traffic in traffics {
        let most: Vec<usize> = (0..SEEDS)
            .map(|seed| Run::new(traffic).play(seed).most_while_cold())
            .collect();
        let bound = traffic.profile.most_in_a_second();
        if most.iter().any(|most| *most as f64 > bound) {
            overruns.push(format!("{traffic:?}: {most:?}"));
        }
    }
    overruns
}
