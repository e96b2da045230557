//! Runs of the simulator over many seeds, several at a time.

use crate::shapes::Shape;
use crate::{Outcome, Plan, fault_names, run as run_seed};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Which seeds to run, and how.
pub struct Sim {
    /// The first seed.
    pub from: u64,
    /// The seed after the last.
    pub until: u64,
    /// The plan by name; `each` and `pairs` stand for many. Without it each seed draws its own.
    pub plan: Option<String>,
    /// Also prints the observations whose text holds this.
    pub show: Option<String>,
    /// The site.
    pub shape: Shape,
}

/// Complains of a plan that does not exist.
pub fn check(sim: &Sim) -> Result<(), String> {
    plans(sim).iter().flatten().try_for_each(|name| {
        let known = fault_names().collect::<Vec<_>>().join(", ");
        Plan::named(name, 1).map(drop).ok_or(format!(
            "--plan '{name}': each, pairs, quiet, or one or two of {known}"
        ))
    })
}

fn plans(sim: &Sim) -> Vec<Option<String>> {
    let names = || fault_names().map(str::to_owned);
    match sim.plan.as_deref() {
        None => vec![None],
        Some("each") => names().map(Some).collect(),
        Some("pairs") => {
            let pair = |(at, first): (usize, String)| {
                fault_names()
                    .skip(at)
                    .map(move |second| Some(format!("{first}+{second}")))
                    .collect::<Vec<_>>()
            };
            names().enumerate().flat_map(pair).collect()
        }
        Some(name) => vec![Some(name.to_owned())],
    }
}

