//! Numeric keys in ranges, in the simulator: a site whose accounts are numbers, under every fault.

use invariants::observations::Observation;
use random::Random;
use simulator::shapes::LEDGER;
use simulator::{DRAWN_FAULTS, Defects, EXTRA_FAULTS, Fault, Outcome, Plan, Step, World, run};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Runs jobs on all cores; gives what each was seen to do wrong.
fn told(
    jobs: Vec<(Option<String>, u64)>,
    wrong: impl Fn(&Outcome) -> Option<String> + Sync,
) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(4);
    let work = || {
        std::iter::from_fn(|| jobs.get(next.fetch_add(1, Ordering::Relaxed)))
            .filter_map(|(name, seed)| {
                let outcome = run(
                    *seed,
                    name.as_ref().and_then(|name| Plan::named(name, *seed)),
                    LEDGER,
                );
                wrong(&outcome).map(|text| format!("{name:?} seed {seed}: {text}"))
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

/// No rule was broken, all nodes agree, and everything was served before the fault.
fn unlawful(outcome: &Outcome) -> Option<String> {
    let passed =
        outcome.violations.is_empty() && outcome.agreed && outcome.served_per_mille[0] == 1000;
    (!passed).then(|| {
        format!(
            "{:?}, agreed {}, {:?}",
            outcome.violations, outcome.agreed, outcome.served_per_mille
        )
    })
}

#[test]
fn every_fault_alone_breaks_no_rule_where_keys_are_numbers() {
    let jobs = DRAWN_FAULTS
        .iter()
        .chain(EXTRA_FAULTS)
        .map(|(name, _)| (Some((*name).to_owned()), 1));
    assert_eq!(told(jobs.collect(), unlawful), Vec::<String>::new());
}

#[test]
fn drawn_faults_break_no_rule_where_keys_are_numbers() {
    assert_eq!(
        told((1..25).map(|seed| (None, seed)).collect(), unlawful),
        Vec::<String>::new()
    );
}

#[test]
fn a_quiet_site_serves_every_numbered_request() {
    let jobs = (1..7).map(|seed| (Some("quiet".to_owned()), seed));
    let unserved = |outcome: &Outcome| {
        (!outcome.passed() || outcome.served_per_mille != [1000; 3]).then(String::new)
    };
    assert_eq!(told(jobs.collect(), unserved), Vec::<String>::new());
}

/// What the busiest upstream had of all requests with numeric keys late in a quiet run, of 1000; over some seeds.
fn busiest_per_mille(defects: Defects) -> u64 {
    let outcomes =
        (1..7).map(|seed| World::site_with_defects(seed, Plan::quiet(), LEDGER, defects).run());
    let parts = outcomes.map(|outcome| {
        let mut arrived: BTreeMap<String, u64> = BTreeMap::new();
        outcome
            .observations
            .iter()
            .filter(|(at, _)| at.as_secs() >= 24)
            .for_each(|(_, observation)| match observation {
                Observation::RequestArrived {
                    service, instance, ..
                } if service == "account" => {
                    *arrived.entry(instance.clone()).or_default() += 1;
                }
                _ => {}
            });
        arrived.values().max().copied().unwrap_or(0) * 1000 / arrived.values().sum::<u64>().max(1)
    });
    parts.sum::<u64>() / 6
}

/// Six of ten requests lie close together and move on slowly, and one key has a tenth: the division follows what the
/// data-plane nodes count.
#[test]
fn the_division_follows_a_load_that_moves() {
    let counted = busiest_per_mille(Defects::default());
    let drops_key_counts = busiest_per_mille(Defects {
        drops_key_counts: true,
        ..Defects::default()
    });
    assert!(
        counted * 4 / 3 < drops_key_counts,
        "the busiest has {counted} of 1000 requests, and uncounted {drops_key_counts}"
    );
}

/// How long a run of keys that was let go lay without a holder: the longest, with the keys.
fn longest_gap(outcome: &Outcome) -> (Duration, u32) {
    const RUN: u32 = 16;
    let runs = |keys: &Range<u32>| (keys.start.div_ceil(RUN)..keys.end / RUN).collect::<Vec<_>>();
    let mut free: BTreeMap<u32, Duration> = BTreeMap::new();
    let mut longest = (Duration::ZERO, 0);
    outcome
        .observations
        .iter()
        .for_each(|(at, observation)| match observation {
            Observation::KeysReleased { keys, .. } => {
                free.extend(runs(keys).into_iter().map(|run| (run, *at)))
            }
            Observation::KeysHeld { keys, .. } => runs(keys).into_iter().for_each(|run| {
                let gap = free.remove(&run).map(|since| (*at - since, run * RUN));
                longest = longest.max(gap.unwrap_or_default());
            }),
            _ => {}
        });
    longest
}

/// A key that moves is without a holder for one heartbeat of its next owner, half a second, and their ways.
#[test]
fn a_moved_key_has_a_holder_within_a_heartbeat() {
    let jobs = (1..25).map(|seed| (Some("quiet".to_owned()), seed));
    let wrong = |outcome: &Outcome| {
        let (gap, key) = longest_gap(outcome);
        (gap > Duration::from_millis(700))
            .then(|| format!("keys from {key} had no holder for {gap:?}"))
    };
    assert_eq!(told(jobs.collect(), wrong), Vec::<String>::new());
}

/// The holder of the lease is out by less than the bound of a claim, while an upstream is silent.
#[test]
fn a_small_jump_of_the_lease_holders_clock_frees_no_numbered_key_early() {
    let ms = Duration::from_millis;
    let broken = (0..12usize).flat_map(|at| {
        let account = LEDGER.per_service + at;
        let (from, until) = (ms(18_000 + 37 * at as u64), ms(26_000));
        let steps = vec![
            Step {
                at: from,
                until,
                fault: Fault::PauseUpstream(account),
            },
            Step {
                at: from + ms(300),
                until,
                fault: Fault::JumpPlacementHolderClock(ms(450)),
            },
        ];
        run(at as u64 + 1, Some(Plan { steps }), LEDGER).violations
    });
    assert_eq!(broken.collect::<Vec<_>>(), vec![]);
}

/// Two jumps of the lease holder's clock within one hold of a silent upstream, each too small to cost the lease.
fn two_jumps(seed: u64) -> Plan {
    let ms = Duration::from_millis;
    let mut random = Random::new(seed);
    let account = LEDGER.per_service + random.below(LEDGER.per_service as u64) as usize;
    let (from, until) = (ms(18_000 + random.below(500)), ms(26_000));
    let first = from + ms(100 + random.below(500));
    let second = first + ms(200 + random.below(1500));
    let jump = Fault::JumpPlacementHolderClock(ms(450));
    let silent = Step {
        at: from,
        until,
        fault: Fault::PauseUpstream(account),
    };
    let jumps = [first, second].map(|at| Step {
        at,
        until,
        fault: jump.clone(),
    });
    Plan {
        steps: [silent].into_iter().chain(jumps).collect(),
    }
}

#[test]
fn small_jumps_of_the_lease_holders_clock_do_not_add_up() {
    let counting = Defects {
        lease_counts_clock_jumps: true,
        ..Defects::default()
    };
    assert_eq!(
        seeds_that_give_twice(two_jumps, Defects::default()),
        Vec::<u64>::new()
    );
    assert_ne!(
        seeds_that_give_twice(two_jumps, counting),
        Vec::<u64>::new()
    );
}

/// Of 48 seeds, side by side, those in which a world gives a key to two.
fn seeds_that_give_twice(plan: fn(u64) -> Plan, defects: Defects) -> Vec<u64> {
    let next = AtomicUsize::new(1);
    let work = || {
        std::iter::from_fn(|| {
            Some(next.fetch_add(1, Ordering::Relaxed) as u64).filter(|seed| *seed <= 48)
        })
        .filter(|seed| gives_twice_on(plan(*seed), *seed, defects))
        .collect::<Vec<u64>>()
    };
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(4);
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("no run panics"))
            .collect()
    })
}

