//! What a control node answers while it is cut off from the others: nothing is confirmed, handed out or acknowledged
//! without contact with a majority since the question came, and the caller hears so at once.

use control_plane::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start};
use name_directory::View;
use protocol::{
    ClusterState, Departure, DurableState, Member, Payload, Probe, ProbeReply, UpdateRequest,
    Upstream, ViewUpdate, VoterSet,
};
use quorum_register::ChangeId;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;
const NODES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// How long a message takes, in milliseconds.
const DELAY: u64 = 10;
const TICK: u64 = 20;
/// A caller that hears nothing for so long goes on to another node.
const SILENCE: u64 = 1000;
/// A data-plane node that follows whomever it is led to.
const DATA_NODE: &str = "carrier";

/// A site of voters in virtual time, with cuts between them.
struct Site {
    now: u64,
    nodes: Vec<ControlNode>,
    /// From which node to which nothing gets through.
    cuts: BTreeSet<(usize, usize)>,
    /// Messages that get lost, beside the cuts.
    loses: fn(usize, usize, &Payload) -> bool,
    queue: VecDeque<(u64, usize, Event)>,
    answers: BTreeMap<u64, (u64, ControlResponse)>,
    next_token: u64,
    /// When each node was started: its clock begins there.
    started: [u64; NODES.len()],
    /// What each disk holds of departures.
    departures: [Vec<Departure>; NODES.len()],
    /// A broken system: control nodes that start again know of no departures of before.
    forgets_departures: bool,
    /// What was sent to [`DATA_NODE`].
    told_data_node: Vec<Payload>,
}

impl Site {
    /// Five voters in contact, one of them with the placement lease.
    fn settled() -> Site {
        let mut site = Site {
            now: 0,
            nodes: NODES.iter().map(|node| control(node, Vec::new())).collect(),
            cuts: BTreeSet::new(),
            loses: |_, _, _| false,
            queue: VecDeque::new(),
            answers: BTreeMap::new(),
            next_token: 0,
            started: [0; NODES.len()],
            departures: Default::default(),
            forgets_departures: false,
            told_data_node: Vec::new(),
        };
        (0..NODES.len()).for_each(|at| site.introduce(at));
        site.run_for(6000);
        site
    }

    fn introduce(&mut self, at: usize) {
        let members = NODES
            .iter()
            .filter(|node| **node != NODES[at])
            .map(|node| member(node))
            .collect();
        let probe = Payload::Probe(Probe {
            members,
            ..Probe::default()
        });
        self.step(
            at,
            Event::Datagram {
                address: NODES[(at + 1) % NODES.len()].into(),
                body: probe,
            },
        );
    }

