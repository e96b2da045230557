//! What operators ask of the state, and how the state changes by it.

use protocol::{ClusterState, DecidedChange, LocalityChange, VersionedConfiguration};
use result_code::ResultCode;

/// How many decided submissions the state remembers.
const MAX_SUBMISSIONS: usize = 512;
/// How many an earlier version remembered, which did not count what it forgot.
const MAX_SUBMISSIONS_BEFORE: usize = 256;
/// How many numbers that were in force the state remembers, with what they stood for.
const MAX_NUMBERS: usize = 32;
/// Of how many localities the state remembers when they were evacuated or taken back.
const MAX_LOCALITY_CHANGES: usize = 64;
/// How much of a digest is kept of what an order asked for, in hexadecimal digits.
const SHORT_DIGEST: usize = 16;

/// By what an order is known when it comes again.
///
/// ```
/// # use quorum_register::ChangeId;
/// assert_eq!(ChangeId::from("a"), ChangeId { id: "a".into(), since: None });
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeId {
    /// Drawn by the operator; empty where the order bears none.
    pub id: String,
    /// How many orders had been decided, as the operator knew it before it sent this one for the first time. It shows
    /// that an order that is not remembered is new rather than forgotten.
    pub since: Option<u64>,
}

impl From<String> for ChangeId {
    fn from(id: String) -> Self {
        ChangeId { id, since: None }
    }
}

