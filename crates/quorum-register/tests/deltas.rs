//! States travel as what they add to those that receivers hold: once to each, whole to whoever needs it, and never a
//! wrong one.

#[allow(dead_code, reason = "each file of tests uses a part of it")]
mod cluster;

use cluster::{Cluster, VOTERS, name};
use protocol::{Message, Payload, Prepare, Promise, Read};
use quorum_register::{Change, Event};
use std::time::Duration;

const ORDERS: usize = 30;
/// The node that runs an earlier version.
const EARLIER: usize = 2;

/// What becomes of a message on its way from one node to another; none where it is not understood.
type Way = fn(usize, usize, Payload) -> Option<Payload>;

fn unchanged(_: usize, _: usize, body: Payload) -> Option<Payload> {
    Some(body)
}

/// A message as a version without differences says it.
fn by_earlier_version(body: Payload) -> Option<Payload> {
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

/// One node neither says nor understands anything of differences.
fn one_is_earlier(from: usize, to: usize, body: Payload) -> Option<Payload> {
    if from == EARLIER || to == EARLIER {
        by_earlier_version(body)
    } else {
        Some(body)
    }
}

/// Every difference fits to nothing that its receiver holds.
fn none_fits(_: usize, _: usize, mut body: Payload) -> Option<Payload> {
    let delta = match &mut body {
        Payload::Promise(promise) => promise.delta.as_mut(),
        Payload::AcceptDelta(accept) => Some(&mut accept.delta),
        Payload::ReadBack(back) => back.delta.as_mut(),
        Payload::ChosenDelta(chosen) => chosen.delta.as_mut(),
        _ => None,
    };
    delta.into_iter().for_each(|delta| delta.state.number += 1);
    Some(body)
}

/// Everything arrives, in order, for so many ticks; gives what was said.
fn calm(cluster: &mut Cluster, ticks: usize, way: Way) -> Vec<Payload> {
    let mut said = Vec::new();
    for _ in 0..ticks {
        cluster.now += Duration::from_millis(20);
        cluster.tick_all();
        while !cluster.wire.is_empty() {
            let (from, to, body) = cluster.wire.remove(0);
            said.push(body.clone());
            let arrived = way(from, to, body);
            arrived.into_iter().for_each(|body| {
                cluster.step(
                    to,
                    Event::Received {
                        from: name(from),
                        body,
                    },
                )
            });
            (0..cluster.nodes.len()).for_each(|at| cluster.sync(at));
        }
    }
    said
}

/// A founded cluster that decided some orders, each through another node, and what was said meanwhile.
fn with_orders(way: Way) -> (Cluster, Vec<Payload>) {
    let mut cluster = Cluster::blank(VOTERS, 7);
    calm(&mut cluster, 60, way);
    let said = (0..ORDERS)
        .flat_map(|number| order(&mut cluster, number, way))
        .collect();
    (cluster, said)
}

fn order(cluster: &mut Cluster, number: usize, way: Way) -> Vec<Payload> {
    let change = Change::Evacuate {
        id: format!("order {number}").as_str().into(),
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
    calm(cluster, 20, way)
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
fn a_state_travels_whole_to_nobody_who_holds_an_earlier_one() {
    let (mut cluster, _) = with_orders(unchanged);
    let said = order(&mut cluster, ORDERS, unchanged);
    let whole = said.iter().filter(|body| match body {
        Payload::Promise(promise) => !promise.accepted.submissions.is_empty(),
        Payload::ReadBack(back) => back.accepted.is_some(),
        Payload::Accept(_) | Payload::Chosen(_) => true,
        _ => false,
    });
    assert_eq!(whole.count(), 0);
    let accepts: Vec<usize> = said
        .iter()
        .filter(|body| matches!(body, Payload::AcceptDelta(_)))
        .map(Payload::encoded_len)
        .collect();
    assert_eq!(accepts.len(), VOTERS - 1);
    let whole = cluster.nodes[0].register.state().encoded_len();
    assert!(
        accepts.iter().all(|bytes| *bytes < whole / 3),
        "{accepts:?} of {whole}"
    );
    assert_all_at(&cluster, ORDERS as u64 + 1);
}

#[test]
fn a_blank_disk_is_told_whole_states_and_then_differences() {
    let (mut cluster, _) = with_orders(unchanged);
    cluster.blank_disk(0);
    let said = calm(&mut cluster, 200, unchanged);
    assert!(said.iter().any(
        |body| matches!(body, Payload::Promise(promise) if !promise.accepted.submissions.is_empty())
    ));
    let said = order(&mut cluster, ORDERS, unchanged);
    assert!(
        !said
            .iter()
            .any(|body| matches!(body, Payload::Accept(_) | Payload::Chosen(_)))
    );
    assert_all_at(&cluster, ORDERS as u64 + 1);
}

#[test]
fn a_node_of_an_earlier_version_votes_and_proposes_among_others() {
    let (cluster, said) = with_orders(one_is_earlier);
    assert_all_at(&cluster, ORDERS as u64);
    assert_eq!(cluster.accepted, ORDERS as u64);
    assert!(
        said.iter()
            .any(|body| matches!(body, Payload::AcceptDelta(_)))
    );
}

#[test]
fn differences_that_fit_to_nothing_are_asked_for_whole() {
    let (cluster, said) = with_orders(none_fits);
    assert_all_at(&cluster, ORDERS as u64);
    assert_eq!(cluster.accepted, ORDERS as u64);
    assert!(
        said.iter()
            .any(|body| matches!(body, Payload::Accepted(answer) if answer.wants_state))
    );
}

#[test]
fn a_node_that_missed_what_was_chosen_reads_it() {
    // What is to be accepted comes to three of the five only.
    fn little_arrives(_: usize, to: usize, body: Payload) -> Option<Payload> {
        let lost = matches!(body, Payload::Accept(_) | Payload::AcceptDelta(_)) && to >= 3;
        Some(body).filter(|_| !lost)
    }
    let (mut cluster, _) = with_orders(little_arrives);
    calm(&mut cluster, 100, little_arrives);
    assert_all_at(&cluster, ORDERS as u64);
}
