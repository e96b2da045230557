//! The fixed set of simulator seeds, and every seed that once showed a failure.

use invariants::observations::Observation;
use simulator::shapes::ROADWISE;
use simulator::{DRAWN_FAULTS, Defects, Fault, Plan, Step, World, run};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Runs jobs on all cores; gives the text of those that were not fine.
fn failures(jobs: Vec<(Option<String>, u64)>) -> Vec<String> {
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
                    ROADWISE,
                );
                let told = format!(
                    "{name:?} seed {seed}: {:?} after {:?}",
                    outcome.violations, outcome.resumed_after
                );
                (!outcome.passed()).then_some(told)
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

#[test]
fn every_fault_alone_breaks_no_rule_and_service_resumes() {
    let jobs = DRAWN_FAULTS
        .iter()
        .flat_map(|(name, _)| (1..4).map(|seed| (Some((*name).to_owned()), seed)));
    assert_eq!(failures(jobs.collect()), Vec::<String>::new());
}

#[test]
fn drawn_faults_break_no_rule_and_service_resumes() {
    assert_eq!(
        failures((1..41).map(|seed| (None, seed)).collect()),
        Vec::<String>::new()
    );
}

/// Read-backs were answered from a word confirmed before they were asked.
#[test]
fn a_read_back_is_never_older_than_what_was_accepted_before_it() {
    assert_eq!(
        failures([222, 265, 365, 368].map(|seed| (None, seed)).to_vec()),
        Vec::<String>::new()
    );
}

/// A heartbeat that was overtaken on its way through a frozen control node was taken for letting go.
#[test]
fn an_superseded_heartbeat_lets_no_key_go() {
    let plans = [
        ("freeze+cut-zone", 4),
        ("freeze+dark-zone", 2),
        ("freeze+evacuate-cut", 2),
    ];
    assert_eq!(
        failures(
            plans
                .map(|(plan, seed)| (Some(plan.to_owned()), seed))
                .to_vec()
        ),
        Vec::<String>::new()
    );
}

/// A restarted control node heard of a gone instance after the one that took over its address, and believed the
/// address was the gone one's: data-plane nodes that followed it missed an upstream for a minute.
#[test]
fn a_gone_instance_takes_no_address_back() {
    let plans = [
        ("dark-zone+rolling-restart", 2),
        ("dark-zone+rolling-restart", 19),
        ("kill-herd+cold-herd", 6),
    ];
    assert_eq!(
        failures(
            plans
                .map(|(plan, seed)| (Some(plan.to_owned()), seed))
                .to_vec()
        ),
        Vec::<String>::new()
    );
}

/// A new, cold instance took the address of a warm one that was gone without a word: proxies that had not heard sent
/// it what the warm one could bear, though its results named another instance.
#[test]
fn a_cold_instance_at_a_known_address_is_not_overrun() {
    let plans = [
        ("cold-all+evacuate-cut", 1),
        ("cold-all+cut-zone", 7),
        ("cold-all+kill-herd", 43),
        ("cold-all+loss", 1),
    ];
    assert_eq!(
        failures(
            plans
                .map(|(plan, seed)| (Some(plan.to_owned()), seed))
                .to_vec()
        ),
        Vec::<String>::new()
    );
}

/// Heartbeats of upstreams long dead lay in a frozen control node, and on waking were told as new registrations: the live
/// tenants of their addresses were given up for good. Found among pairs.
#[test]
fn heartbeats_that_lay_in_a_frozen_control_node_end_nobody() {
    let plans = [
        ("freeze+homes-gone", 3),
        ("rolling-restart+evacuate-cut", 2),
    ];
    assert_eq!(
        failures(
            plans
                .map(|(plan, seed)| (Some(plan.to_owned()), seed))
                .to_vec()
        ),
        Vec::<String>::new()
    );
}

/// A request that had been sent without a known outcome was forwarded when a new revision came, and the next proxy's
/// rejection was passed on.
#[test]
fn what_may_have_run_is_not_forwarded_to_be_denied() {
    assert_eq!(
        failures(vec![(Some("cold-all+evacuate".to_owned()), 10)]),
        Vec::<String>::new()
    );
}

