//! Operators whose answers are lost and whose orders come late, doubled, by the hundred and under one number: what they
//! are told must look as if each order had been done once, at one moment.

use invariants::history::CommandResult;
use invariants::observations::Observation;
use result_code::ResultCode;
use simulator::shapes::ROADWISE;
use simulator::{Defects, Outcome, Plan, World, run};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};

const ORDER_FAULTS: [&str; 7] = [
    "lost-acks",
    "late-orders",
    "order-storm",
    "old-orders",
    "equal-numbers",
    "late-evacuation",
    "frozen-evacuation",
];

/// Runs jobs on all cores; gives what was wrong with each.
fn wrong(jobs: Vec<(String, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(4);
    let work = || {
        std::iter::from_fn(|| jobs.get(next.fetch_add(1, Ordering::Relaxed)))
            .filter_map(|(name, seed)| {
                let plan = Plan::named(name, *seed).expect("a known plan");
                unlawful(&run(*seed, Some(plan), ROADWISE))
                    .map(|text| format!("{name} seed {seed}: {text}"))
            })
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("no run panics"))
            .collect()
    })
}

fn unlawful(outcome: &Outcome) -> Option<String> {
    let passed = outcome.violations.is_empty() && outcome.agreed;
    (!passed).then(|| format!("{:?}, agreed {}", outcome.violations, outcome.agreed))
}

fn seeds(
    plans: impl IntoIterator<Item = String>,
    seeds: std::ops::Range<u64>,
) -> Vec<(String, u64)> {
    plans
        .into_iter()
        .flat_map(|plan| seeds.clone().map(move |seed| (plan.clone(), seed)))
        .collect()
}

#[test]
fn orders_that_go_wrong_are_done_once_and_in_order() {
    assert_eq!(
        wrong(seeds(ORDER_FAULTS.map(str::to_owned), 1..5)),
        Vec::<String>::new()
    );
}

#[test]
fn two_kinds_of_orders_that_go_wrong_at_once_are_done_once_and_in_order() {
    let pairs = ORDER_FAULTS.iter().enumerate().flat_map(|(at, first)| {
        ORDER_FAULTS[at + 1..]
            .iter()
            .map(move |second| format!("{first}+{second}"))
    });
    assert_eq!(wrong(seeds(pairs, 1..2)), Vec::<String>::new());
}

#[test]
fn orders_that_go_wrong_while_machines_do_are_done_once_and_in_order() {
    let machines = [
        "kill-herd",
        "cut-zone",
        "cut-machine",
        "mute",
        "freeze",
        "restart-postmasters",
        "wipe-machine",
    ];
    let pairs = ORDER_FAULTS.iter().flat_map(|orders| {
        machines
            .iter()
            .map(move |fault| format!("{orders}+{fault}"))
    });
    assert_eq!(wrong(seeds(pairs, 1..2)), Vec::<String>::new());
}

/// Many processes go at once, by a kill or by a loss of power, while orders go wrong: what is read afterwards, again and
/// again and at any node, is never older than what was acknowledged, and whole.
#[test]
fn reads_after_many_processes_went_at_once_are_whole_and_never_older() {
    let herds = [
        "restart-postmasters",
        "kill-herd",
        "dark-region",
        "dark-zone",
        "power-at-write",
    ];
    let pairs = ["lost-acks", "order-storm", "long-storm"]
        .iter()
        .flat_map(|orders| herds.iter().map(move |herd| format!("{orders}+{herd}")));
    assert_eq!(wrong(seeds(pairs, 21..23)), Vec::<String>::new());
    let outcome = run(
        21,
        Plan::named("order-storm+restart-postmasters", 21),
        ROADWISE,
    );
    let is_late_read = |(at, observation): &&(std::time::Duration, Observation)| {
        *at > outcome.healed_at && matches!(observation, Observation::ConfigurationRead { .. })
    };
    let late_reads = outcome.observations.iter().filter(is_late_read).count();
    assert!(late_reads > 10, "{late_reads} reads after the end");
}

/// How many answers with this code operators got in a run, and how many came to orders that had been answered before.
fn answers(plan: &str, code: ResultCode) -> (usize, usize) {
    answers_on(1, plan, code)
}

