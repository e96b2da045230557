//! How a state changes by what operators ask for. Every node that applies a change to a state comes to the same result.

use crate::change::{Change, ChangeId, Decision};
use protocol::{ClusterState, DecidedChange, LocalityChange, VersionedConfiguration};
use result_code::ResultCode;

/// How many decided changes the state remembers.
const MAX_SUBMISSIONS: usize = 512;
/// How many an earlier version remembered, which did not count those it forgot.
const MAX_SUBMISSIONS_BEFORE: usize = 256;
/// How many configuration versions that were in force the state remembers, with their digests.
const MAX_VERSIONS: usize = 32;
/// Of how many localities the state remembers when they were evacuated or restored.
const MAX_LOCALITY_CHANGES: usize = 64;
/// How many hexadecimal digits of a digest the state remembers.
const SHORT_DIGEST_LENGTH: usize = 16;

/// Applies a change to the state. An id that was decided keeps its decision; one that may have been decided and
/// forgotten changes nothing. Changes of the voters are left to [`apply_to_voters`].
///
/// ```
/// use result_code::ResultCode;
/// use quorum_register::{Change, apply};
/// let mut state = protocol::ClusterState::default();
/// let change = |id: &str, base_revision| {
///     Change::Configuration { id: id.into(), base_revision, version: None, digest: "d".into() }
/// };
/// assert_eq!(apply(&mut state, &change("a", Some(0))).revision, 1);
/// assert_eq!(apply(&mut state, &change("a", Some(0))).revision, 1);
/// assert_eq!(apply(&mut state, &change("b", Some(0))).code, ResultCode::RevisionConflict);
/// assert_eq!(apply(&mut state, &change("c", None)).revision, 2);
/// let versioned = |version, digest: &str| {
///     Change::Configuration { id: "".into(), base_revision: None, version: Some(version), digest: digest.into() }
/// };
/// assert_eq!(apply(&mut state, &versioned(7, "e")).revision, 3);
/// assert_eq!(apply(&mut state, &versioned(7, "f")).code, ResultCode::VersionConflict);
/// assert_eq!(apply(&mut state, &versioned(5, "e")).code, ResultCode::Superseded, "the highest holds");
/// let first = apply(&mut protocol::ClusterState::default(), &versioned(0, "e"));
/// assert_eq!(first.revision, 1, "the first is new, whatever its version");
/// ```
pub fn apply(state: &mut ClusterState, change: &Change) -> Decision {
    let code = match change.id() {
        Some(id) => {
            complete_older_version(state);
            if let Some(decision) = remembered_decision(state, id, change) {
                return decision;
            }
            apply_operator_change(state, id, change)
        }
        None => ResultCode::Success,
    };
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
        remember_version(state, state.number, &state.digest.clone());
    }
}

/// Applies a change that is not remembered. Without an id nothing is remembered: a change that is submitted again finds
/// its result in the state.
fn apply_operator_change(state: &mut ClusterState, id: &ChangeId, change: &Change) -> ResultCode {
    if id.id.is_empty() {
        return change_state(state, change);
    }
    if may_be_forgotten(state, id, change) {
        return ResultCode::ChangeForgotten;
    }
    let code = change_state(state, change);
    remember(state, id, change, code);
    code
}

/// The decision on a change that was submitted before under the same id.
fn remembered_decision(state: &ClusterState, id: &ChangeId, change: &Change) -> Option<Decision> {
    if id.id.is_empty() {
        return None;
    }
    let decided = state
        .submissions
        .iter()
        .find(|submission| submission.id == id.id)?;
    let content = content_of(change);
    // An earlier version remembered the content in full.
    let is_same = decided.asked == short_digest(&content) || decided.asked == content;
    let code = if is_same {
        ResultCode::from_number(decided.code).unwrap_or(ResultCode::IdReused)
    } else {
        ResultCode::IdReused
    };
    Some(Decision {
        code,
        revision: decided.revision,
    })
}

/// What the change asks for. It is remembered with the id, which must not be used for two things. The text is part of
/// the replicated state and must not change.
fn content_of(change: &Change) -> String {
    match change {
        Change::Configuration {
            base_revision,
            digest,
            ..
        } => format!("{digest} {base_revision:?}"),
        Change::Evacuate {
            locality, restore, ..
        } => format!("{locality} {restore}"),
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::FinishRound => {
            String::new()
        }
    }
}

fn short_digest(text: &str) -> String {
    protocol::digest(text.as_bytes())
        .chars()
        .take(SHORT_DIGEST_LENGTH)
        .collect()
}

