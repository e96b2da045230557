//! Which proxies send requests to the upstreams of each service.

use std::collections::BTreeMap;
use std::time::Duration;

/// The proxies that send to each service's upstreams.
#[derive(Clone, Debug, Default)]
pub struct ServiceSenders {
    /// Node ids of proxies, in order, by service.
    pub(crate) by_service: BTreeMap<String, Vec<String>>,
    /// When they changed last: until the others' views have caught up, more may send than are named here.
    pub since: Duration,
}

impl ServiceSenders {
    /// How many proxies send to this service's upstreams, and this proxy's rank among them.
    ///
    /// ```
    /// assert_eq!(name_directory::ServiceSenders::default().rank_of("s", "proxy-1"), None);
    /// ```
    pub fn rank_of(&self, service: &str, proxy: &str) -> Option<(usize, usize)> {
        let senders = self.by_service.get(service)?;
        let rank = senders.iter().position(|sender| sender == proxy)?;
        Some((senders.len(), rank))
    }
}