    fn step(&mut self, at: usize, event: Event) {
        let now = self.local(at);
        let effects = self.nodes[at].step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => self.send(
                at,
                &to,
                |from| Event::Received {
                    from,
                    body: body.clone(),
                },
                &body,
            ),
            Effect::SendDatagram {
                address,
                body: Payload::Probe(probe),
            } => {
                // Everybody is there, whatever is cut: membership is no matter of these tests.
                let heard = ProbeReply {
                    nonce: probe.nonce,
                    node: address.clone(),
                    ..ProbeReply::default()
                };
                self.queue.push_back((
                    self.now + DELAY,
                    at,
                    Event::Datagram {
                        address,
                        body: Payload::ProbeReply(heard),
                    },
                ));
            }
            Effect::Persist { write_id, .. } | Effect::StoreConfiguration { write_id, .. } => {
                self.queue
                    .push_back((self.now + 1, at, Event::WriteCompleted { write_id }));
            }
            Effect::PersistDepartures {
                write_id,
                departures,
            } => {
                self.departures[at] = departures;
                self.queue
                    .push_back((self.now + 1, at, Event::DeparturesPersisted { write_id }));
            }
            Effect::Respond {
                request_id,
                response,
            } => {
                self.answers.insert(request_id, (self.now, response));
            }
            _ => {}
        });
    }

    /// What a node's clock says.
    fn local(&self, at: usize) -> Duration {
        MS(self.now - self.started[at])
    }

    fn send(&mut self, from: usize, to: &str, event: impl Fn(String) -> Event, body: &Payload) {
        if to == DATA_NODE {
            self.told_data_node.push(body.clone());
        }
        let Some(to) = NODES.iter().position(|node| *node == to) else {
            return;
        };
        if !self.cuts.contains(&(from, to)) && !(self.loses)(from, to, body) {
            self.queue
                .push_back((self.now + DELAY, to, event(NODES[from].to_owned())));
        }
    }

    fn run_for(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 1;
            let (due, later): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|(at, ..)| *at <= self.now);
            self.queue = later;
            due.into_iter()
                .for_each(|(_, to, event)| self.step(to, event));
            if self.now.is_multiple_of(TICK) {
                (0..self.nodes.len()).for_each(|at| self.step(at, Event::Tick));
            }
        }
    }

    /// Asks a node; the token of the answer to come.
    fn ask(&mut self, at: usize, request: ControlRequest) -> u64 {
        self.next_token += 1;
        let request_id = self.next_token;
        self.step(
            at,
            Event::ControlRequest {
                request_id,
                request,
            },
        );
        request_id
    }

    /// What a caller hears within its patience.
    fn answer(&mut self, at: usize, request: ControlRequest) -> Option<ControlResponse> {
        let request_id = self.ask(at, request);
        self.run_for(SILENCE);
        self.answers
            .remove(&request_id)
            .map(|(_, response)| response)
    }

    /// What a caller hears at once: before another node could have been asked.
    fn answer_at_once(&mut self, at: usize, request: ControlRequest) -> Option<ControlResponse> {
        let request_id = self.ask(at, request);
        self.run_for(TICK);
        self.answers
            .remove(&request_id)
            .map(|(_, response)| response)
    }

    fn cut_off(&mut self, at: usize, hears: bool, speaks: bool) {
        (0..NODES.len())
            .filter(|other| *other != at)
            .for_each(|other| {
                self.cuts.extend((!speaks).then_some((at, other)));
                self.cuts.extend((!hears).then_some((other, at)));
            });
    }

    fn holder(&self) -> usize {
        let holds = |at: &usize| self.nodes[*at].holds_placement(self.local(*at));
        (0..NODES.len())
            .find(holds)
            .expect("somebody holds the placement lease")
    }

    /// A node that does not hold the placement lease.
    fn bystander(&self) -> usize {
        (self.holder() + 1) % NODES.len()
    }

    /// Splits the nodes into two parts that do not hear each other.
    fn split(&mut self, part: &[usize]) {
        let pairs =
            (0..NODES.len()).flat_map(|one| (0..NODES.len()).map(move |other| (one, other)));
        self.cuts
            .extend(pairs.filter(|(one, other)| part.contains(one) != part.contains(other)));
    }

    /// Kills a process and starts it again at once: its memory and what was on its way to it are gone.
    fn restart(&mut self, at: usize) {
        self.queue.retain(|(_, to, _)| *to != at);
        let kept = if self.forgets_departures {
            Vec::new()
        } else {
            self.departures[at].clone()
        };
        self.nodes[at] = control(NODES[at], kept);
        self.started[at] = self.now;
        self.introduce(at);
    }

    /// Upstreams that take work in the eyes of a data-plane node that knew this one and now asks this node; none where the node
    /// vouches for nothing.
    fn followed(&mut self, at: usize, known: Upstream) -> Option<Vec<String>> {
        self.told_data_node.clear();
        let request = Payload::UpdateRequest(UpdateRequest::default());
        self.step(
            at,
            Event::Received {
                from: DATA_NODE.into(),
                body: request,
            },
        );
        let told = std::mem::take(&mut self.told_data_node);
        let vouched = told
            .iter()
            .any(|body| matches!(body, Payload::Freshness(_)));
        let mut view = View::default();
        let before = ViewUpdate {
            upstreams: vec![known],
            ..ViewUpdate::default()
        };
        view.apply_update(before, true).expect("no setup");
        told.into_iter().for_each(|body| {
            if let Payload::ViewUpdate(update) = body {
                let image = update.number == 0;
                view.apply_update(update, image).expect("no setup");
            }
        });
        let upstreams = view.upstreams.values().flat_map(|service| service.values());
        let at_work =
            upstreams.filter(|upstream| upstream.state() == protocol::UpstreamState::Ready);
        vouched.then(|| at_work.map(|upstream| upstream.instance.clone()).collect())
    }

    /// What a node knows of an instance.
    fn condition(&mut self, at: usize, instance: &str) -> Option<String> {
        let Some(ControlResponse::Json(json)) = self.answer_at_once(at, ControlRequest::Upstreams)
        else {
            return None;
        };
        let config::JsonValue::Array(rows) = json else {
            return None;
        };
        let row = rows
            .iter()
            .find(|row| row.text("instance") == Some(instance))?;
        row.text("condition").map(str::to_owned)
    }
}

