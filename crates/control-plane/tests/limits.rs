//! Limits that two packages share.

#[test]
fn the_largest_setup_that_is_read_can_travel() {
    assert_eq!(
        protocol::MAX_CONFIGURATION_BYTES,
        config::MAX_CONFIGURATION_BYTES
    );
}
