//! What happens when, drawn from a seed.

use random::Random;
use std::time::Duration;

/// Steps per second of trouble: the next series begins before the last has settled.
const SERIES_PER_MINUTE: u64 = 20;
/// Cuts last so many times as long as other pauses: longer than upstreams hold keys.
const CUT_FACTOR: u32 = 2;
/// Longest series of one kind.
const MAX_SERIES: u64 = 4;
/// Trouble begins in the first second of the start in one seed of so many.
const EARLY_TROUBLE_IN: u64 = 2;
/// Where trouble doesn't begin at once, the site is left calm for so long.
const CALM_START: Duration = Duration::from_secs(6);

/// A process, by its place among those of its plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// A control node.
    Control(usize),
    /// A data-plane node.
    Data(usize),
}

/// A signal that the soak sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut down gracefully; the process is started again.
    Term,
    /// End at once; the process is started again.
    Kill,
    /// Look at the settings again.
    Hangup,
}

impl Signal {
    /// As `kill` names it.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Term => "TERM",
            Signal::Kill => "KILL",
            Signal::Hangup => "HUP",
        }
    }
}

/// What is cut off from what, on the links between the processes. Clients and upstreams reach all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Half of the machines with control nodes from the other half.
    ControlHalves,
    /// A zone from everything else.
    Zone(usize),
    /// The machine of a control node from everything else.
    ControlMachine(usize),
}

/// What becomes of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStep {
    /// It ends without a word; a cold one takes its place after a while.
    Crash,
    /// It drains and ends; its successor starts first.
    Drain,
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A signal to one process.
    Signal(ProcessId, Signal),
    /// A signal to many processes at the same moment.
    SignalMany(Vec<ProcessId>, Signal),
    /// A process stands still for a while.
    Freeze(ProcessId, Duration),
    /// A control node is killed and loses its disk. At most once a seed: that is what a site must bear.
    Wipe(usize),
    /// Something happens to upstreams, by place among all of them.
    Upstreams(Vec<usize>, UpstreamStep),
    /// A zone is evacuated for a while.
    Evacuate(usize, Duration),
    /// Links are cut for a while.
    Cut(Cut, Duration),
}

/// A step and its moment, from the start of the processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// When it happens.
    pub at: Duration,
    /// What happens.
    pub step: Step,
}

/// How many there are of what steps are about.
#[derive(Clone, Copy, Debug)]
pub struct Population {
    /// Control nodes.
    pub control_nodes: usize,
    /// Data-plane nodes.
    pub data_nodes: usize,
    /// Stand-in upstreams.
    pub upstreams: usize,
    /// Zones.
    pub zones: usize,
}

/// Draws the steps of a seed, in order of time, all within the span.
///
/// ```
/// use testbed::soak::schedule::{Population, draw};
/// use std::time::Duration;
/// let population = Population { control_nodes: 6, data_nodes: 13, upstreams: 41, zones: 6 };
/// let steps = draw(3, &population, Duration::from_secs(30));
/// assert_eq!(steps, draw(3, &population, Duration::from_secs(30)));
/// assert!(!steps.is_empty() && steps.is_sorted_by_key(|step| step.at));
/// ```
pub fn draw(seed: u64, population: &Population, span: Duration) -> Vec<TimedStep> {
    let mut drawing = Drawing {
        random: Random::new(seed),
        population: *population,
        may_wipe: true,
    };
    let begin = match drawing.random.below(EARLY_TROUBLE_IN) {
        0 => Duration::ZERO,
        _ => CALM_START.min(span / 2),
    };
    let room_ms = span.saturating_sub(begin).as_millis() as u64;
    let series = (room_ms * SERIES_PER_MINUTE / 60_000).max(1);
    let mut steps = Vec::new();
    for _ in 0..series {
        let first = begin + Duration::from_millis(drawing.random.below(room_ms));
        steps.extend(drawing.series(first));
    }
    steps.retain(|step| step.at < span);
    steps.sort_by_key(|step| step.at);
    steps
}

/// The state of one drawing.
struct Drawing {
    random: Random,
    population: Population,
    may_wipe: bool,
}

impl Drawing {
    /// Some steps of one kind, one soon after the other.
    fn series(&mut self, first: Duration) -> Vec<TimedStep> {
        let kind = self.random.below(12);
        let count = 1 + self.random.below(MAX_SERIES);
        let gap_ms = 50 + self.random.below(1500);
        let mut at = first;
        let mut steps = Vec::new();
        for _ in 0..count {
            steps.push(TimedStep {
                at,
                step: self.step(kind),
            });
            at += Duration::from_millis(gap_ms);
        }
        steps
    }

    fn step(&mut self, kind: u64) -> Step {
        match kind {
            0 | 1 => Step::Signal(self.process(), Signal::Term),
            2 => Step::Signal(self.process(), Signal::Kill),
            3 => Step::Signal(self.process(), Signal::Hangup),
            4 => Step::Freeze(self.process(), self.pause()),
            5 => self.herd(),
            6 if std::mem::take(&mut self.may_wipe) => {
                Step::Wipe(self.below(self.population.control_nodes))
            }
            6 => self.control_herd(),
            7 => Step::Upstreams(self.some_upstreams(), UpstreamStep::Crash),
            8 => Step::Upstreams(self.some_upstreams(), UpstreamStep::Drain),
            9 => Step::Evacuate(self.below(self.population.zones), self.pause()),
            _ => Step::Cut(self.cut(), self.pause() * CUT_FACTOR),
        }
    }

    fn cut(&mut self) -> Cut {
        match self.below(3) {
            0 => Cut::ControlHalves,
            1 => Cut::Zone(self.below(self.population.zones)),
            _ => Cut::ControlMachine(self.below(self.population.control_nodes)),
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random.below(bound as u64) as usize
    }

    /// Half a second to three and a half.
    fn pause(&mut self) -> Duration {
        Duration::from_millis(500 + self.random.below(3000))
    }

    /// Either plane is as likely.
    fn process(&mut self) -> ProcessId {
        match self.random.below(2) {
            0 => ProcessId::Control(self.below(self.population.control_nodes)),
            _ => ProcessId::Data(self.below(self.population.data_nodes)),
        }
    }

    fn all(&self) -> impl Iterator<Item = ProcessId> + use<> {
        let control = (0..self.population.control_nodes).map(ProcessId::Control);
        let data = (0..self.population.data_nodes).map(ProcessId::Data);
        control.chain(data)
    }

    /// All processes, or each by lot.
    fn herd(&mut self) -> Step {
        let share = [100, 60, 30][self.below(3)];
        let all: Vec<ProcessId> = self.all().collect();
        let chosen = all
            .into_iter()
            .filter(|_| self.random.below(100) < share)
            .collect();
        let signal = [Signal::Kill, Signal::Kill, Signal::Term][self.below(3)];
        Step::SignalMany(chosen, signal)
    }

    fn control_herd(&mut self) -> Step {
        let control = (0..self.population.control_nodes).map(ProcessId::Control);
        Step::SignalMany(control.collect(), Signal::Kill)
    }

    fn some_upstreams(&mut self) -> Vec<usize> {
        let count = 1 + self.below((self.population.upstreams / 4).max(1));
        (0..count)
            .map(|_| self.below(self.population.upstreams))
            .collect()
    }
}
