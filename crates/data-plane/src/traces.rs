//! Why requests went where they went: a bounded memory of the latest.

use dashmap::DashMap;
use request_routing::TraceEvent;
use std::sync::atomic::{AtomicU64, Ordering};

const MAX_TRACES: u64 = 4096;

struct Trace {
    number: u64,
    events: Vec<TraceEvent>,
}

/// The latest requests' traces, by attempt id.
#[derive(Default)]
pub struct Traces {
    traces: DashMap<String, Trace>,
    /// A ring buffer of attempt ids; a newer one takes the oldest's entry.
    ring: DashMap<u64, String>,
    next_number: AtomicU64,
}

impl Traces {
    /// Keeps a request's trace, and forgets the oldest beyond the bound.
    ///
    /// ```
    /// let traces = data_plane::Traces::default();
    /// (0..5000).for_each(|at| traces.keep(format!("t{at}"), vec![]));
    /// assert!(traces.find("t0").is_none());
    /// assert!(traces.find("t4999").is_some());
    /// ```
    pub fn keep(&self, attempt_id: String, events: Vec<TraceEvent>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let oldest = self.ring.insert(number % MAX_TRACES, attempt_id.clone());
        if let Some(oldest) = oldest {
            // A later request with the same attempt id keeps its trace.
            self.traces
                .remove_if(&oldest, |_, trace| trace.number + MAX_TRACES <= number);
        }
        self.traces.insert(attempt_id, Trace { number, events });
    }

    /// The trace of an attempt, as text.
    ///
    /// ```
    /// let traces = data_plane::Traces::default();
    /// traces.keep("t".into(), vec![request_routing::TraceEvent::WokenUp]);
    /// assert_eq!(traces.find("t").unwrap(), ["called: a seat may be free"]);
    /// ```
    pub fn find(&self, attempt_id: &str) -> Option<Vec<String>> {
        let trace = self.traces.get(attempt_id)?;
        Some(trace.events.iter().map(TraceEvent::to_string).collect())
    }
}
