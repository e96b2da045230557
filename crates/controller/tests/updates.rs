//! What carriers are told of the replicated state.

mod site;

use controller::{Ask, Event};
use protocol::{CarrierAck, Member, Message, Payload, Probe};
use site::{Site, site};

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

/// The carriers of the tests below.
const CARRIERS: [&str; 2] = ["c-1", "c-2"];

fn carrier(node: &str) -> Member {
    Member {
        node: node.into(),
        locality: "north/n1".into(),
        roles: "proxy,directory".into(),
        incarnation: 1,
        probe_address: node.into(),
        link_address: node.into(),
        ..Member::default()
    }
}

/// Membership tells of carriers, as they are now.
fn introduce(site: &mut Site, carriers: Vec<Member>) {
    let probe = Payload::Probe(Probe { members: carriers, ..Probe::default() });
    site.step(Event::Datagram { address: "c-1".into(), body: probe });
}

/// Another control node tells that a carrier acknowledged an edition.
fn acknowledged(site: &mut Site, node: &str, edition: u64, life: u64) {
    let body = Payload::CarrierAck(CarrierAck { node: node.into(), edition, life });
    site.step(Event::Received { from: "b".into(), body });
    site.step(Event::Tick);
}

/// A site with two carriers, and an order under way whose operator waits until it is in force at both; its edition.
fn order_to_be_in_force() -> (Site, u64) {
    let mut site = site();
    introduce(&mut site, CARRIERS.map(carrier).to_vec());
    let locality = "north/n1".into();
    let ask = Ask::Evacuate { id: "first-order".into(), locality, back: false, in_force: true };
    site.step(Event::Ask { token: 7, ask });
    let edition = site.control.edition();
    assert!(site.answers.is_empty() && edition > 0, "no carrier has it: {:?}", site.answers);
    (site, edition)
}

#[test]
fn an_order_is_in_force_once_each_carrier_has_it() {
    [3, 0].into_iter().for_each(|life| {
        let (mut site, edition) = order_to_be_in_force();
        acknowledged(&mut site, "c-1", edition, life);
        assert!(site.answers.is_empty());
        acknowledged(&mut site, "c-2", edition, life);
        assert_eq!(site.answers.len(), 1, "life {life}; older versions tell none");
    });
}

/// One that starts again may take an older edition from a control node that lags.
#[test]
fn what_an_earlier_life_of_a_carrier_acknowledged_does_not_count_for_this_one() {
    let (mut site, edition) = order_to_be_in_force();
    acknowledged(&mut site, "c-1", edition, 3);
    acknowledged(&mut site, "c-1", edition - 1, 4);
    acknowledged(&mut site, "c-2", edition, 3);
    assert!(site.answers.is_empty(), "its present life has an older edition: {:?}", site.answers);
    acknowledged(&mut site, "c-1", edition, 3);
    assert!(site.answers.is_empty(), "a late acknowledgement of its earlier life: {:?}", site.answers);
    acknowledged(&mut site, "c-1", edition, 4);
    assert_eq!(site.answers.len(), 1);
}
