//! A control node that starts from the data folder of an earlier release goes on from the state in it.

#[path = "../../storage/tests/recorded/mod.rs"]
mod recorded;

use control_plane::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start};
use protocol::Member;
use recorded::{CONFIGURATION, DEPARTURES_WRITTEN_AT, RecordedFolder, durable_state};
use result_code::ResultCode;
use std::time::Duration;
use storage::Storage;

/// The first configuration that was put in force, byte for byte.
const FIRST_SUBMITTED: &str = concat!(
    r#"{"number":7,"services":[{"name":"slots","work":"once","warmUpPerSecond":5,"homeRegions":["north"],"mostBytes":7000}],"#,
    r#""routes":[{"id":"r1","name":"book","path":"/book","service":"slots"}],"#,
    r#""aliases":[{"alias":"book.example","to":"r1"}]}"#
);

struct Node {
    control: ControlNode,
    now: Duration,
    responses: Vec<ControlResponse>,
}

impl Node {
    /// Starts from a copy of the recorded folder and runs until it votes.
    fn start(name: &str) -> Node {
        let folder = RecordedFolder::copy(name);
        let (storage, contents) = Storage::open(folder.path()).expect("it opens");
        assert_eq!(contents.durable, durable_state());
        let (_, departures) = storage.departure_log(DEPARTURES_WRITTEN_AT);
        assert_eq!(departures.len(), 2);
        let settings =
            config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).expect("no flags");
        let me = Member {
            node: "pm-1".into(),
            locality: "north/a".into(),
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
            durable: contents.durable,
            configurations: contents.configurations,
            departures,
            times: control_plane::daemon::times(&settings),
        });
        let mut node = Node {
            control,
            now: Duration::ZERO,
            responses: Vec::new(),
        };
        node.run(Duration::from_secs(10));
        node
    }

    fn step(&mut self, event: Event) {
        for effect in self.control.step(self.now, event) {
            match effect {
                Effect::Persist { write_id, .. } | Effect::StoreConfiguration { write_id, .. } => {
                    self.step(Event::WriteCompleted { write_id });
                }
                Effect::PersistDepartures { write_id, .. } => {
                    self.step(Event::DeparturesPersisted { write_id });
                }
                Effect::Respond { response, .. } => self.responses.push(response),
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += Duration::from_millis(50);
            self.step(Event::Tick);
        }
    }

    fn request(&mut self, request: ControlRequest) -> ControlResponse {
        self.step(Event::ControlRequest {
            request_id: 1,
            request,
        });
        self.run(Duration::from_millis(100));
        self.responses.pop().expect("a response")
    }

    fn submit(&mut self, id: &str, bytes: &str) -> ControlResponse {
        self.request(ControlRequest::SubmitConfiguration {
            id: id.into(),
            base: None,
            bytes: bytes.into(),
            in_force: false,
        })
    }

    fn page(&mut self, request: ControlRequest) -> String {
        match self.request(request) {
            ControlResponse::Json(page) => page.to_string(),
            other => panic!("no page: {other:?}"),
        }
    }
}

fn accepted(revision: u64) -> ControlResponse {
    ControlResponse::Outcome {
        code: ResultCode::Success,
        revision,
    }
}

#[test]
fn a_node_serves_the_recorded_configuration_and_status() {
    let mut node = Node::start("control-recorded-status");
    assert_eq!(node.control.revision(), 5);
    let ControlResponse::Configuration { revision, bytes } =
        node.request(ControlRequest::ReadConfiguration)
    else {
        panic!("no configuration")
    };
    assert_eq!(revision, 5);
    assert_eq!(protocol::digest(&bytes), CONFIGURATION);
    let status = node.page(ControlRequest::Status);
    for expected in [
        r#""standing":"voting""#,
        r#""edition":5"#,
        r#""decided":6"#,
        r#""evacuated":["north/b"]"#,
        r#""roster":["pm-1"]"#,
    ] {
        assert!(status.contains(expected), "{expected} in {status}");
    }
    assert!(status.contains(CONFIGURATION), "{status}");
}

/// A change is known by its id and by a short digest of what was asked for.
#[test]
fn a_node_recognizes_the_recorded_changes() {
    let mut node = Node::start("control-recorded-changes");
    assert_eq!(node.submit("setup-7", FIRST_SUBMITTED), accepted(1));
    let evacuate = |id: &str, locality: &str, back| ControlRequest::Evacuate {
        id: id.into(),
        locality: locality.into(),
        back,
        in_force: false,
    };
    assert_eq!(
        node.request(evacuate("evacuate-a", "north/a", false)),
        accepted(4)
    );
    assert_eq!(
        node.request(evacuate("return-a", "north/a", true)),
        accepted(5)
    );
    let other = FIRST_SUBMITTED.replace("7000", "7001");
    assert_ne!(
        node.submit("setup-7", &other),
        accepted(1),
        "an id stands for one change"
    );
    assert_ne!(
        node.submit("other", &other),
        accepted(6),
        "a number stands for one configuration"
    );
    assert_eq!(node.control.revision(), 5);
}
