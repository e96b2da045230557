//! Which of two records about a node counts.

use parcel::Member;

/// It answers.
pub const ALIVE: u32 = 0;
/// It was silent to its prober and to third parties.
pub const SUSPECT: u32 = 1;
/// It did not refute in time.
pub const GONE: u32 = 2;
/// It said good-bye.
pub const LEFT: u32 = 3;

/// True where `told` is newer than `known`: a higher incarnation, or the worse condition in the same one.
///
/// ```
/// use parcel::Member;
/// use rounds::{ALIVE, SUSPECT, supersedes};
/// let alive = Member { incarnation: 3, condition: ALIVE, ..Default::default() };
/// let suspect = Member { incarnation: 3, condition: SUSPECT, ..Default::default() };
/// let refuted = Member { incarnation: 4, condition: ALIVE, ..Default::default() };
/// assert!(supersedes(&suspect, &alive));
/// assert!(supersedes(&refuted, &suspect));
/// assert!(!supersedes(&alive, &suspect));
/// ```
pub fn supersedes(told: &Member, known: &Member) -> bool {
    (told.incarnation, told.condition) > (known.incarnation, known.condition)
}
