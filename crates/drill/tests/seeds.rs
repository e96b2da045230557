//! The fixed set of simulator seeds, and every seed that once showed a failure.

use drill::sim::{FAULTS, Plan, run};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs jobs on all cores; gives the text of those that were not fine.
fn failures(jobs: Vec<(Option<String>, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map(usize::from).unwrap_or(4);
    let work = || {
        std::iter::from_fn(|| jobs.get(next.fetch_add(1, Ordering::Relaxed)))
            .filter_map(|(name, seed)| {
                let outcome = run(*seed, name.as_ref().and_then(|name| Plan::named(name, *seed)));
                let told = format!("{name:?} seed {seed}: {:?} after {:?}", outcome.violations, outcome.resumedAfter);
                (!outcome.fine()).then_some(told)
            })
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        running.into_iter().flat_map(|thread| thread.join().expect("no run panics")).collect()
    })
}

#[test]
fn every_fault_alone_breaks_no_rule_and_service_resumes() {
    let jobs = FAULTS.iter().flat_map(|(name, _)| (1..4).map(|seed| (Some((*name).to_owned()), seed)));
    assert_eq!(failures(jobs.collect()), Vec::<String>::new());
}

#[test]
fn drawn_faults_break_no_rule_and_service_resumes() {
    assert_eq!(failures((1..41).map(|seed| (None, seed)).collect()), Vec::<String>::new());
}

/// Read-backs were answered from a word confirmed before they were asked.
#[test]
fn a_read_back_is_never_older_than_what_was_accepted_before_it() {
    assert_eq!(failures([222, 265, 365, 368].map(|seed| (None, seed)).to_vec()), Vec::<String>::new());
}

/// A beat that was overtaken on its way through a frozen postmaster was taken for letting go.
#[test]
fn an_overtaken_beat_lets_no_key_go() {
    let plans = [("freeze+cut-zone", 4), ("freeze+dark-zone", 2), ("freeze+evacuate-cut", 2)];
    assert_eq!(failures(plans.map(|(plan, seed)| (Some(plan.to_owned()), seed)).to_vec()), Vec::<String>::new());
}
