//! States are sent as a difference to those that receivers have: once to each, in full to those that need it, and never a
//! wrong one.

#[allow(dead_code, reason = "each file of tests uses a part of it")]
mod cluster;

use cluster::{Cluster, VOTERS, name};
use protocol::{Message, Payload, Prepare, Promise, Read};
use quorum_register::{Change, Event};
use std::time::Duration;

const CHANGES: usize = 30;
/// The node that runs an earlier version.
const EARLIER: usize = 2;

/// What becomes of a message from one node to another; none where it is lost or not understood.
type Link = fn(usize, usize, Payload) -> Option<Payload>;

fn unchanged(_: usize, _: usize, body: Payload) -> Option<Payload> {
    Some(body)
}

/// A message as a version without differences sends it.
fn as_earlier_version(body: Payload) -> Option<Payload> {
    match body {
        Payload::Prepare(prepare) => Some(Payload::Prepare(Prepare {
            since: None,
            ..prepare
        })),
        Payload::Promise(promise) => Some(Payload::Promise(Promise {
            since: None,
            ..promise
        })),
        Payload::Read(read) => Some(Payload::Read(Read {
            since: None,
            ..read
        })),
        Payload::AcceptDelta(_) | Payload::ChosenDelta(_) => None,
        other => Some(other),
    }
}

/// One node neither sends nor understands differences.
fn one_node_is_earlier(from: usize, to: usize, body: Payload) -> Option<Payload> {
    if from == EARLIER || to == EARLIER {
        as_earlier_version(body)
    } else {
        Some(body)
    }
}

/// Every difference applies to no state of its receiver.
fn corrupt_deltas(_: usize, _: usize, mut body: Payload) -> Option<Payload> {
    let delta = match &mut body {
        Payload::Promise(promise) => promise.delta.as_mut(),
        Payload::AcceptDelta(accept) => Some(&mut accept.delta),
        Payload::ReadBack(reply) => reply.delta.as_mut(),
        Payload::ChosenDelta(chosen) => chosen.delta.as_mut(),
        _ => None,
    };
    if let Some(delta) = delta {
        delta.state.number += 1;
    }
    Some(body)
}

/// Everything arrives, in order, for so many ticks; returns the messages.
fn run(cluster: &mut Cluster, ticks: usize, link: Link) -> Vec<Payload> {
    let mut sent = Vec::new();
    for _ in 0..ticks {
        cluster.now += Duration::from_millis(20);
        cluster.tick_all();
        while !cluster.messages.is_empty() {
            let (from, to, body) = cluster.messages.remove(0);
            sent.push(body.clone());
            let arrived = link(from, to, body);
            if let Some(body) = arrived {
                let from = name(from);
                cluster.step(to, Event::Received { from, body });
            }
            (0..cluster.nodes.len()).for_each(|at| cluster.complete_write(at));
        }
    }
    sent
}

/// A bootstrapped cluster that decided some changes, each through another node, and the messages meanwhile.
fn cluster_with_changes(link: Link) -> (Cluster, Vec<Payload>) {
    let mut cluster = Cluster::blank(VOTERS, 7);
    run(&mut cluster, 60, link);
    let sent = (0..CHANGES)
        .flat_map(|number| submit_change(&mut cluster, number, link))
        .collect();
    (cluster, sent)
}

fn submit_change(cluster: &mut Cluster, number: usize, link: Link) -> Vec<Payload> {
    let change = Change::Evacuate {
        id: format!("change {number}").as_str().into(),
        locality: "north/n1".into(),
        restore: number % 2 == 1,
        confirmed_revision: None,
    };
    cluster.step(
        number % VOTERS,
        Event::Submit {
            request_id: number as u64,
            change,
            bytes: None,
        },
    );
    run(cluster, 20, link)
}

fn assert_all_at(cluster: &Cluster, revision: u64) {
    let states: Vec<_> = cluster
        .nodes
        .iter()
        .map(|node| node.register.state())
        .collect();
    assert!(
        states.iter().all(|state| **state == *states[0]),
        "{}",
        cluster.describe()
    );
    assert_eq!(
        (states[0].revision, states[0].decided),
        (revision, revision),
        "{}",
        cluster.describe()
    );
}

#[test]
fn no_full_state_is_sent_to_a_node_that_has_an_earlier_one() {
    let (mut cluster, _) = cluster_with_changes(unchanged);
    let sent = submit_change(&mut cluster, CHANGES, unchanged);
    let full = sent.iter().filter(|body| match body {
        Payload::Promise(promise) => !promise.accepted.submissions.is_empty(),
        Payload::ReadBack(reply) => reply.accepted.is_some(),
        Payload::Accept(_) | Payload::Chosen(_) => true,
        _ => false,
    });
    assert_eq!(full.count(), 0);
    let accepts: Vec<usize> = sent
        .iter()
        .filter(|body| matches!(body, Payload::AcceptDelta(_)))
        .map(Payload::encoded_len)
        .collect();
    assert_eq!(accepts.len(), VOTERS - 1);
    let full = cluster.nodes[0].register.state().encoded_len();
    assert!(
        accepts.iter().all(|bytes| *bytes < full / 3),
        "{accepts:?} of {full}"
    );
    assert_all_at(&cluster, CHANGES as u64 + 1);
}

#[test]
fn a_blank_disk_gets_full_states_and_then_differences() {
    let (mut cluster, _) = cluster_with_changes(unchanged);
    cluster.restart_with_blank_disk(0);
    let sent = run(&mut cluster, 200, unchanged);
    assert!(sent.iter().any(
        |body| matches!(body, Payload::Promise(promise) if !promise.accepted.submissions.is_empty())
    ));
    let sent = submit_change(&mut cluster, CHANGES, unchanged);
    assert!(
        !sent
            .iter()
            .any(|body| matches!(body, Payload::Accept(_) | Payload::Chosen(_)))
    );
    assert_all_at(&cluster, CHANGES as u64 + 1);
}

#[test]
fn a_node_of_an_earlier_version_votes_and_proposes_among_others() {
    let (cluster, sent) = cluster_with_changes(one_node_is_earlier);
    assert_all_at(&cluster, CHANGES as u64);
    assert_eq!(cluster.decided_revision, CHANGES as u64);
    assert!(
        sent.iter()
            .any(|body| matches!(body, Payload::AcceptDelta(_)))
    );
}

#[test]
fn a_full_state_is_requested_where_a_difference_does_not_apply() {
    let (cluster, sent) = cluster_with_changes(corrupt_deltas);
    assert_all_at(&cluster, CHANGES as u64);
    assert_eq!(cluster.decided_revision, CHANGES as u64);
    assert!(
        sent.iter()
            .any(|body| matches!(body, Payload::Accepted(reply) if reply.needs_state))
    );
}

#[test]
fn a_node_that_missed_what_was_chosen_reads_it() {
    // Only three of the five receive proposals.
    fn lose_accepts_to_two(_: usize, to: usize, body: Payload) -> Option<Payload> {
        let lost = matches!(body, Payload::Accept(_) | Payload::AcceptDelta(_)) && to >= 3;
        Some(body).filter(|_| !lost)
    }
    let (mut cluster, _) = cluster_with_changes(lose_accepts_to_two);
    run(&mut cluster, 100, lose_accepts_to_two);
    assert_all_at(&cluster, CHANGES as u64);
}