/// Runs them all and prints what they came to; true where every one was fine.
pub fn run(sim: &Sim) -> bool {
    let jobs: Vec<(Option<String>, u64)> = plans(sim)
        .into_iter()
        .flat_map(|plan| (sim.from..sim.until).map(move |seed| (plan.clone(), seed)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(4);
    std::thread::scope(|scope| {
        (0..threads).for_each(|_| {
            scope.spawn(|| {
                while let Some((name, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let plan = name.as_ref().and_then(|name| Plan::named(name, *seed));
                    let outcome = run_seed(*seed, plan, sim.shape.clone());
                    if let Some(show) = &sim.show {
                        show_facts(&outcome, show);
                    }
                    let summary = RunSummary::from((name.clone(), outcome));
                    done.lock()
                        .unwrap_or_else(|poisoned| poisoned.into_inner())
                        .push(summary);
                }
            });
        });
    });
    let mut done = done
        .into_inner()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    done.sort_by(|a, b| (&a.name, a.seed).cmp(&(&b.name, b.seed)));
    tell(&done)
}

struct RunSummary {
    name: String,
    seed: u64,
    passed: bool,
    text: String,
    violations: usize,
    resumed_ms: u64,
    served_per_mille: [u64; 3],
    works: usize,
    messages: u64,
    /// Of the voters that went for good, how many, and after how many ms each was replaced.
    losses: usize,
    replaced_ms: Vec<u64>,
    digest: String,
}

impl From<(Option<String>, Outcome)> for RunSummary {
    fn from((name, outcome): (Option<String>, Outcome)) -> RunSummary {
        let plan = name
            .as_ref()
            .map(|name| format!(" --plan {name}"))
            .unwrap_or_default();
        let seed = outcome.seed;
        let faults: Vec<String> = outcome
            .plan
            .steps
            .iter()
            .take(3)
            .map(|step| format!("{:?}", step.fault))
            .collect();
        let mut text = format!(
            "test-harness sim --seeds {seed}..{}{plan}   ({})",
            seed + 1,
            faults.join(", ")
        );
        outcome
            .violations
            .iter()
            .take(4)
            .for_each(|v| text += &format!("\n    rule {} at {:?}: {}", v.rule, v.at, v.text));
        if !outcome.passed() && outcome.violations.is_empty() {
            let (healed, again) = (outcome.healed_at, outcome.resumed_after);
            text += &format!(
                "\n    healed at {healed:?}, served again after {again:?}, {:?} ‰",
                outcome.served_per_mille
            );
            let late = outcome
                .ended
                .iter()
                .filter(|ended| ended.code != 1000 && ended.at > healed)
                .rev()
                .take(5);
            late.for_each(|ended| text += &format!("\n    {ended:?}"));
        }
        RunSummary {
            name: name.unwrap_or_else(|| "drawn".into()),
            seed,
            passed: outcome.passed(),
            text,
            violations: outcome.violations.len(),
            resumed_ms: outcome.resumed_after.as_millis() as u64,
            served_per_mille: outcome.served_per_mille,
            works: outcome.ended.len(),
            messages: outcome.messages,
            losses: outcome.losses.len(),
            replaced_ms: replaced_ms(&outcome),
            digest: outcome.digest,
        }
    }
}

fn replaced_ms(outcome: &Outcome) -> Vec<u64> {
    let took =
        |loss: &crate::VoterLoss| Some((loss.replaced_at? - loss.lost_at).as_millis() as u64);
    outcome.losses.iter().filter_map(took).collect()
}

fn show_facts(outcome: &Outcome, show: &str) {
    outcome.observations.iter().for_each(|(at, observation)| {
        let text = format!("{observation:?}");
        if text.contains(show) {
            println!("{at:?} {text}");
        }
    });
}

/// How long voters that went for good went on counting.
fn tell_replacements(done: &[RunSummary]) {
    let losses: usize = done.iter().map(|summary| summary.losses).sum();
    let mut took: Vec<u64> = done
        .iter()
        .flat_map(|summary| summary.replaced_ms.iter().copied())
        .collect();
    took.sort_unstable();
    if let (Some(median), Some(most)) = (took.get(took.len() / 2), took.last()) {
        println!(
            "{losses} voters lost for good, {} replaced, ms p50/most {median} / {most}",
            took.len()
        );
    }
}

fn tell(done: &[RunSummary]) -> bool {
    done.iter()
        .filter(|summary| !summary.passed)
        .take(40)
        .for_each(|summary| println!("FAILED {}", summary.text));
    let mut groups: BTreeMap<&str, Vec<&RunSummary>> = BTreeMap::new();
    done.iter()
        .for_each(|summary| groups.entry(&summary.name).or_default().push(summary));
    println!(
        "{:<34} {:>5} {:>6} {:>5}  {:>20}  {:>22}",
        "plan", "seeds", "failed", "viol.", "resumed ms p50/most", "least ‰ before/in/after"
    );
    groups.into_iter().for_each(|(name, summary)| {
        let sorted = |value: fn(&RunSummary) -> u64| {
            let mut all: Vec<u64> = summary.iter().map(|summary| value(summary)).collect();
            all.sort_unstable();
            all
        };
        let resumed = sorted(|summary| summary.resumed_ms);
        let least = |part: usize| {
            summary
                .iter()
                .map(|summary| summary.served_per_mille[part])
                .min()
                .unwrap_or(0)
        };
        let failed = summary.iter().filter(|summary| !summary.passed).count();
        let violations: usize = summary.iter().map(|summary| summary.violations).sum();
        println!(
            "{name:<34} {:>5} {failed:>6} {violations:>5}  {:>10} / {:>7}  {:>8} / {:>4} / {:>4}",
            summary.len(),
            resumed[resumed.len() / 2],
            resumed[resumed.len() - 1],
            least(0),
            least(1),
            least(2),
        );
    });
    tell_replacements(done);
    let digests: String = done.iter().map(|summary| summary.digest.as_str()).collect();
    let (works, messages): (usize, u64) = (
        done.iter().map(|t| t.works).sum(),
        done.iter().map(|t| t.messages).sum(),
    );
    let failed = done.iter().filter(|summary| !summary.passed).count();
    println!(
        "{} runs, {failed} failed; {works} works, {messages} parcels; digest {}",
        done.len(),
        &protocol::digest(digests.as_bytes())[..16]
    );
    failed == 0
}
