//! Deep random walks for rosters that are too large to be searched.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use model_checker::{
    Choice, LeaseBudget, LeaseModel, Model, RegisterBudget, RegisterDefect, RegisterModel,
    RegisterScenario, Replacement, Schedule, Submission, walk,
};
use std::time::Duration;

/// Bytes of choices for each walk.
const ENTROPY: u64 = 8_000;
const WALKS: u64 = 40;

/// Of so many actions, one is drawn from all that are possible.
const UNUSUAL_EVERY: u8 = 12;

fn choose(noise: &mut Unstructured, Choice { count, usual }: Choice) -> Option<usize> {
    if noise.is_empty() {
        return None;
    }
    let unusual = usual == 0 || noise.ratio(1, UNUSUAL_EVERY).ok()?;
    noise.choose_index(if unusual { count } else { usual }).ok()
}

/// What many walks came to.
#[derive(Default)]
struct Walks {
    depth: usize,
    /// What was counted where each ended, added up.
    counted: usize,
    found: Option<String>,
}

fn walk_often<M: Model>(model: &M, count: impl Fn(&M::State) -> usize) -> Walks {
    let mut walks = Walks::default();
    (1..=WALKS).for_each(|number| {
        arbtest(|noise| {
            let random_walk = walk(model, |choice| choose(noise, choice));
            walks.depth += random_walk.depth;
            walks.counted += count(&random_walk.end);
            walks.found = walks
                .found
                .take()
                .or(random_walk.counterexample.map(|trace| trace.to_string()));
            Ok(())
        })
        .seed(number << 32 | ENTROPY);
    });
    walks
}

fn scenario(voters: usize, schedule: Schedule) -> RegisterScenario {
    let everywhere: Vec<usize> = (0..voters).collect();
    let submission = |at: usize| match at % 3 {
        0 => Submission::configuration(&format!("setup-{at}"), None, &everywhere),
        1 => Submission::evacuation(
            &format!("away-{at}"),
            &format!("north/n{at}"),
            false,
            &everywhere,
        ),
        _ => Submission::configuration(&format!("based-{at}"), Some(at as u64), &everywhere),
    };
    let budget = RegisterBudget {
        submissions: 30,
        reads: 30,
        ticks: 250,
        duplicates: 40,
        crashes: 10,
        wipes: 3,
        proposals: 12,
        rounds: 60,
    };
    RegisterScenario {
        replicas: 2,
        replacements: vec![
            Replacement::new(voters - 1, voters),
            Replacement::new(0, voters + 1),
            Replacement::new(voters, voters - 1),
            Replacement::new(voters + 1, 0),
        ],
        proposers: (0..voters + 2).collect(),
        submissions: (0..9).map(submission).collect(),
        background_reads: true,
        short_submission_timeout: true,
        schedule,
        budget,
        ..RegisterScenario::new("walk", voters)
    }
}

#[test]
fn walks_of_three_to_five_voters_break_nothing() {
    for voters in [3, 4, 5] {
        for schedule in [Schedule::AnyOrder, Schedule::InOrder { delays: 60 }] {
            let model = RegisterModel::new(scenario(voters, schedule));
            let Walks {
                depth,
                counted,
                found,
            } = walk_often(&model, |end| model.accepted_submissions(end));
            println!("{voters} voters, {schedule:?}: {depth} steps, {counted} orders accepted");
            assert_eq!(found, None, "{voters} voters, {schedule:?}");
            assert!(
                depth > 20_000,
                "{voters} voters, {schedule:?}: only {depth} steps"
            );
            assert!(
                counted > 20,
                "{voters} voters, {schedule:?}: only {counted} orders were accepted"
            );
            let voter_replaced = walk_often(&model, |end| model.voter_epoch(end) as usize).counted;
            println!(
                "{voters} voters, {schedule:?}: {voter_replaced} steps of changes of the voters"
            );
        }
    }
}

#[test]
fn walks_find_broken_twins() {
    let twins = [
        (RegisterDefect::AcknowledgesBeforeSync, Schedule::AnyOrder),
        (
            RegisterDefect::ReadsWithoutQuorum,
            Schedule::InOrder { delays: 60 },
        ),
    ];
    for (defect, schedule) in twins {
        let model = RegisterModel::with_defect(scenario(5, schedule), defect);
        let Walks { depth, found, .. } = walk_often(&model, |_| 0);
        println!("{defect:?}: {depth} steps, {}", found.is_some());
        assert!(found.is_some(), "{defect:?} was not found in {depth} steps");
    }
}

#[test]
fn walks_of_the_lease_break_nothing() {
    let budget = LeaseBudget {
        passes: 250,
        duplicates: 20,
        crashes: 8,
        wipes: 4,
        ..LeaseBudget::default()
    };
    let submissions = [
        (Schedule::AnyOrder, 0, 120),
        (Schedule::InOrder { delays: 80 }, 20, 120),
    ];
    for voters in [4, 5] {
        for (schedule, freezes, quantum) in submissions {
            let budget = LeaseBudget {
                schedule,
                freezes,
                quantum: Duration::from_millis(quantum),
                ..budget
            };
            let model = LeaseModel::new(voters, budget);
            let Walks {
                depth,
                counted,
                found,
            } = walk_often(&model, |end| model.last_epoch(end) as usize);
            println!("{voters} voters, {schedule:?}: {depth} steps, {counted} epochs");
            assert_eq!(found, None, "{voters} voters, {schedule:?}");
            assert!(
                depth > 20_000,
                "{voters} voters, {schedule:?}: only {depth} steps"
            );
            assert!(
                counted > 100,
                "{voters} voters, {schedule:?}: only {counted} epochs"
            );
        }
    }
}
