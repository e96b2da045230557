//! How capacity that several proxies use is divided among them.

/// One proxy's position among all that send to the same upstreams: number `rank` (from 0) of `proxies`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyPartition {
    /// How many proxies share the capacity.
    pub proxies: u32,
    /// This proxy's number among them, from 0.
    pub rank: u32,
}

impl ProxyPartition {
    /// This proxy's part of `total`; the remainder goes to the lowest ranks, so that all parts sum up to `total`.
    pub(crate) fn part_of(self, total: u32) -> u32 {
        let proxies = self.proxies.max(1);
        total / proxies + u32::from(self.rank < total % proxies)
    }

    /// An equal part of `total`, rounded up: at least one for each proxy where there is any at all.
    pub(crate) fn fair_part_of(self, total: u32) -> u32 {
        total.div_ceil(self.proxies.max(1))
    }
}
