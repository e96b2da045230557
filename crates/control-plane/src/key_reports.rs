//! What the holder of the placement lease tells of numeric keys, in the log and on the status page: among which upstreams a
//! service's keys are divided, how many are without a holder, since when and for how long yet.

use crate::node::ControlNode;
use crate::placement::PlacementLease;
use config::JsonValue;
use key_space::KEY_COUNT;
use std::time::Duration;

/// Keys that move are without a holder for a moment; only what lasts longer is logged.
const UNHELD_LOG_DELAY: Duration = Duration::from_secs(1);

/// Keys of one service that nobody holds.
#[derive(Clone, Copy, Default)]
struct Unheld {
    keys: u32,
    /// Since when there were always some.
    since: Option<Duration>,
    /// The log has a line of it.
    is_logged: bool,
}

/// What was told last of one service.
#[derive(Default)]
pub(crate) struct KeyReport {
    /// Which parts of its keys are held in which regions, and by how many upstreams.
    division: String,
    unheld: Unheld,
    /// How long nothing is granted yet, since earlier leases may still hold keys.
    wait: Duration,
}

impl KeyReport {
    /// Takes note of how many keys nobody holds; a line for the log where they have been unheld for a while, or no more are.
    fn note_unheld(&mut self, now: Duration, service: &str, keys: u32) -> Option<String> {
        let last = self.unheld;
        if keys == 0 {
            self.unheld = Unheld::default();
            let lasted = now - last.since.filter(|_| last.is_logged)?;
            return Some(format!(
                "keys: all of '{service}' are held again after {lasted:.1?}"
            ));
        }
        let since = *self.unheld.since.get_or_insert(now);
        self.unheld.keys = keys;
        if last.is_logged || now < since + UNHELD_LOG_DELAY {
            return None;
        }
        self.unheld.is_logged = true;
        let reason = if self.wait.is_zero() {
            "their upstreams are asked to take them".to_owned()
        } else {
            format!(
                "grants of an earlier lease may last for {:.1?} yet",
                self.wait
            )
        };
        Some(format!(
            "keys: {keys} of {KEY_COUNT} of '{service}' have no holder; {reason}"
        ))
    }

    fn json(&self, now: Duration, service: &str) -> JsonValue {
        let unheld_ms = self
            .unheld
            .since
            .map_or(0, |since| (now - since).as_millis() as u64);
        JsonValue::object([
            ("service", service.into()),
            ("held", u64::from(KEY_COUNT - self.unheld.keys).into()),
            ("of", u64::from(KEY_COUNT).into()),
            ("unheldMs", unheld_ms.into()),
            ("grantsInMs", (self.wait.as_millis() as u64).into()),
            ("among", self.division.as_str().into()),
        ])
    }
}

impl ControlNode {
    /// Takes note of how the keys of each service are divided and held, and logs what has changed.
    pub(crate) fn report_keys(&mut self, now: Duration, lease: &mut PlacementLease) {
        let services: Vec<String> = lease.ranges.keys().cloned().collect();
        lease
            .reports
            .retain(|service, _| services.contains(service));
        let grant_time = self.grant_clock.now();
        for service in services {
            let Some(ranges) = lease.ranges.get(&service) else {
                continue;
            };
            let held: u32 = ranges
                .assignments(grant_time)
                .iter()
                .map(|assignment| assignment.to - assignment.from + 1)
                .sum();
            let wait = ranges.time_until_grants(grant_time);
            let division = self.division_text(&service, lease);
            let report = lease.reports.entry(service.clone()).or_default();
            report.wait = wait;
            let is_new_division = report.division != division;
            report.division = division;
            let divided = is_new_division
                .then(|| format!("keys: '{service}' is divided among: {}", report.division));
            let unheld = report.note_unheld(now, &service, KEY_COUNT.saturating_sub(held));
            for line in divided.into_iter().chain(unheld) {
                self.log(line);
            }
        }
    }

    /// "midlands 63 %, north 37 %; 7 of 12 upstreams".
    fn division_text(&self, service: &str, lease: &PlacementLease) -> String {
        let Some(inputs) = lease.inputs.get(service) else {
            return String::new();
        };
        let regions = inputs.weights.shares.iter();
        let regions: Vec<String> = regions
            .map(|(region, share)| format!("{region} {:.0} %", share * 100.0))
            .collect();
        let weights = inputs.weights.by_instance.values();
        let holders = weights.filter(|weight| **weight > 0).count();
        let all = self.registry.of_service(service).count();
        format!("{}; {holders} of {all} upstreams", regions.join(", "))
    }

    /// Numeric keys by service, where this node holds the placement lease.
    pub(crate) fn key_reports_json(&self, now: Duration) -> JsonValue {
        let reports = self.placement.lease.iter().flat_map(|lease| &lease.reports);
        reports
            .map(|(service, report)| report.json(now, service))
            .collect()
    }
}