/// The same of four seeds together, side by side.
fn answers_on_four_seeds(plan: &'static str, code: ResultCode) -> (usize, usize) {
    std::thread::scope(|scope| {
        let running: Vec<_> = (1..5)
            .map(|seed| scope.spawn(move || answers_on(seed, plan, code)))
            .collect();
        let counts = running
            .into_iter()
            .map(|thread| thread.join().expect("no run panics"));
        counts.fold((0, 0), |(first, again), (more_first, more_again)| {
            (first + more_first, again + more_again)
        })
    })
}

fn answers_on(seed: u64, plan: &str, code: ResultCode) -> (usize, usize) {
    let outcome = run(seed, Plan::named(plan, seed), ROADWISE);
    let mut known = BTreeSet::new();
    let told = outcome
        .observations
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::CommandReturned {
                call,
                reply: CommandResult::Decided { code: told, .. },
            } if *told == code => Some(call.clone()),
            _ => None,
        });
    let (first, again): (Vec<_>, Vec<_>) = told.partition(|call| known.insert(call.clone()));
    (first.len(), again.len())
}

#[test]
fn orders_do_go_wrong_in_these_plans() {
    assert!(
        answers("order-storm", ResultCode::Success).0 >= 100,
        "{:?}",
        answers("order-storm", ResultCode::Success)
    );
    numbers_are_raced_for();
    assert!(
        answers("old-orders", ResultCode::Success).1 >= 20,
        "{:?}",
        answers("old-orders", ResultCode::Success)
    );
    assert!(
        answers("late-evacuation", ResultCode::Success).1 >= 8,
        "{:?}",
        answers("late-evacuation", ResultCode::Success)
    );
    let late = answers_on_four_seeds("late-orders+order-storm", ResultCode::Success);
    assert!(late.1 >= 4 * 20, "{late:?}");
}

/// Eight numbers, two operators for each: one is confirmed and the other told that the number is taken, or a higher number
/// has overtaken both before either was decided.
fn numbers_are_raced_for() {
    let count = |code| answers("equal-numbers", code).0;
    let (passed, taken, overtaken) = (
        count(ResultCode::Success),
        count(ResultCode::VersionConflict),
        count(ResultCode::Superseded),
    );
    assert_eq!(
        passed,
        1 + taken,
        "the site's first setup is the one besides"
    );
    assert_eq!(
        2 * taken + overtaken,
        16,
        "{taken} taken, {overtaken} overtaken"
    );
    assert!(taken >= 7, "{taken} taken");
}

/// How many of a few seeds break the rule on operators' calls in a weakened world.
fn caught(plan: &str, defects: Defects) -> usize {
    let plan = |seed| Plan::named(plan, seed).expect("a known plan");
    let runs = (1..5).map(|seed| World::with_defects(seed, plan(seed), defects).run());
    runs.filter(|run| run.violations.iter().any(|violation| violation.rule == 13))
        .count()
}

#[test]
fn a_system_that_treats_orders_wrongly_is_caught() {
    let alone = Defects {
        reads_local_disk_only: true,
        ..Defects::default()
    };
    let confirms = Defects {
        confirms_version_conflicts: true,
        ..Defects::default()
    };
    let redoes = Defects {
        reexecutes_commands: true,
        ..Defects::default()
    };
    let cases = [
        (
            "order-storm+cut-zone",
            alone,
            "nodes read back what they hold",
        ),
        (
            "equal-numbers",
            confirms,
            "both are confirmed under one number",
        ),
        (
            "lost-acks+setup-storm",
            redoes,
            "an order sent again is a new one",
        ),
        ("late-evacuation", redoes, "a late begin evacuates anew"),
        (
            "late-orders+setup-storm",
            redoes,
            "a doubled order is done twice",
        ),
    ];
    let missed = cases
        .into_iter()
        .filter(|(plan, defects, _)| caught(plan, *defects) == 0)
        .map(|(plan, _, what)| (plan, what));
    assert_eq!(missed.collect::<Vec<_>>(), Vec::<(&str, &str)>::new());
}
