//! The record of who was granted numeric keys, which the holder of the placement lease keeps at the voters.

use prost::Message;

/// Keys and the upstream that was the last to be granted them.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KeyOwner {
    /// First key.
    #[prost(uint32, tag = "1")]
    pub from: u32,
    /// The key after the last one.
    #[prost(uint32, tag = "2")]
    pub until: u32,
    /// The upstream.
    #[prost(string, tag = "3")]
    pub instance: String,
}

/// The owners of one service's keys, in the order of the keys. A key that none names was granted to nobody.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceKeyOwners {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Who owns which keys.
    #[prost(message, repeated, tag = "2")]
    pub owners: Vec<KeyOwner>,
}

/// Who owns which keys, as one holder of the placement lease recorded it. Nothing is known of a service that it leaves
/// out.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KeyOwnerRecord {
    /// The epoch of the lease under which it was recorded.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Counts the records of one epoch.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The epoch of the voter set whose quorum is to keep it.
    #[prost(uint64, tag = "3")]
    pub voter_epoch: u64,
    /// The services that divide their work by numeric keys.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceKeyOwners>,
}

impl KeyOwnerRecord {
    /// Orders the records of all holders.
    ///
    /// ```
    /// let record = |epoch, number| protocol::KeyOwnerRecord { epoch, number, ..Default::default() };
    /// assert!(record(3, 1).version() > record(2, 9).version());
    /// ```
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }
}

/// Asks a voter to keep a record in place of an older one.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KeyOwnersWrite {
    /// The record.
    #[prost(message, required, tag = "1")]
    pub record: KeyOwnerRecord,
    /// The identity of the disk that it is for. Another one may have lost newer records.
    #[prost(uint64, tag = "2")]
    pub disk: u64,
}

/// The answer to [`KeyOwnersWrite`]: what the voter's disk surely holds now.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KeyOwnersWritten {
    /// [`KeyOwnerRecord::epoch`] of the record on the disk; 0 where there is none.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// [`KeyOwnerRecord::number`] of that record.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// [`KeyOwnerRecord::voter_epoch`] of that record.
    #[prost(uint64, tag = "3")]
    pub voter_epoch: u64,
    /// The identity of the voter's disk.
    #[prost(uint64, tag = "4")]
    pub disk: u64,
}

/// Asks a voter for the record on its disk.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KeyOwnersRead {
    /// The epoch of the reader's lease, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
}

/// The answer to [`KeyOwnersRead`].
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct KeyOwnersReadBack {
    /// That of the request.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The record on the disk; none where the disk has none.
    #[prost(message, optional, tag = "2")]
    pub record: Option<KeyOwnerRecord>,
    /// The highest epoch that this voter granted to a candidate that keeps no record.
    #[prost(uint64, tag = "3")]
    pub unrecorded_epoch: u64,
    /// The identity of the voter's disk.
    #[prost(uint64, tag = "4")]
    pub disk: u64,
}