/// The placement holder's clock jumped ahead by less than its claim: keys of an upstream that was silent seemed to
/// have run out, and were given to others while it still held them.
#[test]
fn a_clock_that_jumps_frees_no_key_early() {
    let jobs = (20..36).map(|seed| (Some("pause-unit+jump-placement".to_owned()), seed));
    assert_eq!(failures(jobs.collect()), Vec::<String>::new());
}

/// What a polite end and a placement holder's sudden death cost keyed work, of 1000.
#[test]
fn a_polite_end_and_a_dead_placement_holder_lose_nothing() {
    ["rolling-restart", "kill-placement"]
        .into_iter()
        .for_each(|plan| {
            (1..4).for_each(|seed| {
                let outcome = run(seed, Plan::named(plan, seed), ROADWISE);
                assert_eq!(outcome.served_per_mille, [1000; 3], "{plan} seed {seed}");
            });
        });
}

/// All three regions lose their power at the same moment.
fn blackout() -> Plan {
    let (at, until) = (Duration::from_secs(17), Duration::from_secs(20));
    let step = |region| Step {
        at,
        until,
        fault: Fault::RegionPowerLoss(region),
    };
    Plan {
        steps: (0..3).map(step).collect(),
    }
}

/// The power is lost at each write of a founding, of some submissions, and of a mending: before the write is synced, or
/// right after it was and before anybody heard.
#[test]
fn a_power_cut_at_any_write_loses_nothing() {
    let steps = |synced: bool| {
        (0..10u32).flat_map(move |write| {
            let at = |ms: u64, wiped| {
                let fault = Fault::PowerLossAtWrite {
                    machine: write as usize,
                    write,
                    synced,
                    wiped,
                };
                Step {
                    at: Duration::from_millis(ms),
                    until: Duration::from_millis(ms + 3000),
                    fault,
                }
            };
            [at(0, false), at(17_000, false), at(17_000, true)]
        })
    };
    [false, true].into_iter().flat_map(steps).for_each(|step| {
        let outcome = run(
            5,
            Some(Plan {
                steps: vec![step.clone()],
            }),
            ROADWISE,
        );
        assert_eq!(outcome.violations, vec![], "{step:?}");
        assert!(
            outcome.passed(),
            "{step:?}: served again only after {:?}",
            outcome.resumed_after
        );
    });
}

/// Three of six disks are lost, so nobody can mend; the operators settle what the survivors have.
#[test]
fn a_lost_majority_is_rescued_with_the_last_accepted_configuration() {
    let at = Duration::from_millis(17_000);
    let wiped = |machine| Step {
        at,
        until: at + Duration::from_secs(5),
        fault: Fault::WipeMachine(machine),
    };
    (1..9).for_each(|seed| {
        let outcome = run(
            seed,
            Some(Plan {
                steps: (0..3).map(wiped).collect(),
            }),
            ROADWISE,
        );
        assert!(
            outcome.passed(),
            "seed {seed}: {:?} after {:?}",
            outcome.violations,
            outcome.resumed_after
        );
        let digests = |at: &dyn Fn(&Observation) -> Option<String>| {
            outcome
                .observations
                .iter()
                .filter_map(|(_, observation)| at(observation))
                .last()
        };
        let accepted = digests(&|observation| match observation {
            Observation::ConfigurationAccepted { digest, .. } => Some(digest.clone()),
            _ => None,
        });
        let back = digests(&|observation| match observation {
            Observation::ConfigurationRead {
                digest, revision, ..
            } if *revision > 1000 => Some(digest.clone()),
            _ => None,
        });
        assert!(
            back.is_some() && back == accepted,
            "seed {seed}: {back:?}, accepted {accepted:?}"
        );
    });
}

#[test]
fn what_was_accepted_survives_a_blackout() {
    (1..9).for_each(|seed| {
        let outcome = run(seed, Some(blackout()), ROADWISE);
        assert_eq!(outcome.violations, vec![], "seed {seed}");
        assert!(
            outcome.passed(),
            "seed {seed}: served again only after {:?}",
            outcome.resumed_after
        );
    });
}

