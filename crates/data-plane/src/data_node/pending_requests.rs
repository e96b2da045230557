//! Update requests to control nodes whose snapshots may still come.

use std::time::Duration;

/// Most requests whose snapshots are waited for.
const MAX_PENDING: usize = 64;

/// An update request, as long as its snapshot may come.
pub(super) struct PendingRequest {
    pub(super) nonce: u64,
    pub(super) sent_at: Duration,
    /// The control node it went to.
    pub(super) source: String,
    /// The generation of sources under which it was sent.
    pub(super) generation: u64,
}

/// Pending requests, oldest first.
#[derive(Default)]
pub(super) struct PendingRequests(Vec<PendingRequest>);

impl PendingRequests {
    /// Adds a request; the oldest beyond the bound are forgotten.
    pub(super) fn add(&mut self, request: PendingRequest) {
        self.0.push(request);
        let excess = self.0.len().saturating_sub(MAX_PENDING);
        self.0.drain(..excess);
    }

    /// Takes the request that a snapshot from this source answers; those before it are forgotten.
    pub(super) fn take(&mut self, nonce: u64, source: &str) -> Option<PendingRequest> {
        // Nodes of an older version do not say which request they answer.
        let nonce = if nonce == 0 {
            self.0.last()?.nonce
        } else {
            nonce
        };
        let at = self
            .0
            .iter()
            .position(|request| request.nonce == nonce && request.source == source)?;
        self.0.drain(..=at).next_back()
    }
}
