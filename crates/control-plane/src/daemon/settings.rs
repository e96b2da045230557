//! Settings of the daemon: the table of command-line flags, and the time values read from them.

use crate::start::Times;
use config::{Setting, SettingType, Settings};
use transport::Program;

/// Settings of a control node, beside the time values.
pub const SETTINGS: &[Setting] = &[
    Setting::new(
        "node",
        SettingType::Id,
        None,
        "this process's id, unlike all others",
    ),
    Setting::new("locality", SettingType::Locality, None, "where it stands"),
    Setting::new(
        "http",
        SettingType::Address,
        None,
        "where operators and upstreams call (HTTP)",
    ),
    Setting::new(
        "link",
        SettingType::Address,
        None,
        "where other processes connect (TCP) and probe (UDP)",
    ),
    Setting::new(
        "told",
        SettingType::Addresses,
        Some(""),
        "the link address that others use, where it is not 'link' itself",
    ),
    Setting::new(
        "seeds",
        SettingType::Addresses,
        Some(""),
        "addresses of other processes, to find them all by",
    ),
    Setting::new(
        "seed-port",
        SettingType::Integer(0, 65_535),
        Some("0"),
        "the port of their links, where 'seeds' names others",
    ),
    Setting::new(
        "roster-size",
        SettingType::Integer(0, 31),
        Some("6"),
        "how many vote; a founding needs them all; 0: one a locality",
    ),
    Setting::new(
        "localities",
        SettingType::Localities,
        Some(""),
        "the site's localities",
    ),
    Setting::new(
        "owners",
        SettingType::OneOf(&["one", "by-caller"]),
        Some("one"),
        "who owns a name: one locality, or one for each",
    ),
    Setting::new("data", SettingType::Directory, None, "the data folder"),
];

/// Name, description and settings of this program, for the command line.
pub const PROGRAM: Program = Program {
    name: "control-plane",
    about: "The control plane of mothspindle: keeps the operators' state and notifies the data-plane nodes.",
    tables: &[SETTINGS, config::TIME_SETTINGS],
    check: |_| Vec::new(),
};

/// Reads the time values from the settings.
///
/// ```
/// let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
/// assert_eq!(control_plane::daemon::times(&settings).lease.duration.as_millis(), 1500);
/// ```
pub fn times(settings: &Settings) -> Times {
    Times {
        register: quorum_register::RegisterTiming {
            confirm_interval: settings.duration("confirm-every-ms"),
            ..Default::default()
        },
        membership: membership::MembershipTiming {
            probe_interval: settings.duration("probe-every-ms"),
            suspicion_timeout: settings.duration("suspect-for-ms"),
        },
        lease: lease::LeaseTiming::new(
            settings.duration("claim-span-ms"),
            settings.duration("claim-margin-ms"),
        ),
        placement: name_directory::PlacementTimes {
            min_residence: settings.duration("least-stay-ms"),
            tombstone_lifetime: settings.duration("mark-lifetime-ms"),
        },
        share_span: settings.duration("share-span-ms"),
        upstream_silent: settings.duration("upstream-silent-ms"),
        stale_after: settings.duration("stale-after-ms"),
        longest_step: lease::MAX_STEP,
    }
}