fn member(node: &str) -> Member {
    Member {
        node: node.into(),
        locality: format!("north/{node}"),
        roles: "postmaster".into(),
        incarnation: 1,
        probe_address: node.into(),
        link_address: node.into(),
        http_address: format!("{node}:80"),
        ..Member::default()
    }
}

fn control(node: &str, departures: Vec<Departure>) -> ControlNode {
    let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).expect("no flags");
    let initial_voters: Vec<String> = NODES.iter().map(|node| (*node).to_owned()).collect();
    let accepted = ClusterState {
        voter_set: VoterSet::new(initial_voters.clone()),
        ..ClusterState::default()
    };
    ControlNode::new(Start {
        reader: Default::default(),
        owners: Default::default(),
        me: member(node),
        seeds: vec![],
        initial_voter_count: NODES.len(),
        seed: u64::from(node.as_bytes()[0]),
        durable: DurableState {
            disk: 7,
            initial_voters,
            accepted,
            ..DurableState::default()
        },
        configurations: Default::default(),
        departures,
        times: control_plane::daemon::times(&settings),
    })
}

fn heartbeat(number: u64, state: protocol::UpstreamState) -> Upstream {
    Upstream {
        service: "s".into(),
        instance: "u".into(),
        address: "127.0.0.1:9".into(),
        locality: "north/a".into(),
        heartbeat_number: number,
        state: state.into(),
        free_slots: 4,
        ..Upstream::default()
    }
}

fn evacuate(id: &str) -> ControlRequest {
    ControlRequest::Evacuate {
        id: ChangeId::from(id),
        locality: "north/a".into(),
        back: false,
        in_force: false,
    }
}

fn acknowledged(response: &Option<ControlResponse>) -> bool {
    let fine = ResultCode::Success;
    matches!(
        response,
        Some(ControlResponse::Heartbeat { .. } | ControlResponse::Configuration { .. })
    ) || matches!(response, Some(ControlResponse::Outcome { code, .. }) if *code == fine || *code == ResultCode::NoConfiguration)
}

/// Every question whose answer confirms, acknowledges or hands out something.
fn questions(turn: u64) -> Vec<ControlRequest> {
    vec![
        ControlRequest::ReadConfiguration,
        evacuate(&format!("order-{turn}")),
        ControlRequest::Heartbeat(heartbeat(turn + 2, protocol::UpstreamState::Ready)),
        ControlRequest::Heartbeat(Upstream {
            instance: "leaver".into(),
            ..heartbeat(turn + 2, protocol::UpstreamState::Draining)
        }),
        ControlRequest::Deregister {
            instance: "u".into(),
        },
        ControlRequest::Deregister {
            instance: "nobody-knows-it".into(),
        },
        ControlRequest::Upstreams,
        ControlRequest::Reservations,
        ControlRequest::Tombstones,
    ]
}

