//! Whatever the network does, with crashes, one lost disk at a time and voters removed for good, also while the voters
//! change: each revision is one state, each epoch one voter set, and nothing that was decided is lost.

mod cluster;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use cluster::{Cluster, VOTERS, name};
use quorum_register::{Change, Event};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const NODES: usize = 8;

#[test]
fn each_revision_is_one_state_and_no_decision_is_lost() {
    let mut decided_in_all = 0;
    (1..50u64).for_each(|number| {
        arbtest(|noise| {
            let mut cluster = Cluster::blank(VOTERS, number);
            while !noise.is_empty() {
                cluster.run_random_action(noise)?;
            }
            // Without faults every node comes to a state from which nothing decided is missing.
            cluster.run_until_settled();
            let revisions: Vec<u64> = cluster
                .nodes
                .iter()
                .map(|node| node.register.state().revision)
                .collect();
            let decided = cluster.decided_revision;
            assert!(
                revisions.iter().all(|revision| *revision >= decided),
                "{revisions:?}, {decided} lost"
            );
            decided_in_all += decided;
            Ok(())
        })
        .seed(number << 32 | 20_000);
    });
    assert!(
        decided_in_all > 200,
        "hardly anything was decided: {decided_in_all}"
    );
}

/// Some node begins a change of the voters, or completes the one under way, by the voter set that it knows.
fn change_voters(
    cluster: &mut Cluster,
    noise: &mut Unstructured,
) -> arbtest::arbitrary::Result<()> {
    let at = noise.int_in_range(0..=NODES - 1)?;
    let voter_set = cluster.nodes[at].register.voter_set().clone();
    let epoch = voter_set.epoch;
    let change = if voter_set.is_joint() {
        Change::CompleteVoters { epoch }
    } else {
        let mut voters: Vec<String> = voter_set.voters.clone();
        if !voters.is_empty() {
            voters.remove(noise.int_in_range(0..=voters.len() - 1)?);
        }
        let added = noise.int_in_range(0..=NODES - 1)?;
        // The number of voters stays: so one lost disk at a time never takes a majority along.
        if cluster.nodes[added].removed || voter_set.contains(&name(added)) {
            return Ok(());
        }
        voters.push(name(added));
        Change::BeginVoters { epoch, voters }
    };
    cluster.step(at, Event::Propose(change));
    Ok(())
}

/// Removes a node for good that votes nowhere any more, as all running nodes know after a while.
fn remove_nonvoter(
    cluster: &mut Cluster,
    noise: &mut Unstructured,
) -> arbtest::arbitrary::Result<()> {
    cluster.run_without_faults(150);
    let at = noise.int_in_range(0..=NODES - 1)?;
    let votes = cluster
        .nodes
        .iter()
        .any(|node| !node.removed && node.register.voter_set().contains(&name(at)));
    let removed = cluster.nodes.iter().filter(|node| node.removed).count();
    if !votes && removed + VOTERS < NODES {
        cluster.nodes[at].removed = true;
    }
    Ok(())
}

#[test]
fn no_decision_is_lost_while_voters_change() {
    let (mut decided_in_all, mut sets) = (0, BTreeSet::new());
    (1..80u64).for_each(|number| {
        arbtest(|noise| {
            let mut cluster = Cluster::blank(NODES, number);
            cluster.run_until_settled();
            cluster.present = NODES;
            while !noise.is_empty() {
                match noise.int_in_range(0..=99u8)? {
                    0..=1 => change_voters(&mut cluster, noise)?,
                    2 => remove_nonvoter(&mut cluster, noise)?,
                    3 => cluster.run_without_faults(noise.int_in_range(0..=20)?),
                    _ => cluster.run_random_action(noise)?,
                }
            }
            cluster.run_until_settled();
            let running = cluster.nodes.iter().filter(|node| !node.removed);
            let states: Vec<_> = running.map(|node| node.register.state()).collect();
            let decided = cluster.decided_revision;
            let phases = cluster.describe();
            assert!(
                states.iter().all(|state| state.revision >= decided),
                "{phases}, {decided} lost"
            );
            assert!(
                states
                    .iter()
                    .all(|state| state.voter_set == states[0].voter_set),
                "{states:?}"
            );
            decided_in_all += decided;
            sets.insert(states[0].voter_set.epoch);
            Ok(())
        })
        .seed(number << 32 | 20_000);
    });
    assert!(
        decided_in_all > 200,
        "hardly anything was decided: {decided_in_all}"
    );
    assert!(
        sets.last().is_some_and(|epoch| *epoch > 6),
        "the voters hardly changed: {sets:?}"
    );
}

/// Replies take longer than the interval between two reads.
#[test]
fn a_state_is_confirmed_over_slow_links() {
    const ONE_WAY: Duration = Duration::from_millis(350);
    let mut cluster = Cluster::blank(VOTERS, 1);
    cluster.run_until_settled();
    let mut in_flight = VecDeque::new();
    let until = cluster.now + Duration::from_secs(6);
    while cluster.now < until {
        cluster.now += Duration::from_millis(20);
        cluster.tick_all();
        (0..VOTERS).for_each(|at| cluster.complete_write(at));
        let sent = std::mem::take(&mut cluster.messages);
        let arrives_at = cluster.now + ONE_WAY;
        in_flight.extend(sent.into_iter().map(|envelope| (arrives_at, envelope)));
        while in_flight.front().is_some_and(|(at, _)| *at <= cluster.now) {
            let (_, (from, to, body)) = in_flight.pop_front().expect("one that arrives");
            cluster.step(
                to,
                Event::Received {
                    from: name(from),
                    body,
                },
            );
        }
    }
    let ages: Vec<_> = cluster
        .nodes
        .iter()
        .map(|node| node.register.confirmation_age(cluster.now))
        .collect();
    let is_fresh =
        |age: &Option<Duration>| age.is_some_and(|age| age < Duration::from_millis(1500));
    assert!(ages.iter().all(is_fresh), "{ages:?}");
}
