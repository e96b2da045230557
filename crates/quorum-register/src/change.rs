//! What operators ask of the state, and how the state changes by it.

use address::Code;
use protocol::{ClusterState, Submission};

/// How many decided submissions the state remembers.
const MAX_SUBMISSIONS: usize = 256;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Put this setup in force; `base` is the edition it was made from, where that matters.
    /// With the operator's own number, one that is not above the number in force changes nothing.
    Setup { id: String, base: Option<u64>, number: Option<u64>, digest: String },
    /// Evacuate a locality, or take it back.
    Evacuate { id: String, locality: String, back: bool },
    /// Let these vote from now on, where the voter set has this epoch: first together with those that vote now.
    BeginVoters { epoch: u64, voters: Vec<String> },
    /// Only the new voters vote from now on, where the joint voter set has this epoch.
    CompleteVoters { epoch: u64 },
    /// Change nothing: only bring a half-done round to its end.
    Finish,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    pub code: Code,
    pub edition: u64,
}

/// Applies a change to the state. Decided ids keep their decision.
///
/// ```
/// use address::Code;
/// use quorum_register::{Change, apply};
/// let mut state = protocol::ClusterState::default();
/// let change = |id: &str, base| Change::Setup { id: id.into(), base, number: None, digest: "d".into() };
/// assert_eq!(apply(&mut state, &change("a", Some(0))).edition, 1);
/// assert_eq!(apply(&mut state, &change("a", Some(0))).edition, 1);
/// assert_eq!(apply(&mut state, &change("b", Some(0))).code, Code::SetupBehind);
/// assert_eq!(apply(&mut state, &change("c", None)).edition, 2);
/// let numbered = |number| Change::Setup { id: "".into(), base: None, number: Some(number), digest: "e".into() };
/// assert_eq!(apply(&mut state, &numbered(7)).edition, 3);
/// assert_eq!(apply(&mut state, &numbered(5)).edition, 3, "the highest holds");
/// assert_eq!(apply(&mut protocol::ClusterState::default(), &numbered(0)).edition, 1, "the first is new, whatever its number");
/// ```
pub fn apply(state: &mut ClusterState, change: &Change) -> Decision {
    let (id, asked) = match change {
        Change::Setup { id, base, digest, .. } => (id, format!("{digest} {base:?}")),
        Change::Evacuate { id, locality, back } => (id, format!("{locality} {back}")),
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::Finish => {
            return Decision { code: Code::Fine, edition: state.edition };
        }
    };
    // Without an id, asking again finds it done.
    if id.is_empty() {
        return Decision { code: change_word(state, change), edition: state.edition };
    }
    let decided = state.submissions.iter().find(|submission| submission.id == *id).map(|submission| Decision {
        code: Some(submission)
            .filter(|submission| submission.asked == asked)
            .and_then(|submission| Code::from_number(submission.code))
            .unwrap_or(Code::IdReused),
        edition: submission.edition,
    });
    decided.unwrap_or_else(|| {
        let code = change_word(state, change);
        let submission = Submission { id: id.clone(), asked, edition: state.edition, code: code.number() };
        state.submissions.push(submission);
        let excess = state.submissions.len().saturating_sub(MAX_SUBMISSIONS);
        state.submissions.drain(..excess);
        Decision { code, edition: state.edition }
    })
}

fn change_word(state: &mut ClusterState, change: &Change) -> Code {
    match change {
        Change::Setup { base, .. } if base.is_some_and(|base| base != state.edition) => return Code::SetupBehind,
        Change::Setup { number: Some(number), .. } if *number <= state.number && !state.digest.is_empty() => {
            return Code::Fine;
        }
        Change::Setup { digest, number, .. } => {
            state.digest = digest.clone();
            state.number = number.unwrap_or(state.number);
        }
        Change::Evacuate { locality, back, .. } if state.evacuated.contains(locality) != *back => return Code::Fine,
        Change::Evacuate { locality, back, .. } => {
            state.evacuated.retain(|other| other != locality);
            state.evacuated.extend(Some(locality.clone()).filter(|_| !back));
        }
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } | Change::Finish => {}
    }
    state.edition += 1;
    Code::Fine
}

/// Applies a change of the voter set to a state. The state it starts from must be known to be chosen: so no second change
/// is begun before the first is decided, and every quorum that may decide shares a voter with any other that may.
/// Any other change leaves the voters as they are.
///
/// ```
/// use address::Code;
/// use quorum_register::{Change, apply_to_voters};
/// let mut state = protocol::ClusterState::default();
/// state.voter_set.voters = vec!["a".into(), "b".into(), "c".into()];
/// let begin = Change::BeginVoters { epoch: 0, voters: vec!["a".into(), "b".into(), "d".into()] };
/// assert_eq!(apply_to_voters(&mut state.clone(), &begin, false), Code::VotersBusy);
/// assert_eq!(apply_to_voters(&mut state, &begin, true), Code::Fine);
/// assert_eq!(apply_to_voters(&mut state, &begin, true), Code::VotersBehind);
/// assert_eq!(apply_to_voters(&mut state, &Change::CompleteVoters { epoch: 1 }, true), Code::Fine);
/// assert!(state.voter_set.contains("d") && !state.voter_set.contains("c"));
/// ```
pub fn apply_to_voters(state: &mut ClusterState, change: &Change, is_chosen: bool) -> Code {
    let (epoch, after) = match change {
        Change::BeginVoters { epoch, voters } => (*epoch, state.voter_set.begin_change(voters.clone())),
        Change::CompleteVoters { epoch } => (*epoch, state.voter_set.complete_change()),
        Change::Setup { .. } | Change::Evacuate { .. } | Change::Finish => return Code::Fine,
    };
    match after {
        _ if epoch != state.voter_set.epoch => Code::VotersBehind,
        None => Code::VotersBehind,
        Some(_) if !is_chosen => Code::VotersBusy,
        Some(after) => {
            state.voter_set = after;
            Code::Fine
        }
    }
}