#[test]
fn in_contact_every_request_is_answered_within_the_clients_timeout() {
    let mut site = Site::settled();
    let at = site.bystander();
    questions(1).into_iter().for_each(|request| {
        let told = format!("{request:?}");
        let response = site.answer(at, request);
        assert!(
            acknowledged(&response) || matches!(response, Some(ControlResponse::Json(_))),
            "{told}: {response:?}"
        );
    });
}

#[test]
fn a_node_out_of_contact_rejects_every_request_at_once() {
    [(false, false), (false, true)]
        .into_iter()
        .for_each(|(hears, speaks)| {
            [true, false].into_iter().for_each(|holder| {
                let mut site = Site::settled();
                site.answer(
                    0,
                    ControlRequest::Heartbeat(heartbeat(1, protocol::UpstreamState::Ready)),
                );
                let at = if holder {
                    site.holder()
                } else {
                    site.bystander()
                };
                site.cut_off(at, hears, speaks);
                site.run_for(2000);
                questions(1).into_iter().for_each(|request| {
                    let told = format!("{request:?}, hears {hears}, speaks {speaks}");
                    let response = site.answer_at_once(at, request);
                    assert!(
                        matches!(
                            response,
                            Some(ControlResponse::Outcome {
                                code: ResultCode::StaleView,
                                ..
                            })
                        ),
                        "{told}: {response:?}"
                    );
                });
            });
        });
}

/// One that still hears who holds the placement lease, which a majority granted, sends callers there.
#[test]
fn a_node_out_of_contact_redirects_to_one_in_contact() {
    let mut site = Site::settled();
    let (holder, at) = (site.holder(), site.bystander());
    site.cut_off(at, true, false);
    site.run_for(2000);
    questions(1).into_iter().for_each(|request| {
        let told = format!("{request:?}");
        let response = site.answer_at_once(at, request);
        let to = format!("{}:80", NODES[holder]);
        assert!(
            matches!(&response, Some(ControlResponse::Redirect { to: told }) if *told == to),
            "{told}: {response:?}"
        );
    });
}

#[test]
fn a_node_that_has_just_lost_contact_confirms_no_change_read_or_departure() {
    [(false, false), (true, false), (false, true)]
        .into_iter()
        .for_each(|(hears, speaks)| {
            let mut site = Site::settled();
            site.answer(
                0,
                ControlRequest::Heartbeat(heartbeat(1, protocol::UpstreamState::Ready)),
            );
            let at = site.bystander();
            site.cut_off(at, hears, speaks);
            let asks = [
                ControlRequest::ReadConfiguration,
                evacuate("order"),
                ControlRequest::Heartbeat(heartbeat(2, protocol::UpstreamState::Draining)),
                ControlRequest::Deregister {
                    instance: "u".into(),
                },
                ControlRequest::Deregister {
                    instance: "nobody-knows-it".into(),
                },
            ];
            let tokens: Vec<(String, u64)> = asks
                .into_iter()
                .map(|request| (format!("{request:?}"), site.ask(at, request)))
                .collect();
            site.run_for(20_000);
            tokens.into_iter().for_each(|(told, request_id)| {
                let response = site
                    .answers
                    .remove(&request_id)
                    .map(|(_, response)| response);
                assert!(
                    response.is_some() && !acknowledged(&response),
                    "{told}: {response:?}"
                );
            });
        });
}

