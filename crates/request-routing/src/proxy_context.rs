//! The proxy that serves requests: its place and the spans it goes by.

use locality::Locality;
use name_directory::{OwnershipMode, View};
use std::time::Duration;

/// The proxy that serves it.
#[derive(Clone, Debug)]
pub struct ProxyContext {
    pub node: String,
    pub locality: Locality,
    /// The locality as text.
    pub(crate) here: String,
    pub stale_after: Duration,
    /// How long a request may wait for a seat; zero denies at once.
    pub wait_for: Duration,
    /// Who owns a name; a proxy forwards only where one locality owns it for everybody.
    pub ownership: OwnershipMode,
    /// True where a view that no majority confirms any more is served from all the same.
    pub serve_stale_view: bool,
    /// What a request to another zone of the region, and to another region, costs beside work, in milliseconds.
    pub far_ms: (f64, f64),
}

impl ProxyContext {
    /// A proxy's place and spans.
    ///
    /// ```
    /// use std::time::Duration;
    /// let site = request_routing::ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(site.locality.region, "n");
    /// ```
    pub fn new(node: &str, locality: Locality, stale_after: Duration, wait_for: Duration) -> Self {
        ProxyContext {
            node: node.to_owned(),
            here: locality.to_string(),
            locality,
            stale_after,
            wait_for,
            ownership: OwnershipMode::SingleZone,
            serve_stale_view: false,
            far_ms: (20.0, 60.0),
        }
    }

    /// True while a view may be acted on.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut site = request_routing::ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let view = name_directory::View { as_of: Some(Duration::ZERO), ..Default::default() };
    /// assert!(!site.may_use(&view, Duration::from_secs(9)));
    /// site.serve_stale_view = true;
    /// assert!(site.may_use(&view, Duration::from_secs(9)));
    /// assert!(!site.may_use(&Default::default(), Duration::ZERO), "it was never confirmed at all");
    /// ```
    pub fn may_use(&self, view: &View, now: Duration) -> bool {
        (self.serve_stale_view && view.as_of.is_some()) || view.is_fresh(now, self.stale_after)
    }
}
