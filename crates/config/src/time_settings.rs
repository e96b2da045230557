//! The settings for time values, and their validation against each other.

use crate::settings::{Setting, SettingType, Settings};
use crate::validation::{ValidationError, add_validation_error};

/// The settings for time values, the same for both daemons.
pub const TIME_SETTINGS: &[Setting] = &[
    duration_setting(
        "address-lifetime-ms",
        "2000",
        200,
        5000,
        "how long a client may keep an address",
    ),
    duration_setting(
        "confirm-every-ms",
        "500",
        50,
        2000,
        "how often a majority confirms the revision",
    ),
    duration_setting(
        "stale-after-ms",
        "2000",
        200,
        3000,
        "the age at which a view is no longer used",
    ),
    duration_setting(
        "probe-every-ms",
        "300",
        20,
        5000,
        "how often one other node is probed",
    ),
    duration_setting(
        "suspect-for-ms",
        "1500",
        100,
        30000,
        "how long a suspect has to refute",
    ),
    duration_setting(
        "claim-span-ms",
        "1500",
        300,
        30000,
        "how long a lease is granted for",
    ),
    duration_setting(
        "claim-margin-ms",
        "500",
        50,
        5000,
        "how long before its end a holder stops",
    ),
    duration_setting(
        "share-span-ms",
        "3000",
        300,
        30000,
        "how long a key share is held after a heartbeat",
    ),
    duration_setting(
        "upstream-silent-ms",
        "3000",
        300,
        30000,
        "how long a silent upstream is kept",
    ),
    duration_setting(
        "mark-lifetime-ms",
        "60000",
        5000,
        86_400_000,
        "how long a tombstone (forwarding entry) is kept",
    ),
    duration_setting(
        "wait-ms",
        "150",
        0,
        2000,
        "how long a request may wait for a free slot; 0 rejects at once",
    ),
    duration_setting(
        "least-stay-ms",
        "4000",
        0,
        600_000,
        "how long a name stays before an unforced move",
    ),
];

const fn duration_setting(
    name: &'static str,
    default: &'static str,
    min_ms: u64,
    max_ms: u64,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        kind: SettingType::DurationMs(min_ms, max_ms),
        default: Some(default),
        help,
    }
}

/// Validates time values against each other; returns what is wrong.
///
/// ```
/// use config::{Settings, TIME_SETTINGS, validate_times};
/// let flags = vec![("stale-after-ms".to_owned(), "3000".to_owned()),
///                  ("address-lifetime-ms".to_owned(), "2500".to_owned())];
/// let settings = Settings::parse(&[TIME_SETTINGS], None, &flags).unwrap();
/// let validation_errors = validate_times(&settings);
/// assert_eq!(validation_errors[0].path, "address-lifetime-ms");
/// assert!(validate_times(&Settings::parse(&[TIME_SETTINGS], None, &[]).unwrap()).is_empty());
/// ```
pub fn validate_times(settings: &Settings) -> Vec<ValidationError> {
    let mut validation_errors = Vec::new();
    let ms = |name| settings.duration(name).as_millis() as u64;
    let mut require = |is_valid: bool, name: &str, message: &str| {
        if !is_valid {
            add_validation_error(
                &mut validation_errors,
                name,
                format!("{}: {message}", settings.get(name)),
            );
        }
    };
    require(
        ms("address-lifetime-ms") + ms("stale-after-ms") <= 4500,
        "address-lifetime-ms",
        "with stale-after-ms it must come to 4500 at most, so that no address is used over 5 s after a change",
    );
    require(
        ms("confirm-every-ms") * 3 <= ms("stale-after-ms"),
        "confirm-every-ms",
        "must be a third of stale-after-ms at most",
    );
    require(
        ms("stale-after-ms") <= 2500,
        "stale-after-ms",
        "must be 2500 at most, so that a setup is in force within 3 s everywhere that serves",
    );
    require(
        ms("claim-margin-ms") * 3 <= ms("claim-span-ms"),
        "claim-margin-ms",
        "must be a third of claim-span-ms at most",
    );
    require(
        ms("probe-every-ms") * 2 <= ms("suspect-for-ms"),
        "suspect-for-ms",
        "must be twice probe-every-ms at least",
    );
    validation_errors
}
