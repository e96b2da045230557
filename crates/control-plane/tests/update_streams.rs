//! What data-plane nodes are told of the replicated state.

mod site;

use protocol::Message;
use site::site;

#[test]
fn a_snapshot_does_not_grow_with_the_changes_decided() {
    let mut site = site();
    let before = site.snapshot("c-1").encoded_len();
    (0..200).for_each(|at| site.evacuate(at, at % 2 == 1));
    let after = site.snapshot("c-2").encoded_len();
    // The revision takes a byte more.
    assert!(
        after <= before + 4,
        "{before} bytes before 200 orders, {after} after them"
    );
}

#[test]
fn an_update_does_not_contain_the_changes_decided() {
    let mut site = site();
    (0..200).for_each(|at| site.evacuate(at, at % 2 == 1));
    site.snapshot("c-1");
    site.updates.clear();
    site.evacuate(200, false);
    let told: Vec<usize> = site
        .updates
        .iter()
        .filter(|update| update.state.is_some())
        .map(Message::encoded_len)
        .collect();
    assert!(
        told.len() == 1 && told[0] < 200,
        "{told:?} bytes were told of one evacuation"
    );
}

#[test]
fn a_change_without_effect_is_sent_to_no_data_plane_node() {
    let mut site = site();
    site.evacuate(0, false);
    site.snapshot("c-1");
    site.updates.clear();
    site.evacuate(1, false);
    assert_eq!(
        site.updates
            .iter()
            .filter(|update| update.state.is_some())
            .count(),
        0
    );
}
