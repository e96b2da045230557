//! Messages of the lease on the placement role, which a majority of the voters grants.

use prost::Message;

/// Asks a voter for its grant of the lease, or for a renewal.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseRequest {
    /// The epoch of the lease.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Repeated in the answer.
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// The sender holds this epoch at the moment.
    #[prost(bool, tag = "3")]
    pub renewal: bool,
    /// The epoch of the voter set whose quorum the sender asks: a voter that knows a newer set rejects.
    #[prost(uint64, tag = "4")]
    pub voter_epoch: u64,
    /// The candidate will grant keys only to whom its record of key owners names.
    #[prost(bool, tag = "5")]
    pub keeps_key_owners: bool,
}

/// The answer to [`LeaseRequest`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseReply {
    /// That of the request.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// That of the request.
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// True where the voter granted it.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// The highest epoch that the voter ever granted.
    #[prost(uint64, tag = "4")]
    pub highest_epoch: u64,
    /// Where rejected: how long until a retry may succeed, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
    /// This voter never granted any lease before.
    #[prost(bool, tag = "6")]
    pub first: bool,
    /// The grant counts where half of the voters grant, the tie-breaker among them.
    #[prost(bool, tag = "7")]
    pub may_break_tie: bool,
    /// Where a new lease is granted: how long ago the last lease ended that this voter may have granted, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub idle_ms: u64,
    /// This voter keeps records of key owners.
    #[prost(bool, tag = "9")]
    pub keeps_key_owners: bool,
}

/// Gives up a lease, or the grants of a candidate, before it expires.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseRelease {
    /// The epoch that is given up.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The sender never held it: the candidate gave up without a majority.
    #[prost(bool, tag = "2")]
    pub was_never_held: bool,
}

/// The sender holds the lease from now on.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseHolder {
    /// Its fencing token.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
}
