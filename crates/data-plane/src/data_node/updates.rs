//! View updates and confirmations from control nodes.
//!
//! A control node sends a snapshot first (number 0 of a stream), then numbered changes. A gap in the numbers asks for a
//! new snapshot. Between updates it confirms how old its own knowledge is, which makes the view fresh.

use super::source::Source;
use super::{DataNode, Effect};
use protocol::{Freshness, Payload, UpdateAck, ViewUpdate};
use std::time::Duration;

/// A control node whose confirmation is older than this may be cut off from the others.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);
/// How long a node that left such a control node waits before it asks the next one.
const SOURCE_CHANGE_DELAY: Duration = Duration::from_millis(100);
/// A new snapshot is asked for after this part of the poll interval.
const SNAPSHOT_RETRY_DIVISOR: u32 = 10;

/// Whether a snapshot is applied.
enum SnapshotDecision {
    /// It is applied, and surely no older than this, as far as its sender says.
    Apply { as_of: Option<Duration> },
    /// It is ignored.
    Ignore,
}

impl DataNode {
    pub(super) fn on_view_update(&mut self, now: Duration, from: String, update: ViewUpdate) {
        let is_snapshot = update.number == 0;
        let is_followed = self.source.node() == Some(from.as_str());
        if !is_followed && !is_snapshot {
            return;
        }
        let is_next = update.stream == self.stream && update.number == self.sequence + 1;
        if !is_snapshot && !is_next {
            return self.request_snapshot(now);
        }
        let as_of = if is_snapshot {
            match self.decide_on_snapshot(&update, &from) {
                SnapshotDecision::Apply { as_of } => as_of,
                SnapshotDecision::Ignore => return,
            }
        } else {
            self.view.as_of
        };
        if !is_followed {
            // It took longer than this node waited, and is an update all the same: where all are slow, leaving each
            // of them for the next would never bring a snapshot.
            self.left_source = None;
            self.failed_sources = 0;
            self.set_source(Source::Confirmed { node: from.clone() });
        }
        self.apply_update(now, from, update, as_of);
    }

    /// Applies an update to the view and acknowledges it; a damaged or invalid one asks for a new snapshot.
    fn apply_update(
        &mut self,
        now: Duration,
        from: String,
        update: ViewUpdate,
        as_of: Option<Duration>,
    ) {
        let (stream, number) = (update.stream, update.number);
        let revision_before = self.view.revision;
        let configuration = match update.configuration.as_deref() {
            None => None,
            Some(compressed) => match protocol::decompress(compressed) {
                Some(configuration) => Some(configuration),
                None => {
                    self.log("news denied: a damaged setup".into());
                    return self.request_snapshot(now);
                }
            },
        };
        let update = ViewUpdate {
            configuration,
            ..update
        };
        let evacuated_before = self.view.evacuated.clone();
        if let Err(errors) = self.view.apply_update(update, number == 0) {
            for error in errors {
                self.log(format!("news denied: {error}"));
            }
            return self.request_snapshot(now);
        }
        // A snapshot replaces what was known: the view is as old as it, also where another source knew newer things.
        self.confirm_view(now, as_of);
        self.view.note_evacuation_ends(now, &evacuated_before);
        self.view.update_senders(now);
        self.stream = stream;
        self.sequence = number;
        let revision = self.view.revision;
        if revision != revision_before {
            self.log(format!("edition {revision} is in force"));
        }
        self.effects.push(Effect::Send {
            to: from,
            body: Payload::UpdateAck(UpdateAck {
                stream,
                number,
                revision,
            }),
        });
        self.effects.push(Effect::Publish);
    }

    /// Whether a snapshot is applied, and the moment that it is surely no older than. It must answer a request later
    /// than that of the last snapshot: one from before, which lay in a slow or frozen link, would set the view back.
    /// However long the answer takes, it is as old as its request says. Where it is older than what is known here, it
    /// is not applied from a source that was left, nor from one that may be cut off from the others.
    fn decide_on_snapshot(&mut self, snapshot: &ViewUpdate, from: &str) -> SnapshotDecision {
        let Some(request) = self.pending_requests.take(snapshot.asked, from) else {
            return SnapshotDecision::Ignore;
        };
        let was_left =
            request.generation != self.source_generation || self.source.node() != Some(from);
        let Some(age) = snapshot.age_ms.map(Duration::from_millis) else {
            return if was_left {
                SnapshotDecision::Ignore
            } else {
                SnapshotDecision::Apply {
                    as_of: self.view.as_of,
                }
            };
        };
        let Some(as_of) = request.sent_at.checked_sub(age) else {
            return SnapshotDecision::Ignore;
        };
        let is_older = self.view.as_of.is_some_and(|known| as_of < known);
        if is_older && (was_left || age > MAX_CONFIRMATION_AGE) {
            SnapshotDecision::Ignore
        } else {
            SnapshotDecision::Apply { as_of: Some(as_of) }
        }
    }

    fn request_snapshot(&mut self, now: Duration) {
        self.stream = 0;
        self.next_request_at = now + self.times.poll_interval / SNAPSHOT_RETRY_DIVISOR;
    }

    /// The source confirms how old its knowledge is, and says which update it sent last.
    pub(super) fn on_freshness(&mut self, now: Duration, from: String, freshness: Freshness) {
        let asked_at = match &self.source {
            Source::Asked {
                node,
                nonce,
                asked_at,
            } if *node == from && *nonce == freshness.nonce => *asked_at,
            _ => return,
        };
        self.was_answered = true;
        self.set_source(Source::Confirmed { node: from });
        let is_complete = (freshness.stream, freshness.number) == (self.stream, self.sequence)
            && self.view.revision >= freshness.revision;
        let age = Duration::from_millis(freshness.age_ms);
        let is_doubtful = age > MAX_CONFIRMATION_AGE;
        // Each of the others is tried once; where all are as old, the node stays where it is.
        let others_are_left = self.failed_sources + 1 < self.control_nodes.len();
        if is_doubtful && others_are_left {
            self.leave_source(now + SOURCE_CHANGE_DELAY);
        } else if !is_complete {
            self.request_snapshot(now);
        }
        if !is_complete {
            return;
        }
        if !is_doubtful {
            self.failed_sources = 0;
        }
        let as_of = asked_at.checked_sub(age).max(self.view.as_of);
        self.confirm_view(now, as_of);
        self.effects.push(Effect::Publish);
    }

    fn confirm_view(&mut self, now: Duration, as_of: Option<Duration>) {
        if let Some(age) = self.view.confirm(now, as_of) {
            let age_ms = age.as_millis();
            self.log(format!("confirmed again, after {age_ms} ms"));
        }
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }
}
