//! One node's record: which of two records counts, its digest, and its form on the wire.

use protocol::{Member, Message};

/// How many distances there are.
pub(crate) const DISTANCES: usize = 3;
/// Distance within one zone.
pub(crate) const SAME_ZONE: usize = 0;
/// Distance between two zones of one region.
pub(crate) const SAME_REGION: usize = 1;
/// Distance between two regions.
pub(crate) const OTHER_REGION: usize = 2;

/// True where `update` is newer than `known`: a higher incarnation, or a later state in the same one.
///
/// ```
/// use protocol::{Member, MemberState};
/// use membership::supersedes;
/// let alive = Member { incarnation: 3, state: MemberState::Alive.into(), ..Default::default() };
/// let suspect = Member { incarnation: 3, state: MemberState::Suspect.into(), ..Default::default() };
/// let refuted = Member { incarnation: 4, state: MemberState::Alive.into(), ..Default::default() };
/// assert!(supersedes(&suspect, &alive));
/// assert!(supersedes(&refuted, &suspect));
/// assert!(!supersedes(&alive, &suspect));
/// ```
pub fn supersedes(update: &Member, known: &Member) -> bool {
    (update.incarnation, update.state()) > (known.incarnation, known.state())
}

/// A number for all fields of a record: equal records have the same on every node.
pub(crate) fn digest(member: &Member) -> u64 {
    random::stable_hash_bytes(member.encode_to_vec())
}

/// The record as it is sent: the link address is left out where it is the probe address.
pub(crate) fn compact(member: &Member) -> Member {
    let mut compact = member.clone();
    if compact.link_address == compact.probe_address {
        compact.link_address.clear();
    }
    compact
}

/// The record as it is stored, with its link address.
pub(crate) fn expand(mut member: Member) -> Member {
    if member.link_address.is_empty() {
        member.link_address = member.probe_address.clone();
    }
    member
}

/// How far two nodes are apart: [`SAME_ZONE`], [`SAME_REGION`] or [`OTHER_REGION`].
pub(crate) fn distance(a: &Member, b: &Member) -> usize {
    if a.locality == b.locality {
        SAME_ZONE
    } else if region(a) == region(b) {
        SAME_REGION
    } else {
        OTHER_REGION
    }
}

fn region(member: &Member) -> Option<&str> {
    member.locality.split('/').next()
}
