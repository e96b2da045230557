//! Which of two records about a node counts.

use protocol::{Member, Message};
use random::Random;

/// True where `told` is newer than `known`: a higher incarnation, or the worse condition in the same one.
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
pub fn supersedes(told: &Member, known: &Member) -> bool {
    (told.incarnation, told.state) > (known.incarnation, known.state)
}

/// A number for all that a record says: equal records have the same on every node.
pub(crate) fn mark(member: &Member) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    Random::new(
        member
            .encode_to_vec()
            .into_iter()
            .fold(0xcbf2_9ce4_8422_2325, fold),
    )
    .next_u64()
}

/// The record as it travels: one address for links and probes is told once.
pub(crate) fn folded(member: &Member) -> Member {
    let same = member.link_address == member.probe_address;
    let link_address = if same {
        String::new()
    } else {
        member.link_address.clone()
    };
    Member {
        link_address,
        ..member.clone()
    }
}

/// The record as it is known.
pub(crate) fn unfolded(member: Member) -> Member {
    let link_address = if member.link_address.is_empty() {
        member.probe_address.clone()
    } else {
        member.link_address.clone()
    };
    Member {
        link_address,
        ..member
    }
}

/// 0 within one zone, 1 within one region, 2 beyond.
pub(crate) fn distance(a: &Member, b: &Member) -> usize {
    let region = |member: &Member| member.locality.split('/').next().map(str::to_owned);
    usize::from(a.locality != b.locality) + usize::from(region(a) != region(b))
}
