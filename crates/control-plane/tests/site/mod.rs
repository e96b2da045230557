//! A site of one voter, for tests.
#![allow(dead_code, reason = "not every test uses all of it")]

use control_plane::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start};
use protocol::{Member, Payload, UpdateRequest, ViewUpdate};
use result_code::ResultCode;
use std::time::Duration;

const CONFIGURATION: &str = include_str!("../../../../docs/example-setup.json");

/// The only voter of a small site, and its clock.
pub struct Site {
    pub control: ControlNode,
    pub now: Duration,
    pub answers: Vec<ControlResponse>,
    pub updates: Vec<ViewUpdate>,
}

impl Site {
    pub fn new() -> Site {
        let settings =
            config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).expect("no flags");
        let me = Member {
            node: "a".into(),
            locality: "north/n1".into(),
            roles: "postmaster".into(),
            incarnation: 1,
            probe_address: "a".into(),
            link_address: "a".into(),
            ..Member::default()
        };
        let control = ControlNode::new(Start {
            reader: Default::default(),
            owners: Default::default(),
            me,
            seeds: vec![],
            initial_voter_count: 1,
            seed: 1,
            durable: Default::default(),
            configurations: Default::default(),
            departures: vec![],
            times: control_plane::daemon::times(&settings),
        });
        Site {
            control,
            now: Duration::ZERO,
            answers: Vec::new(),
            updates: Vec::new(),
        }
    }

    pub fn step(&mut self, event: Event) {
        let effects = self.control.step(self.now, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Persist { write_id, .. } | Effect::StoreConfiguration { write_id, .. } => {
                self.step(Event::WriteCompleted { write_id })
            }
            Effect::PersistDepartures { write_id, .. } => {
                self.step(Event::DeparturesPersisted { write_id })
            }
            Effect::Respond { response, .. } => self.answers.push(response),
            Effect::Send {
                body: Payload::ViewUpdate(update),
                ..
            } => self.updates.push(update),
            _ => {}
        });
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += Duration::from_millis(50);
            self.step(Event::Tick);
        }
    }

    pub fn order(&mut self, request: ControlRequest) {
        self.step(Event::ControlRequest {
            request_id: 1,
            request,
        });
        self.run(Duration::from_millis(100));
        let fine = matches!(
            self.answers.pop(),
            Some(ControlResponse::Outcome {
                code: ResultCode::Success,
                ..
            })
        );
        assert!(fine, "an order was not taken");
    }

    pub fn evacuate(&mut self, at: usize, back: bool) {
        let id = format!("evacuation-{at}").into();
        self.order(ControlRequest::Evacuate {
            id,
            locality: "north/n1".into(),
            back,
            in_force: false,
        });
    }

    /// A data-plane node asks for the first time; the snapshot that it gets.
    pub fn snapshot(&mut self, data_node: &str) -> ViewUpdate {
        self.step(Event::Received {
            from: data_node.into(),
            body: Payload::UpdateRequest(UpdateRequest::default()),
        });
        self.updates.pop().expect("a snapshot")
    }
}

/// A site with its first configuration.
pub fn site() -> Site {
    let mut site = Site::new();
    site.run(Duration::from_secs(10));
    site.order(ControlRequest::SubmitConfiguration {
        id: "first".into(),
        base: None,
        bytes: CONFIGURATION.into(),
        in_force: false,
    });
    site
}
