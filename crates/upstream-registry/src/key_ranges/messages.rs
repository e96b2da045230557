//! What upstreams with numeric keys send in a heartbeat, and what they are answered. All ranges are inclusive.

/// A longer handover token is dropped, and its keys start without the previous owner's state.
pub const MAX_HANDOVER_TOKEN_BYTES: usize = 1024;

/// Keys that an upstream says it holds, and the fencing token under which they were granted.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldKeyRange {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Fencing token of the grant.
    pub fence: u64,
}

/// Keys that an upstream released, and the token with which the next owner takes over their state.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleasedKeyRange {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Handover token, opaque here.
    pub handover: String,
}

/// One heartbeat of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    /// Its sender.
    pub instance: String,
    /// Rises with each heartbeat of the instance.
    pub sequence: u64,
    /// What the sender holds or still works on.
    pub holdings: Vec<HeldKeyRange>,
    /// What the sender released since its last acknowledged heartbeat.
    pub released: Vec<ReleasedKeyRange>,
}

/// Keys that an upstream is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Fencing token; higher than that of any earlier grant of these keys.
    pub fence: u64,
    /// The previous owner's handover token, or empty.
    pub handover: String,
}

/// Keys and the upstream that owns them.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyAssignment {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Fencing token of the grant.
    pub fence: u64,
    /// The owner.
    pub instance: String,
}
