//! What carriers are told of the replicated state.

use address::Code;
use controller::{Answer, Ask, ControlNode, Effect, Event, Start};
use protocol::{Member, Message, Payload, UpdateRequest, ViewUpdate};
use std::time::Duration;

const SETUP: &str = include_str!("../../../docs/example-setup.json");

/// The only voter of a small site, and its clock.
struct Site {
    control: ControlNode,
    now: Duration,
    answers: Vec<Answer>,
    updates: Vec<ViewUpdate>,
}

impl Site {
    fn new() -> Site {
        let settings = tariff::Settings::read(&[tariff::TIMES], None, &[]).expect("no flags");
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
            roster_size: 1,
            seed: 1,
            durable: Default::default(),
            setups: Default::default(),
            times: controller::shell::times(&settings),
        });
        Site { control, now: Duration::ZERO, answers: Vec::new(), updates: Vec::new() }
    }

    fn step(&mut self, event: Event) {
        let effects = self.control.step(self.now, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Keep { ticket, .. } | Effect::KeepSetup { ticket, .. } => self.step(Event::Kept { ticket }),
            Effect::Answer { answer, .. } => self.answers.push(answer),
            Effect::Send { body: Payload::ViewUpdate(update), .. } => self.updates.push(update),
            _ => {}
        });
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += Duration::from_millis(50);
            self.step(Event::Tick);
        }
    }

    fn order(&mut self, ask: Ask) {
        self.step(Event::Ask { token: 1, ask });
        self.run(Duration::from_millis(100));
        let fine = matches!(self.answers.pop(), Some(Answer::Verdict { code: Code::Fine, .. }));
        assert!(fine, "an order was not taken");
    }

    fn evacuate(&mut self, at: usize, back: bool) {
        let id = format!("evacuation-{at}").into();
        self.order(Ask::Evacuate { id, locality: "north/n1".into(), back, in_force: false });
    }

    /// A carrier asks for the first time; the snapshot that it gets.
    fn snapshot(&mut self, carrier: &str) -> ViewUpdate {
        self.step(Event::Received { from: carrier.into(), body: Payload::UpdateRequest(UpdateRequest::default()) });
        self.updates.pop().expect("a snapshot")
    }
}

fn site() -> Site {
    let mut site = Site::new();
    site.run(Duration::from_secs(10));
    site.order(Ask::Submit { id: "first".into(), base: None, bytes: SETUP.into(), in_force: false });
    site
}

#[test]
fn a_snapshot_does_not_grow_with_the_orders_that_were_decided() {
    let mut site = site();
    let before = site.snapshot("c-1").encoded_len();
    (0..200).for_each(|at| site.evacuate(at, at % 2 == 1));
    let after = site.snapshot("c-2").encoded_len();
    // The edition takes a byte more.
    assert!(after <= before + 4, "{before} bytes before 200 orders, {after} after them");
}

#[test]
fn a_change_does_not_bear_the_orders_that_were_decided() {
    let mut site = site();
    (0..200).for_each(|at| site.evacuate(at, at % 2 == 1));
    site.snapshot("c-1");
    site.updates.clear();
    site.evacuate(200, false);
    let told: Vec<usize> =
        site.updates.iter().filter(|update| update.state.is_some()).map(Message::encoded_len).collect();
    assert!(told.len() == 1 && told[0] < 200, "{told:?} bytes were told of one evacuation");
}

#[test]
fn an_order_that_changes_nothing_is_told_to_no_carrier() {
    let mut site = site();
    site.evacuate(0, false);
    site.snapshot("c-1");
    site.updates.clear();
    site.evacuate(1, false);
    assert_eq!(site.updates.iter().filter(|update| update.state.is_some()).count(), 0);
}
