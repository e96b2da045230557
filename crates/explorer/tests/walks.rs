//! Deep random walks for rosters that are too large to be searched.

use arbtest::arbtest;
use explorer::{
    LeaseBudget, LeaseModel, Model, Order, RegisterBudget, RegisterDefect, RegisterModel, Scenario, Schedule, walk,
};
use std::time::Duration;

/// Bytes of choices for each walk.
const ENTROPY: u64 = 6_000;
const WALKS: u64 = 40;

/// Walks many ways; tells the depth of all together, and the first violation.
fn walk_often<M: Model>(model: &M) -> (usize, Option<String>) {
    let (mut depth, mut found) = (0, None);
    (1..=WALKS).for_each(|number| {
        arbtest(|noise| {
            let walked = walk(model, |count| (!noise.is_empty()).then(|| noise.choose_index(count).ok()).flatten());
            depth += walked.depth;
            found = found.take().or(walked.violating.map(|trace| trace.to_string()));
            Ok(())
        })
        .seed(number << 32 | ENTROPY);
    });
    (depth, found)
}

fn scenario(voters: usize, schedule: Schedule) -> Scenario {
    let everywhere: Vec<usize> = (0..voters).collect();
    let order = |at: usize| match at % 3 {
        0 => Order::setup(&format!("setup-{at}"), None, &everywhere),
        1 => Order::evacuation(&format!("away-{at}"), &format!("north/n{at}"), false, &everywhere),
        _ => Order::setup(&format!("based-{at}"), Some(at as u64), &everywhere),
    };
    let budget = RegisterBudget {
        asks: 30,
        reads: 30,
        ticks: 250,
        duplicates: 40,
        crashes: 10,
        wipes: 3,
        proposals: 12,
        rounds: 60,
    };
    Scenario {
        replicas: 2,
        replacements: vec![(voters - 1, voters), (0, voters + 1), (voters, voters - 1), (voters + 1, 0)],
        proposers: (0..voters + 2).collect(),
        orders: (0..9).map(order).collect(),
        reads_by_itself: true,
        impatient: true,
        schedule,
        budget,
        ..Scenario::new("walk", voters)
    }
}

#[test]
fn walks_of_three_to_five_voters_break_nothing() {
    for voters in [3, 4, 5] {
        for schedule in [Schedule::AnyOrder, Schedule::InOrder { strays: 60 }] {
            let (depth, found) = walk_often(&RegisterModel::new(scenario(voters, schedule)));
            println!("{voters} voters, {schedule:?}: {depth} steps");
            assert_eq!(found, None, "{voters} voters, {schedule:?}");
            assert!(depth > 20_000, "{voters} voters, {schedule:?}: only {depth} steps");
        }
    }
}

#[test]
fn walks_find_a_disk_that_forgets() {
    let scenario = scenario(5, Schedule::InOrder { strays: 60 });
    let (_, found) = walk_often(&RegisterModel::with_defect(scenario, RegisterDefect::DiskForgetsSynced));
    assert!(found.is_some());
}

#[test]
fn walks_of_the_lease_break_nothing() {
    let budget = LeaseBudget { passes: 250, duplicates: 20, crashes: 8, wipes: 4, ..LeaseBudget::default() };
    let orders = [(Schedule::AnyOrder, 0, 120), (Schedule::InOrder { strays: 80 }, 20, 120)];
    for voters in [4, 5] {
        for (schedule, freezes, quantum) in orders {
            let budget = LeaseBudget { schedule, freezes, quantum: Duration::from_millis(quantum), ..budget };
            let (depth, found) = walk_often(&LeaseModel::new(voters, budget));
            println!("{voters} voters, {schedule:?}: {depth} steps");
            assert_eq!(found, None, "{voters} voters, {schedule:?}");
            assert!(depth > 20_000, "{voters} voters, {schedule:?}: only {depth} steps");
        }
    }
}
