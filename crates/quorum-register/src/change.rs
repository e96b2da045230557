//! What operators ask of the word, and how the word changes by it.

use address::Code;
use parcel::{Submission, Word};

/// How many decided submissions the word remembers.
const MOST_SUBMISSIONS: usize = 256;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Put this setup in force; `base` is the edition it was made from, where that matters.
    /// With the operator's own number, one that is not above the number in force changes nothing.
    Setup { id: String, base: Option<u64>, number: Option<u64>, digest: String },
    /// Evacuate a locality, or take it back.
    Evacuate { id: String, locality: String, back: bool },
    /// Change nothing: only bring a half-done round to its end.
    Finish,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub code: Code,
    pub edition: u64,
}

/// Applies a change to the word. Decided ids keep their verdict.
///
/// ```
/// use address::Code;
/// use registered::{Change, apply};
/// let mut word = parcel::Word::default();
/// let change = |id: &str, base| Change::Setup { id: id.into(), base, number: None, digest: "d".into() };
/// assert_eq!(apply(&mut word, &change("a", Some(0))).edition, 1);
/// assert_eq!(apply(&mut word, &change("a", Some(0))).edition, 1);
/// assert_eq!(apply(&mut word, &change("b", Some(0))).code, Code::SetupBehind);
/// assert_eq!(apply(&mut word, &change("c", None)).edition, 2);
/// let numbered = |number| Change::Setup { id: "".into(), base: None, number: Some(number), digest: "e".into() };
/// assert_eq!(apply(&mut word, &numbered(7)).edition, 3);
/// assert_eq!(apply(&mut word, &numbered(5)).edition, 3, "the highest holds");
/// assert_eq!(apply(&mut parcel::Word::default(), &numbered(0)).edition, 1, "the first is new, whatever its number");
/// ```
pub fn apply(word: &mut Word, change: &Change) -> Verdict {
    let (id, asked) = match change {
        Change::Setup { id, base, digest, .. } => (id, format!("{digest} {base:?}")),
        Change::Evacuate { id, locality, back } => (id, format!("{locality} {back}")),
        Change::Finish => return Verdict { code: Code::Fine, edition: word.edition },
    };
    // Without an id, asking again finds it done.
    if id.is_empty() {
        return Verdict { code: change_word(word, change), edition: word.edition };
    }
    let decided = word.submissions.iter().find(|submission| submission.id == *id).map(|submission| Verdict {
        code: Some(submission)
            .filter(|submission| submission.asked == asked)
            .and_then(|submission| Code::from_number(submission.code))
            .unwrap_or(Code::IdReused),
        edition: submission.edition,
    });
    decided.unwrap_or_else(|| {
        let code = change_word(word, change);
        let submission = Submission { id: id.clone(), asked, edition: word.edition, code: code.number() };
        word.submissions.push(submission);
        let excess = word.submissions.len().saturating_sub(MOST_SUBMISSIONS);
        word.submissions.drain(..excess);
        Verdict { code, edition: word.edition }
    })
}

fn change_word(word: &mut Word, change: &Change) -> Code {
    match change {
        Change::Setup { base, .. } if base.is_some_and(|base| base != word.edition) => return Code::SetupBehind,
        Change::Setup { number: Some(number), .. } if *number <= word.number && !word.digest.is_empty() => {
            return Code::Fine;
        }
        Change::Setup { digest, number, .. } => {
            word.digest = digest.clone();
            word.number = number.unwrap_or(word.number);
        }
        Change::Evacuate { locality, back, .. } if word.evacuated.contains(locality) != *back => return Code::Fine,
        Change::Evacuate { locality, back, .. } => {
            word.evacuated.retain(|other| other != locality);
            word.evacuated.extend(Some(locality.clone()).filter(|_| !back));
        }
        Change::Finish => {}
    }
    word.edition += 1;
    Code::Fine
}