/// Setups were thinned out by the age of their files: in a storm the bytes of the accepted state went on all disks, and
/// after a restart nobody had anything in force.
#[test]
fn a_long_storm_and_a_restart_of_all_lose_nothing() {
    assert_eq!(
        failures(
            (1..5)
                .map(|seed| (Some("long-storm".to_owned()), seed))
                .collect()
        ),
        Vec::<String>::new()
    );
}

/// The same world with disks that thin out by themselves: nothing is served any more, and the test above sees it.
#[test]
fn disks_that_thin_out_by_themselves_are_caught() {
    let plan = Plan::named("long-storm", 1).expect("a known plan");
    let outcome = World::with_defects(
        1,
        plan,
        Defects {
            deletes_newest_configurations: true,
            ..Defects::default()
        },
    )
    .run();
    assert!(
        !outcome.passed(),
        "served again after {:?}",
        outcome.resumed_after
    );
}

/// Rules broken by a world that lacks one thing they rest on, over a few seeds.
fn broken_by(plan: &str, defects: Defects) -> Vec<u32> {
    let plan = |seed| {
        if plan == "blackout" {
            blackout()
        } else {
            Plan::named(plan, seed).expect("a known plan")
        }
    };
    let runs = (1..7).map(|seed| World::with_defects(seed, plan(seed), defects).run());
    let mut broken: Vec<u32> = runs
        .flat_map(|run| run.violations.into_iter().map(|v| v.rule))
        .collect();
    broken.sort_unstable();
    broken.dedup();
    broken
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn a_system_that_is_broken_on_purpose_is_caught() {
    let long = Duration::from_secs(60);
    let cases = [
        (
            "garble+lose-answers",
            Defects {
                trusts_any_response: true,
                ..Defects::default()
            },
            vec![1, 2, 3],
        ),
        (
            "quiet",
            Defects {
                lifetime: Duration::from_secs(7),
                ..Defects::default()
            },
            vec![4],
        ),
        (
            "evacuate-cut",
            Defects {
                stale_after: long,
                ..Defects::default()
            },
            vec![6, 7],
        ),
        (
            "cut-zone+setup-storm",
            Defects {
                stale_after: long,
                revisions_unobserved: true,
                ..Defects::default()
            },
            vec![7],
        ),
        (
            "release",
            Defects {
                drains_unannounced: true,
                ..Defects::default()
            },
            vec![5],
        ),
        (
            "quiet",
            Defects {
                omits_home_regions: true,
                ..Defects::default()
            },
            vec![12],
        ),
        (
            "blackout",
            Defects {
                disks_lose_synced_writes: true,
                ..Defects::default()
            },
            vec![8],
        ),
        (
            "ambush-leave",
            Defects {
                skips_check_after_connect: true,
                ..Defects::default()
            },
            vec![5],
        ),
        (
            "ambush-evacuate",
            Defects {
                skips_check_after_connect: true,
                ..Defects::default()
            },
            vec![6],
        ),
        (
            "ambush-leave",
            Defects {
                clock_stops_while_suspended: true,
                ..Defects::default()
            },
            vec![5],
        ),
        (
            "ambush-evacuate",
            Defects {
                clock_stops_while_suspended: true,
                ..Defects::default()
            },
            vec![6],
        ),
        (
            "pause-unit",
            Defects {
                clock_stops_while_suspended: true,
                ..Defects::default()
            },
            vec![11],
        ),
        (
            "bad-release",
            Defects {
                unlimited_retry_budget: true,
                ..Defects::default()
            },
            vec![9],
        ),
        (
            "cold-all",
            Defects {
                ignores_warm_up: true,
                ..Defects::default()
            },
            vec![10],
        ),
        (
            "pause-unit",
            Defects {
                lease_overrun: long,
                ..Defects::default()
            },
            vec![11],
        ),
    ];
    let missed = cases.into_iter().filter_map(|(plan, defects, rules)| {
        let broken = broken_by(plan, defects);
        let told = format!("{plan}: {rules:?} expected, {broken:?} seen");
        (!rules.iter().all(|rule| broken.contains(rule))).then_some(told)
    });
    assert_eq!(missed.collect::<Vec<_>>(), Vec::<String>::new());
}