#[test]
fn a_change_under_way_when_contact_is_lost_gets_an_unknown_outcome() {
    let mut site = Site::settled();
    let at = site.bystander();
    site.cut_off(at, false, false);
    let asked_at = site.now;
    let request_id = site.ask(at, evacuate("order"));
    site.run_for(1500);
    let (answered_at, response) = site.answers.remove(&request_id).expect("it is answered");
    assert!(
        answered_at < asked_at + 1300,
        "after {} ms",
        answered_at - asked_at
    );
    assert!(
        matches!(
            response,
            ControlResponse::Outcome {
                code: ResultCode::ChangeOutcomeUnknown,
                ..
            }
        ),
        "{response:?}"
    );
}

/// It speaks but hears nobody: a round that it begins can't end, and would end those of the others.
#[test]
fn a_node_that_nobody_answers_starts_no_rounds() {
    let mut site = Site::settled();
    let at = site.bystander();
    site.cut_off(at, false, true);
    site.run_for(1300);
    let rounds_begun = |site: &mut Site| {
        let effects = site.nodes[at].step(MS(site.now), Event::Tick);
        let begun = |effect: &&Effect| {
            matches!(
                effect,
                Effect::Send {
                    body: Payload::Prepare(_),
                    ..
                }
            )
        };
        effects.iter().filter(begun).count()
    };
    let begun: usize = (0..1000)
        .map(|_| {
            site.now += TICK;
            rounds_begun(&mut site)
        })
        .sum();
    assert_eq!(begun, 0);
}

/// Whatever the length of the cut, the orders of a caller that goes on to the next node come through.
#[test]
fn changes_are_not_lost_while_a_majority_is_alive() {
    let lengths = [500, 1000, 1500, 2500, 5000, 10_000, 20_000, 30_000];
    let ways = [(false, false), (true, false), (false, true)];
    lengths
        .into_iter()
        .flat_map(|length| ways.map(|way| (length, way)))
        .for_each(|(length, (hears, speaks))| {
            let mut site = Site::settled();
            let cut = site.holder();
            site.cut_off(cut, hears, speaks);
            let begun_at = site.now;
            let mut number = 0;
            while site.now < begun_at + length {
                number += 1;
                let (asked_at, mut at, mut hops) = (site.now, cut, 0);
                let taken = loop {
                    let request_id = site.ask(at, evacuate(&format!("order-{number}")));
                    let waited_from = site.now;
                    while !site.answers.contains_key(&request_id)
                        && site.now < waited_from + SILENCE
                    {
                        site.run_for(TICK);
                    }
                    match site
                        .answers
                        .remove(&request_id)
                        .map(|(_, response)| response)
                    {
                        Some(ControlResponse::Outcome {
                            code: ResultCode::Success,
                            ..
                        }) => break site.now - asked_at,
                        Some(ControlResponse::Redirect { to }) if hops < 2 => {
                            hops += 1;
                            at = NODES
                                .iter()
                                .position(|node| to.starts_with(node))
                                .expect("a node");
                        }
                        _ => (at, hops) = ((at + 1) % NODES.len(), 0),
                    }
                    assert!(
                        site.now < asked_at + 4000,
                        "cut of {length} ms, hears {hears}, speaks {speaks}"
                    );
                };
                assert!(taken <= 4000);
                site.run_for(700);
            }
        });
}

/// Whoever becomes current by a question asked after the acknowledgement knows of the leaving, also where what was told
/// of it never got there.
#[test]
fn an_acknowledged_departure_is_known_to_every_current_node() {
    let mut site = Site::settled();
    site.answer(
        0,
        ControlRequest::Heartbeat(heartbeat(1, protocol::UpstreamState::Ready)),
    );
    let other = |at: usize| (at + 1) % NODES.len();
    // What is said of upstreams between two nodes gets lost, both ways; confirmations don't.
    site.loses = |from, to, body| {
        let told = matches!(
            body,
            Payload::Heartbeats(_) | Payload::HeartbeatDigest(_) | Payload::UpstreamsRequest(_)
        );
        told && (from.min(to), from.max(to)) != (1, 2) && (from == 3 || to == 3)
    };
    let at = other(0);
    assert!(acknowledged(&site.answer(
        at,
        ControlRequest::Heartbeat(heartbeat(2, protocol::UpstreamState::Draining))
    )));
    site.run_for(600);
    assert_eq!(site.condition(3, "u").as_deref(), Some("leaving"));
    assert!(acknowledged(&site.answer(
        at,
        ControlRequest::Deregister {
            instance: "u".into()
        }
    )));
    site.run_for(600);
    assert_eq!(site.condition(3, "u").as_deref(), Some("gone"));
}