fn gives_twice_on(plan: Plan, seed: u64, defects: Defects) -> bool {
    let run = World::site_with_defects(seed, plan, LEDGER, defects).run();
    run.violations.iter().any(|violation| violation.rule == 11)
}

/// True where a world that lacks one thing they rest on gives a key to two.
fn gives_twice(plan: impl Fn(u64) -> Plan, defects: Defects) -> bool {
    (1..13).any(|seed| gives_twice_on(plan(seed), seed, defects))
}

#[test]
fn upstreams_that_break_the_contract_are_caught() {
    let (real, named) = (Defects::default(), |plan| {
        move |seed| Plan::named(plan, seed).expect("a known plan")
    });
    let lease_overrun = Defects {
        lease_overrun: Duration::from_secs(5),
        ..real
    };
    assert!(gives_twice(named("pause-unit"), lease_overrun));
    assert!(gives_twice(named("cut-zone"), lease_overrun));
    assert!(gives_twice(
        named("pause-unit"),
        Defects {
            clock_stops_while_suspended: true,
            ..real
        }
    ));
    assert!(gives_twice(
        named("late-answers+move-names"),
        Defects {
            accepts_late_grants: true,
            ..real
        }
    ));
    assert!(!gives_twice(named("late-answers+move-names"), real));
}

/// The plan in which upstreams sign off first, on eight seeds side by side: the rules that were broken.
fn signed_off_first(defects: Defects) -> Vec<u32> {
    let rules_broken = |seed| {
        let plan = Plan::named("sign-off-first", seed).expect("a known plan");
        let outcome = World::site_with_defects(seed, plan, LEDGER, defects).run();
        outcome
            .violations
            .into_iter()
            .map(|violation| violation.rule)
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let running: Vec<_> = (1..9)
            .map(|seed| scope.spawn(move || rules_broken(seed)))
            .collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("no run panics"))
            .collect()
    })
}

#[test]
fn keys_of_an_upstream_that_signed_off_first_have_one_holder() {
    assert_eq!(signed_off_first(Defects::default()), Vec::<u32>::new());
}

#[test]
fn keys_that_are_free_at_a_sign_off_are_caught() {
    let defects = Defects {
        lists_no_keys_after_deregistering: true,
        ..Defects::default()
    };
    let broken = signed_off_first(defects);
    assert!(broken.contains(&11), "{broken:?}");
}