impl From<&str> for ChangeId {
    fn from(id: &str) -> Self {
        id.to_owned().into()
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Put this setup in force; `base` is the edition it was made from, where that matters.
    /// With the operator's own number, one that is not above the number in force changes nothing.
    Configuration {
        id: ChangeId,
        base: Option<u64>,
        number: Option<u64>,
        digest: String,
    },
    /// Evacuate a locality, or take it back. An order without an id bears the edition that a majority confirmed after
    /// it came: where the locality changed since, it has been as the order wants it, and nothing is done.
    Evacuate {
        id: ChangeId,
        locality: String,
        back: bool,
        seen: Option<u64>,
    },
    /// Let these vote from now on, where the voter set has this epoch: first together with those that vote now.
    BeginVoters { epoch: u64, voters: Vec<String> },
    /// Only the new voters vote from now on, where the joint voter set has this epoch.
    CompleteVoters { epoch: u64 },
    /// Change nothing: only bring a half-done round to its end.
    FinishRound,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    pub code: ResultCode,
    pub revision: u64,
}

/// Applies a change to the state. Decided ids keep their decision; an id that may have been decided and forgotten
/// changes nothing.
///
/// ```
/// use result_code::ResultCode;
/// use quorum_register::{Change, apply};
/// let mut state = protocol::ClusterState::default();
/// let change = |id: &str, base| Change::Configuration { id: id.into(), base, number: None, digest: "d".into() };
/// assert_eq!(apply(&mut state, &change("a", Some(0))).revision, 1);
/// assert_eq!(apply(&mut state, &change("a", Some(0))).revision, 1);
/// assert_eq!(apply(&mut state, &change("b", Some(0))).code, ResultCode::RevisionConflict);
/// assert_eq!(apply(&mut state, &change("c", None)).revision, 2);
/// let numbered = |number, digest: &str| {
///     Change::Configuration { id: "".into(), base: None, number: Some(number), digest: digest.into() }
/// };
/// assert_eq!(apply(&mut state, &numbered(7, "e")).revision, 3);
/// assert_eq!(apply(&mut state, &numbered(7, "f")).code, ResultCode::VersionConflict);
/// assert_eq!(apply(&mut state, &numbered(5, "e")).code, ResultCode::Superseded, "the highest holds");
/// let first = apply(&mut protocol::ClusterState::default(), &numbered(0, "e"));
/// assert_eq!(first.revision, 1, "the first is new, whatever its number");
/// ```
pub fn apply(state: &mut ClusterState, change: &Change) -> Decision {
    let order = match change {
        Change::Configuration { id, .. } | Change::Evacuate { id, .. } => id,
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::FinishRound => {
            return Decision {
                code: ResultCode::Success,
                revision: state.revision,
            };
        }
    };
    complete_older_version(state);
    // Without an id, asking again finds it done.
    if order.id.is_empty() {
        return Decision {
            code: change_state(state, change),
            revision: state.revision,
        };
    }
    if let Some(decided) = state
        .submissions
        .iter()
        .find(|submission| submission.id == order.id)
    {
        return first_decision(decided, change);
    }
    if may_be_forgotten(state, order, change) {
        return Decision {
            code: ResultCode::ChangeForgotten,
            revision: state.revision,
        };
    }
    let code = change_state(state, change);
    remember(state, order, change, code);
    Decision {
        code,
        revision: state.revision,
    }
}

/// Fills in what a state written by an earlier version lacks.
fn complete_older_version(state: &mut ClusterState) {
    if state.decided == 0 {
        let forgot_some = state.submissions.len() >= MAX_SUBMISSIONS_BEFORE;
        state.decided = state.submissions.len() as u64 + u64::from(forgot_some);
    }
    if state.numbers.is_empty() && state.number > 0 {
        remember_number(state, state.number, &state.digest.clone());
    }
}

/// What the change asks for, as it is remembered: an id cannot be used for two things.
fn asked(change: &Change) -> String {
    match change {
        Change::Configuration { base, digest, .. } => format!("{digest} {base:?}"),
        Change::Evacuate { locality, back, .. } => format!("{locality} {back}"),
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::FinishRound => {
            String::new()
        }
    }
}

fn short(text: &str) -> String {
    protocol::digest(text.as_bytes())
        .chars()
        .take(SHORT_DIGEST)
        .collect()
}

fn first_decision(decided: &DecidedChange, change: &Change) -> Decision {
    let asked = asked(change);
    // An earlier version kept what was asked for in full.
    let same = decided.asked == short(&asked) || decided.asked == asked;
    let code = ResultCode::from_number(decided.code)
        .filter(|_| same)
        .unwrap_or(ResultCode::IdReused);
    Decision {
        code,
        revision: decided.revision,
    }
}

/// True where an order that is not remembered cannot be told from one that was decided and forgotten.
fn may_be_forgotten(state: &ClusterState, order: &ChangeId, change: &Change) -> bool {
    let forgotten = state.decided.saturating_sub(state.submissions.len() as u64);
    if forgotten == 0
        || order
            .since
            .is_some_and(|since| (forgotten..=state.decided).contains(&since))
    {
        return false;
    }
    match change {
        // Done at most once by its number alone.
        Change::Configuration {
            number: Some(_),
            base: None,
            ..
        } => false,
        // Had it been decided, the edition would be past its base; and editions of what is forgotten are no higher
        // than the oldest that is remembered.
        Change::Configuration {
            base: Some(base), ..
        } => {
            let oldest = state
                .submissions
                .first()
                .map_or(state.revision, |oldest| oldest.revision);
            *base != state.revision && *base < oldest
        }
        _ => true,
    }
}

fn remember(state: &mut ClusterState, order: &ChangeId, change: &Change, code: ResultCode) {
    let (id, asked, revision) = (order.id.clone(), short(&asked(change)), state.revision);
    state.submissions.push(DecidedChange {
        id,
        asked,
        revision,
        code: code.number(),
    });
    state.decided += 1;
    let excess = state.submissions.len().saturating_sub(MAX_SUBMISSIONS);
    state.submissions.drain(..excess);
}

fn remember_number(state: &mut ClusterState, number: u64, digest: &str) {
    state.numbers.push(VersionedConfiguration {
        number,
        digest: short(digest),
    });
    let excess = state.numbers.len().saturating_sub(MAX_NUMBERS);
    state.numbers.drain(..excess);
}

/// What a setup with the operator's own number comes to where it changes nothing; none where it goes ahead.
fn decided_by_number(state: &ClusterState, number: u64, digest: &str) -> Option<ResultCode> {
    let first = state.digest.is_empty() || state.numbers.is_empty();
    match state.numbers.iter().find(|known| known.number == number) {
        Some(known) if known.digest == short(digest) => Some(ResultCode::Success),
        Some(_) => Some(ResultCode::VersionConflict),
        None if first || number > state.number => None,
        None => Some(ResultCode::Superseded),
    }
}

/// What an order without an id comes to where its locality may have changed since this edition.
fn decided_since(state: &ClusterState, locality: &str, seen: u64) -> Option<ResultCode> {
    let changes = &state.locality_changes;
    match changes.iter().find(|change| change.locality == locality) {
        Some(change) if change.revision > seen => Some(ResultCode::Success),
        Some(_) => None,
        // Its change may have been dropped.
        None if changes.len() >= MAX_LOCALITY_CHANGES && changes[0].revision > seen => {
            Some(ResultCode::StaleView)
        }
        None => None,
    }
}

fn remember_locality(state: &mut ClusterState, locality: &str) {
    state
        .locality_changes
        .retain(|change| change.locality != locality);
    let (locality, revision) = (locality.to_owned(), state.revision + 1);
    state
        .locality_changes
        .push(LocalityChange { locality, revision });
    let excess = state
        .locality_changes
        .len()
        .saturating_sub(MAX_LOCALITY_CHANGES);
    state.locality_changes.drain(..excess);
}

fn change_state(state: &mut ClusterState, change: &Change) -> ResultCode {
    match change {
        Change::Configuration { base, .. } if base.is_some_and(|base| base != state.revision) => {
            return ResultCode::RevisionConflict;
        }
        Change::Configuration { digest, number, .. } => {
            let decided = number.and_then(|number| decided_by_number(state, number, digest));
            if let Some(code) = decided {
                return code;
            }
            state.digest = digest.clone();
            if let Some(number) = *number {
                state.number = number;
                remember_number(state, number, digest);
            }
        }
        Change::Evacuate { locality, back, .. } if state.evacuated.contains(locality) != *back => {
            return ResultCode::Success;
        }
        Change::Evacuate {
            locality,
            back,
            seen,
            ..
        } => {
            let decided = seen.and_then(|seen| decided_since(state, locality, seen));
            if let Some(code) = decided {
                return code;
            }
            state.evacuated.retain(|other| other != locality);
            state
                .evacuated
                .extend(Some(locality.clone()).filter(|_| !back));
            remember_locality(state, locality);
        }
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::FinishRound => {}
    }
    state.revision += 1;
    ResultCode::Success
}

/// Applies a change of the voter set to a state. The state it starts from must be known to be chosen: so no second change
/// is begun before the first is decided, and every quorum that may decide shares a voter with any other that may.
/// Any other change leaves the voters as they are.
///
/// ```
/// use result_code::ResultCode;
/// use quorum_register::{Change, apply_to_voters};
/// let mut state = protocol::ClusterState::default();
/// state.voter_set.voters = vec!["a".into(), "b".into(), "c".into()];
/// let begin = Change::BeginVoters { epoch: 0, voters: vec!["a".into(), "b".into(), "d".into()] };
/// assert_eq!(apply_to_voters(&mut state.clone(), &begin, false), ResultCode::VoterChangePending);
/// assert_eq!(apply_to_voters(&mut state, &begin, true), ResultCode::Success);
/// assert_eq!(apply_to_voters(&mut state, &begin, true), ResultCode::VoterSetChanged);
/// assert_eq!(apply_to_voters(&mut state, &Change::CompleteVoters { epoch: 1 }, true), ResultCode::Success);
/// assert!(state.voter_set.contains("d") && !state.voter_set.contains("c"));
/// ```
pub fn apply_to_voters(state: &mut ClusterState, change: &Change, is_chosen: bool) -> ResultCode {
    let (epoch, after) = match change {
        Change::BeginVoters { epoch, voters } => {
            (*epoch, state.voter_set.begin_change(voters.clone()))
        }
        Change::CompleteVoters { epoch } => (*epoch, state.voter_set.complete_change()),
        Change::Configuration { .. } | Change::Evacuate { .. } | Change::FinishRound => {
            return ResultCode::Success;
        }
    };
    match after {
        _ if epoch != state.voter_set.epoch => ResultCode::VoterSetChanged,
        None => ResultCode::VoterSetChanged,
        Some(_) if !is_chosen => ResultCode::VoterChangePending,
        Some(after) => {
            state.voter_set = after;
            ResultCode::Success
        }
    }
}