/// True where a change that is not remembered can't be told from one that was decided and forgotten.
fn may_be_forgotten(state: &ClusterState, id: &ChangeId, change: &Change) -> bool {
    let forgotten = state.decided.saturating_sub(state.submissions.len() as u64);
    let is_known_new = |since| (forgotten..=state.decided).contains(&since);
    if forgotten == 0 || id.since.is_some_and(is_known_new) {
        return false;
    }
    match change {
        // Done at most once by its version alone.
        Change::Configuration {
            version: Some(_),
            base_revision: None,
            ..
        } => false,
        // Had it been decided, the revision would be past its base; and revisions of what is forgotten are no higher
        // than the oldest that is remembered.
        Change::Configuration {
            base_revision: Some(base),
            ..
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

fn remember(state: &mut ClusterState, id: &ChangeId, change: &Change, code: ResultCode) {
    state.submissions.push(DecidedChange {
        id: id.id.clone(),
        asked: short_digest(&content_of(change)),
        revision: state.revision,
        code: code.number(),
    });
    state.decided += 1;
    drop_oldest(&mut state.submissions, MAX_SUBMISSIONS);
}

fn remember_version(state: &mut ClusterState, version: u64, digest: &str) {
    state.numbers.push(VersionedConfiguration {
        number: version,
        digest: short_digest(digest),
    });
    drop_oldest(&mut state.numbers, MAX_VERSIONS);
}

fn remember_locality(state: &mut ClusterState, locality: &str) {
    state
        .locality_changes
        .retain(|change| change.locality != locality);
    state.locality_changes.push(LocalityChange {
        locality: locality.to_owned(),
        revision: state.revision + 1,
    });
    drop_oldest(&mut state.locality_changes, MAX_LOCALITY_CHANGES);
}

fn drop_oldest<T>(entries: &mut Vec<T>, max_entries: usize) {
    let excess = entries.len().saturating_sub(max_entries);
    entries.drain(..excess);
}

/// What becomes of a configuration with the operator's version where it changes nothing; none where it goes ahead.
fn decided_by_version(state: &ClusterState, version: u64, digest: &str) -> Option<ResultCode> {
    let is_first = state.digest.is_empty() || state.numbers.is_empty();
    match state.numbers.iter().find(|known| known.number == version) {
        Some(known) if known.digest == short_digest(digest) => Some(ResultCode::Success),
        Some(_) => Some(ResultCode::VersionConflict),
        None if is_first || version > state.number => None,
        None => Some(ResultCode::Superseded),
    }
}

/// What becomes of a change without an id where its locality may have changed since this revision.
fn decided_since(
    state: &ClusterState,
    locality: &str,
    confirmed_revision: u64,
) -> Option<ResultCode> {
    let changes = &state.locality_changes;
    match changes.iter().find(|change| change.locality == locality) {
        Some(change) if change.revision > confirmed_revision => Some(ResultCode::Success),
        Some(_) => None,
        // Its change may have been dropped.
        None if changes.len() >= MAX_LOCALITY_CHANGES
            && changes[0].revision > confirmed_revision =>
        {
            Some(ResultCode::StaleView)
        }
        None => None,
    }
}

fn change_state(state: &mut ClusterState, change: &Change) -> ResultCode {
    let rejection = match change {
        Change::Configuration {
            base_revision,
            version,
            digest,
            ..
        } => put_configuration(state, *base_revision, *version, digest),
        Change::Evacuate {
            locality,
            restore,
            confirmed_revision,
            ..
        } => evacuate(state, locality, *restore, *confirmed_revision),
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::FinishRound => None,
    };
    if let Some(code) = rejection {
        return code;
    }
    state.revision += 1;
    ResultCode::Success
}

/// Puts a configuration in force, or returns why nothing changed.
fn put_configuration(
    state: &mut ClusterState,
    base_revision: Option<u64>,
    version: Option<u64>,
    digest: &str,
) -> Option<ResultCode> {
    if base_revision.is_some_and(|base| base != state.revision) {
        return Some(ResultCode::RevisionConflict);
    }
    if let Some(version) = version {
        let decided = decided_by_version(state, version, digest);
        if decided.is_some() {
            return decided;
        }
        state.number = version;
        remember_version(state, version, digest);
    }
    state.digest = digest.to_owned();
    None
}

/// Evacuates or restores a locality, or returns why nothing changed.
fn evacuate(
    state: &mut ClusterState,
    locality: &str,
    restore: bool,
    confirmed_revision: Option<u64>,
) -> Option<ResultCode> {
    let is_evacuated = state.evacuated.iter().any(|other| other == locality);
    if is_evacuated != restore {
        return Some(ResultCode::Success);
    }
    if let Some(confirmed_revision) = confirmed_revision {
        let decided = decided_since(state, locality, confirmed_revision);
        if decided.is_some() {
            return decided;
        }
    }
    state.evacuated.retain(|other| other != locality);
    if !restore {
        state.evacuated.push(locality.to_owned());
    }
    remember_locality(state, locality);
    None
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
    let (epoch, changed) = match change {
        Change::BeginVoters { epoch, voters } => {
            (*epoch, state.voter_set.begin_change(voters.clone()))
        }
        Change::CompleteVoters { epoch } => (*epoch, state.voter_set.complete_change()),
        Change::Configuration { .. } | Change::Evacuate { .. } | Change::FinishRound => {
            return ResultCode::Success;
        }
    };
    match changed {
        _ if epoch != state.voter_set.epoch => ResultCode::VoterSetChanged,
        None => ResultCode::VoterSetChanged,
        Some(_) if !is_chosen => ResultCode::VoterChangePending,
        Some(voter_set) => {
            state.voter_set = voter_set;
            ResultCode::Success
        }
    }
}
