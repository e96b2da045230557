//! Identity of an upstream.

use protocol::Upstream;

/// Identifies an upstream: the service it belongs to and its instance id. Ordered by service, then by instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UpstreamId {
    /// Empty where an instance departed whose service is not known here.
    pub(crate) service: String,
    pub(crate) instance: String,
}

impl UpstreamId {
    pub(crate) fn new(service: &str, instance: &str) -> Self {
        UpstreamId {
            service: service.to_owned(),
            instance: instance.to_owned(),
        }
    }

    pub(crate) fn of(upstream: &Upstream) -> Self {
        Self::new(&upstream.service, &upstream.instance)
    }

    /// The id under which a departure is kept while the instance's service is not known.
    pub(crate) fn without_service(&self) -> Self {
        Self::new("", &self.instance)
    }

    /// The least id of a service, to begin an iteration over its upstreams.
    pub(crate) fn first_of_service(service: &str) -> Self {
        Self::new(service, "")
    }
}
