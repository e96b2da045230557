//! What upstreams with numeric keys say in a heartbeat, and what they are answered.

/// A longer handover token is dropped, and its keys start cold.
pub const MAX_HANDOVER_TOKEN_BYTES: usize = 1024;

/// Keys and the fence they were given under.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldKeyRange {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
}

/// Keys let go, and the token that makes them warm elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleasedKeyRange {
    pub from: u32,
    pub to: u32,
    pub handover: String,
}

/// What an upstream says in one call.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    pub instance: String,
    pub sequence: u64,
    /// What it holds or still works on.
    pub holdings: Vec<HeldKeyRange>,
    /// What it let go since its last acknowledged heartbeat.
    pub released: Vec<ReleasedKeyRange>,
}

/// Keys an upstream is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    /// The last holder's token, or empty.
    pub handover: String,
}

/// Keys and who holds them.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyAssignment {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    pub instance: String,
}
