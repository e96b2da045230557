//! What a node rejects of its own, by subject and result code, and since when: the first thing to look at where one kind
//! of request fails while others are served.
//!
//! Everything is bounded: subjects come from clients, so beyond 64 they are counted together.

use dashmap::DashMap;
use result_code::ResultCode;
use std::fmt;
use std::time::Duration;

/// Most subjects that are counted apart.
const MAX_SUBJECTS: usize = 64;
/// The subject under which all further ones are counted.
const OTHER_SUBJECTS: &str = "(others)";
/// A series of rejections is over when none came for so long.
const QUIET_AFTER: Duration = Duration::from_secs(10);
/// A series that goes on is logged again after so long.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Most lines per report, so that a flood of subjects does not flood the log.
const MAX_LINES: usize = 8;

/// What was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectedKind {
    /// A directory lookup; the subject is the name.
    Lookup,
    /// A request to a service; the subject is the route's id, or the name where no route is known.
    Request,
}

impl fmt::Display for RejectedKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectedKind::Lookup => "lookups of",
            RejectedKind::Request => "requests on",
        })
    }
}

/// Identifies a series of rejections.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rejected {
    /// Lookup or request.
    pub kind: RejectedKind,
    /// The name or the route's id.
    pub subject: String,
    /// Why.
    pub code: ResultCode,
}

/// One series of rejections, without a pause of 10 s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectionSeries {
    /// How many there were.
    pub count: u64,
    /// When the first came.
    pub since: Duration,
    /// When the latest came.
    pub latest: Duration,
    reported_at: Option<Duration>,
}

/// All series of rejections of one node.
///
/// ```
/// use data_plane::{Rejected, RejectedKind, Rejections};
/// use result_code::ResultCode;
/// use std::time::Duration;
/// let rejections = Rejections::default();
/// rejections.record(Duration::ZERO, RejectedKind::Lookup, "book", ResultCode::NoOwner);
/// let lines = rejections.report(Duration::from_secs(1));
/// assert_eq!(lines, ["lookups of 'book' are rejected: 1203 NoOwner, 1 in 1.0 s"]);
/// assert!(rejections.report(Duration::from_secs(2)).is_empty(), "said once, and again only after a while");
/// assert_eq!(rejections.report(Duration::from_secs(20)), ["lookups of 'book' are no longer rejected (1203 NoOwner)"]);
/// ```
#[derive(Default)]
pub struct Rejections {
    series: DashMap<Rejected, RejectionSeries>,
}

impl Rejections {
    /// Counts one rejection.
    pub fn record(&self, now: Duration, kind: RejectedKind, subject: &str, code: ResultCode) {
        let mut rejected = Rejected {
            kind,
            subject: subject.to_owned(),
            code,
        };
        if self.series.len() >= MAX_SUBJECTS && !self.series.contains_key(&rejected) {
            rejected.subject = OTHER_SUBJECTS.to_owned();
        }
        let mut series = self.series.entry(rejected).or_insert(RejectionSeries {
            count: 0,
            since: now,
            latest: now,
            reported_at: None,
        });
        series.count += 1;
        series.latest = now;
    }

    /// The series that go on, in order.
    pub fn current(&self) -> Vec<(Rejected, RejectionSeries)> {
        let mut current: Vec<(Rejected, RejectionSeries)> = self
            .series
            .iter()
            .map(|entry| (entry.key().clone(), entry.value().clone()))
            .collect();
        current.sort_by(|a, b| a.0.cmp(&b.0));
        current
    }

    /// Log lines for what began, goes on or is over since the last report; forgets what is over.
    pub fn report(&self, now: Duration) -> Vec<String> {
        let mut lines = Vec::new();
        for (rejected, series) in self.current() {
            let Rejected {
                kind,
                subject,
                code,
            } = &rejected;
            let reason = format!("{} {code:?}", code.number());
            if now >= series.latest + QUIET_AFTER {
                self.series.remove(&rejected);
                if series.reported_at.is_some() && lines.len() < MAX_LINES {
                    lines.push(format!(
                        "{kind} '{subject}' are no longer rejected ({reason})"
                    ));
                }
                continue;
            }
            let is_due = series
                .reported_at
                .is_none_or(|reported_at| now >= reported_at + REPORT_INTERVAL);
            if !is_due || lines.len() >= MAX_LINES {
                continue;
            }
            if let Some(mut entry) = self.series.get_mut(&rejected) {
                entry.reported_at = Some(now);
            }
            let lasted = now.saturating_sub(series.since).as_secs_f64();
            let count = series.count;
            lines.push(format!(
                "{kind} '{subject}' are rejected: {reason}, {count} in {lasted:.1} s"
            ));
        }
        lines
    }
}
