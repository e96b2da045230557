//! Whatever the network, crashes, one lost disk at a time and voters gone for good do, also while the voters change: one
//! state for each edition, one voter set for each epoch, and nothing that was accepted is lost.

mod cluster;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use cluster::{Cluster, VOTERS, name};
use quorum_register::{Change, Event};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const NODES: usize = 8;

#[test]
fn one_word_for_each_edition_and_none_is_lost() {
    let mut accepted = 0;
    (1..50u64).for_each(|number| {
        arbtest(|noise| {
            let mut cluster = Cluster::blank(VOTERS, number);
            while !noise.is_empty() {
                cluster.act(noise)?;
            }
            // Whole again: everybody comes to a state that nothing accepted is missing from.
            cluster.recover_from_survivors();
            let revisions: Vec<u64> = cluster
                .nodes
                .iter()
                .map(|node| node.register.state().revision)
                .collect();
            let told = cluster.accepted;
            assert!(
                revisions.iter().all(|revision| *revision >= told),
                "{revisions:?}, {told} lost"
            );
            accepted += told;
            Ok(())
        })
        .seed(number << 32 | 20_000);
    });
    assert!(accepted > 200, "hardly anything was accepted: {accepted}");
}

/// Somebody begins a change to other voters, or completes the one under way; by what it knows, old or new.
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

/// A node that votes nowhere any more, as all that are there know after a while, goes for good.
fn remove_one(cluster: &mut Cluster, noise: &mut Unstructured) -> arbtest::arbitrary::Result<()> {
    cluster.calm(150);
    let at = noise.int_in_range(0..=NODES - 1)?;
    let votes = cluster
        .nodes
        .iter()
        .any(|node| !node.removed && node.register.voter_set().contains(&name(at)));
    let gone = cluster.nodes.iter().filter(|node| node.removed).count();
    if !votes && gone + VOTERS < NODES {
        cluster.nodes[at].removed = true;
    }
    Ok(())
}

#[test]
fn voters_change_and_nothing_is_lost() {
    let (mut accepted, mut sets) = (0, BTreeSet::new());
    (1..80u64).for_each(|number| {
        arbtest(|noise| {
            let mut cluster = Cluster::blank(NODES, number);
            cluster.recover_from_survivors();
            cluster.present = NODES;
            while !noise.is_empty() {
                match noise.int_in_range(0..=99u8)? {
                    0..=1 => change_voters(&mut cluster, noise)?,
                    2 => remove_one(&mut cluster, noise)?,
                    3 => cluster.calm(noise.int_in_range(0..=20)?),
                    _ => cluster.act(noise)?,
                }
            }
            cluster.recover_from_survivors();
            let there = cluster.nodes.iter().filter(|node| !node.removed);
            let states: Vec<_> = there.map(|node| node.register.state()).collect();
            let told = cluster.accepted;
            let phases = cluster.describe();
            assert!(
                states.iter().all(|state| state.revision >= told),
                "{phases}, {told} lost"
            );
            assert!(
                states
                    .iter()
                    .all(|state| state.voter_set == states[0].voter_set),
                "{states:?}"
            );
            accepted += told;
            sets.insert(states[0].voter_set.epoch);
            Ok(())
        })
        .seed(number << 32 | 20_000);
    });
    assert!(accepted > 200, "hardly anything was accepted: {accepted}");
    assert!(
        sets.last().is_some_and(|epoch| *epoch > 6),
        "the voters hardly changed: {sets:?}"
    );
}

/// Answers take longer than the pause between two reads: each read was dropped when the next was sent, and nobody was
/// ever confirmed.
#[test]
fn a_state_is_confirmed_over_slow_links() {
    const ONE_WAY: Duration = Duration::from_millis(350);
    let mut cluster = Cluster::blank(VOTERS, 1);
    cluster.recover_from_survivors();
    let mut on_the_way = VecDeque::new();
    let until = cluster.now + Duration::from_secs(6);
    while cluster.now < until {
        cluster.now += Duration::from_millis(20);
        cluster.tick_all();
        (0..VOTERS).for_each(|at| cluster.sync(at));
        let sent = std::mem::take(&mut cluster.wire);
        let arrives_at = cluster.now + ONE_WAY;
        on_the_way.extend(sent.into_iter().map(|envelope| (arrives_at, envelope)));
        while on_the_way.front().is_some_and(|(at, _)| *at <= cluster.now) {
            let (_, (from, to, body)) = on_the_way.pop_front().expect("one that arrives");
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
        .map(|node| node.register.age(cluster.now))
        .collect();
    let fresh = |age: &Option<Duration>| age.is_some_and(|age| age < Duration::from_millis(1500));
    assert!(ages.iter().all(fresh), "{ages:?}");
}
