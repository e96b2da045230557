//! Why requests went where they went: a bounded memory of the latest.

use dashmap::DashMap;
use request_routing::TraceEvent;
use std::sync::atomic::{AtomicU64, Ordering};

const MAX_TRACES: u64 = 4096;

/// The latest requests' notes, by try id.
#[derive(Default)]
pub struct Traces {
    notes: DashMap<String, (u64, Vec<TraceEvent>)>,
    /// Which try took which place; a newer one takes the oldest's.
    places: DashMap<u64, String>,
    next: AtomicU64,
}

impl Traces {
    /// Keeps a request's notes, and forgets the oldest beyond the bound.
    ///
    /// ```
    /// let traces = data_plane::Traces::default();
    /// (0..5000).for_each(|at| traces.keep(format!("t{at}"), vec![]));
    /// assert!(traces.find("t0").is_none());
    /// assert!(traces.find("t4999").is_some());
    /// ```
    pub fn keep(&self, attempt_id: String, notes: Vec<TraceEvent>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let oldest = self.places.insert(number % MAX_TRACES, attempt_id.clone());
        oldest.into_iter().for_each(|oldest| {
            self.notes
                .remove_if(&oldest, |_, (kept, _)| *kept + MAX_TRACES <= number);
        });
        self.notes.insert(attempt_id, (number, notes));
    }

    /// The notes of a try, as text.
    ///
    /// ```
    /// let traces = data_plane::Traces::default();
    /// traces.keep("t".into(), vec![request_routing::TraceEvent::WokenUp]);
    /// assert_eq!(traces.find("t").unwrap(), ["called: a seat may be free"]);
    /// ```
    pub fn find(&self, attempt_id: &str) -> Option<Vec<String>> {
        self.notes
            .get(attempt_id)
            .map(|kept| kept.1.iter().map(TraceEvent::to_string).collect())
    }
}