#[test]
fn a_draining_upstream_is_acknowledged_once_a_majority_knows_and_not_before() {
    let mut site = Site::settled();
    let at = site.bystander();
    // One other voter is reached: two of five are no majority.
    let reached = (at + 1) % NODES.len();
    site.cut_off(at, false, false);
    site.cuts.remove(&(at, reached));
    site.cuts.remove(&(reached, at));
    let response = site.answer(
        at,
        ControlRequest::Heartbeat(heartbeat(2, protocol::UpstreamState::Draining)),
    );
    assert!(
        response.is_some() && !acknowledged(&response),
        "{response:?}"
    );
    // It told whom it could, and that one gets it acknowledged.
    let request_id = site.ask(
        reached,
        ControlRequest::Heartbeat(heartbeat(3, protocol::UpstreamState::Draining)),
    );
    let asked_at = site.now;
    site.run_for(200);
    let (answered_at, response) = site.answers.remove(&request_id).expect("an answer");
    assert!(
        acknowledged(&Some(response)) && answered_at <= asked_at + 3 * DELAY,
        "quick on a calm day"
    );
}

/// The sign-off came to a node that did not know the upstream, and another one still had a heartbeat of it in its sockets.
#[test]
fn a_deregistered_upstream_stays_gone_where_nobody_knew_it() {
    let mut site = Site::settled();
    assert!(acknowledged(&site.answer(
        0,
        ControlRequest::Deregister {
            instance: "u".into()
        }
    )));
    site.answer(
        2,
        ControlRequest::Heartbeat(heartbeat(9, protocol::UpstreamState::Ready)),
    );
    site.run_for(600);
    (0..NODES.len()).for_each(|at| {
        let known = site.condition(at, "u");
        assert!(
            known.as_deref().is_none_or(|known| known == "gone"),
            "{}: {known:?}",
            NODES[at]
        );
    });
}

/// Told to a node that was cut off the moment before: when it is back, all know.
#[test]
fn a_departure_reported_to_a_partitioned_node_is_known_once_it_is_back() {
    let mut site = Site::settled();
    site.answer(
        0,
        ControlRequest::Heartbeat(heartbeat(1, protocol::UpstreamState::Ready)),
    );
    let at = site.bystander();
    site.cut_off(at, false, false);
    assert!(!acknowledged(&site.answer(
        at,
        ControlRequest::Deregister {
            instance: "u".into()
        }
    )));
    site.cuts.clear();
    site.run_for(1500);
    (0..NODES.len())
        .for_each(|node| assert_eq!(site.condition(node, "u").as_deref(), Some("gone"), "{node}"));
}

/// Two nodes that heard nothing of it, and one that took it in: a majority without the others that did.
const LATER_MAJORITY: [usize; 3] = [2, 3, 4];

/// An upstream leaves or signs off at a node; three of five take it in, and it is acknowledged. Then the network parts
/// those two that nobody else needs from the rest.
fn departed_with_three_of_five(departure: ControlRequest) -> Site {
    let mut site = Site::settled();
    site.answer(
        0,
        ControlRequest::Heartbeat(heartbeat(1, protocol::UpstreamState::Ready)),
    );
    site.run_for(600);
    site.split(&[3, 4]);
    let request_id = site.ask(0, departure);
    site.run_for(3 * DELAY);
    let response = site
        .answers
        .remove(&request_id)
        .map(|(_, response)| response);
    assert!(acknowledged(&response), "{response:?}");
    site.cuts.clear();
    site.split(&LATER_MAJORITY);
    site
}

