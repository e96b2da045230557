//! Limits that two packages share.

#[test]
fn the_largest_configuration_that_is_accepted_fits_into_a_message() {
    assert_eq!(
        protocol::MAX_CONFIGURATION_BYTES,
        config::MAX_CONFIGURATION_BYTES
    );
}
