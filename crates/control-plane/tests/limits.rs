//! Limits that two packages share.

#[test]
fn the_largest_setup_that_is_read_can_travel() {
    assert_eq!(protocol::MOST_SETUP_BYTES, config::MOST_SETUP_BYTES);
}