/// The ways to depart: with heartbeats that go on, without any, and at a node that did not know the upstream.
fn departures() -> [ControlRequest; 3] {
    let unknown = ControlRequest::Deregister {
        instance: "unknown".into(),
    };
    [
        ControlRequest::Heartbeat(heartbeat(2, protocol::UpstreamState::Draining)),
        ControlRequest::Deregister {
            instance: "u".into(),
        },
        unknown,
    ]
}

/// What the data-plane node knows of the upstream of [`departures`].
fn known_to_the_data_node(departure: &ControlRequest) -> Upstream {
    match departure {
        ControlRequest::Deregister { instance } => Upstream {
            instance: instance.clone(),
            ..heartbeat(1, protocol::UpstreamState::Ready)
        },
        _ => heartbeat(1, protocol::UpstreamState::Ready),
    }
}

/// Nodes that vouch to a data-plane node for a departed upstream, in the two seconds in which its earlier view may still count
/// and the seconds after, and how long it takes until all of the majority vouch.
fn vouched_for_after(
    restarted: &[usize],
    departure: ControlRequest,
    forgets: bool,
) -> (Vec<String>, u64) {
    let known = known_to_the_data_node(&departure);
    let mut site = departed_with_three_of_five(departure);
    site.forgets_departures = forgets;
    restarted.iter().for_each(|at| site.restart(*at));
    let (restarted_at, mut breaches, mut all_vouch_after) = (site.now, Vec::new(), None);
    while site.now < restarted_at + 5000 {
        site.run_for(100);
        let views = LATER_MAJORITY.map(|at| (at, site.followed(at, known.clone())));
        let after = site.now - restarted_at;
        let vouching = |(at, view): &(usize, Option<Vec<String>>)| {
            view.as_ref()
                .filter(|view| view.contains(&known.instance))
                .map(|view| format!("{} after {after} ms: {view:?}", NODES[*at]))
        };
        breaches.extend(views.iter().filter_map(vouching));
        all_vouch_after = all_vouch_after.or(views
            .iter()
            .all(|(_, view)| view.is_some())
            .then_some(after));
    }
    (breaches, all_vouch_after.expect("a majority is in contact"))
}

#[test]
fn an_acknowledged_departure_survives_the_restart_of_a_voter_that_recorded_it() {
    departures().into_iter().for_each(|departure| {
        let told = format!("{departure:?}");
        let (breaches, _) = vouched_for_after(&[2], departure, false);
        assert_eq!(breaches, Vec::<String>::new(), "{told}");
    });
}

/// All control nodes are killed at once: departures are known again, and nothing is served later for it.
#[test]
fn an_acknowledged_departure_survives_a_restart_of_all_at_no_cost() {
    departures().into_iter().for_each(|departure| {
        let told = format!("{departure:?}");
        let (breaches, all_vouch_after) = vouched_for_after(&[0, 1, 2, 3, 4], departure, false);
        assert_eq!(breaches, Vec::<String>::new(), "{told}");
        assert!(all_vouch_after <= 1000, "{all_vouch_after} ms");
    });
}

#[test]
fn voters_that_forget_departures_at_a_restart_are_caught() {
    let [leaving, signed_off, unknown] = departures();
    // What nobody else knew is vouched for only by nodes that have yet to hear of upstreams at all.
    let all = [0, 1, 2, 3, 4].as_slice();
    [
        ([2].as_slice(), leaving.clone()),
        (&[2], signed_off.clone()),
        (all, leaving),
        (all, signed_off),
        (all, unknown),
    ]
    .into_iter()
    .for_each(|(restarted, departure)| {
        let told = format!("{restarted:?} {departure:?}");
        let (breaches, _) = vouched_for_after(restarted, departure, true);
        assert!(!breaches.is_empty(), "{told}");
    });
}
