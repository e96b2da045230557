//! The proxy that serves requests: its locality and its settings.

use crate::distance::Distance;
use locality::Locality;
use name_directory::{OwnershipMode, View};
use std::time::Duration;

/// What a request to another locality costs beside the upstream's work, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DistanceCost {
    /// To another zone of the same region.
    pub other_zone_ms: f64,
    /// To another region.
    pub other_region_ms: f64,
}

impl DistanceCost {
    pub(crate) fn of(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.other_zone_ms,
            Distance::OtherRegion => self.other_region_ms,
        }
    }
}

impl Default for DistanceCost {
    fn default() -> Self {
        DistanceCost {
            other_zone_ms: 20.0,
            other_region_ms: 60.0,
        }
    }
}

/// What an upstream bears in any second while it warms up, from all proxies together: so many times its slow-start rate, and
/// so many requests more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpTolerance {
    /// The factor.
    pub excess: f64,
    /// The requests beside.
    pub margin: f64,
}

impl Default for WarmUpTolerance {
    fn default() -> Self {
        WarmUpTolerance {
            excess: 1.5,
            margin: 5.0,
        }
    }
}

/// The proxy that serves a request.
#[derive(Clone, Debug)]
pub struct ProxyContext {
    /// The proxy's node id.
    pub node: String,
    /// Where it runs.
    pub locality: Locality,
    /// The locality as text, as views have it.
    pub(crate) locality_text: String,
    /// A view that was not confirmed for so long is stale.
    pub stale_after: Duration,
    /// How long a request may wait for a free slot; zero rejects it at once.
    pub max_queue_wait: Duration,
    /// Who owns a name; a proxy forwards only where one locality owns it for everybody.
    pub ownership: OwnershipMode,
    /// True where requests are served from a stale view all the same.
    pub serve_stale_view: bool,
    /// What distance costs in the choice of an upstream.
    pub distance_cost: DistanceCost,
    /// What upstreams bear while they warm up.
    pub warm_up_tolerance: WarmUpTolerance,
}

impl ProxyContext {
    /// A proxy's locality and time spans.
    ///
    /// ```
    /// use std::time::Duration;
    /// let proxy = request_routing::ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(proxy.locality.region, "n");
    /// ```
    pub fn new(
        node: &str,
        locality: Locality,
        stale_after: Duration,
        max_queue_wait: Duration,
    ) -> Self {
        ProxyContext {
            node: node.to_owned(),
            locality_text: locality.to_string(),
            locality,
            stale_after,
            max_queue_wait,
            ownership: OwnershipMode::SingleZone,
            serve_stale_view: false,
            distance_cost: DistanceCost::default(),
            warm_up_tolerance: WarmUpTolerance::default(),
        }
    }

    /// True while a view may be acted on.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut proxy = request_routing::ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let view = name_directory::View { as_of: Some(Duration::ZERO), ..Default::default() };
    /// assert!(!proxy.may_use(&view, Duration::from_secs(9)));
    /// proxy.serve_stale_view = true;
    /// assert!(proxy.may_use(&view, Duration::from_secs(9)));
    /// assert!(!proxy.may_use(&Default::default(), Duration::ZERO), "it was never confirmed at all");
    /// ```
    pub fn may_use(&self, view: &View, now: Duration) -> bool {
        (self.serve_stale_view && view.as_of.is_some()) || view.is_fresh(now, self.stale_after)
    }
}
