//! What must never happen between a client and scripted upstreams.

use super::{Fact, Told, work};

/// A rule that was broken, and by which try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// It was told of a success that is not its own, whole answer.
    NotItsOwn { try_id: String },
    /// It may run once, and more than one upstream may have run it.
    RanTwice { try_id: String },
    /// It was told that it did not run, and an upstream may have run it.
    FalselyRefused { try_id: String },
    /// It was told nothing, or more than once.
    NotToldOnce { try_id: String },
}

/// Judges all that happened.
///
/// ```
/// use testbed::scripted::{Breach, Fact, Told, judge};
/// let asked = Fact::Asked { try_id: "t".into(), once: true };
/// let told = Fact::Told { try_id: "t".into(), told: Told::Unknown };
/// assert_eq!(judge(&[asked.clone(), told]), vec![]);
/// assert_eq!(judge(&[asked]), vec![Breach::NotToldOnce { try_id: "t".into() }]);
/// ```
pub fn judge(facts: &[Fact]) -> Vec<Breach> {
    let asked = facts.iter().filter_map(|fact| match fact {
        Fact::Asked { try_id, once } => Some((try_id, *once)),
        _ => None,
    });
    asked
        .flat_map(|(try_id, once)| judge_one(facts, try_id, once))
        .collect()
}

fn judge_one(facts: &[Fact], id: &str, once: bool) -> Vec<Breach> {
    let count = |of: fn(&Fact) -> Option<&String>| {
        facts
            .iter()
            .filter(|fact| of(fact).is_some_and(|of| of == id))
            .count()
    };
    let arrived = count(|fact| match fact {
        Fact::Arrived { try_id } => Some(try_id),
        _ => None,
    });
    let said_not_run = count(|fact| match fact {
        Fact::SaidNotRun { try_id } => Some(try_id),
        _ => None,
    });
    let answered = count(|fact| match fact {
        Fact::Answered { try_id } => Some(try_id),
        _ => None,
    });
    let told: Vec<&Told> = facts
        .iter()
        .filter_map(|fact| match fact {
            Fact::Told { try_id, told } if try_id == id => Some(told),
            _ => None,
        })
        .collect();
    let may_have_run = arrived.saturating_sub(said_not_run);
    let foreign = |told: &&Told| match told {
        Told::Success { body } => answered == 0 || *body != work(id).as_bytes(),
        _ => false,
    };
    let try_id = || id.to_owned();
    let breaches = [
        (
            told.iter().any(foreign),
            Breach::NotItsOwn { try_id: try_id() },
        ),
        (
            once && may_have_run > 1,
            Breach::RanTwice { try_id: try_id() },
        ),
        (
            told.contains(&&Told::NotRun) && may_have_run > 0,
            Breach::FalselyRefused { try_id: try_id() },
        ),
        (told.len() != 1, Breach::NotToldOnce { try_id: try_id() }),
    ];
    breaches
        .into_iter()
        .filter(|(broken, _)| *broken)
        .map(|(_, breach)| breach)
        .collect()
}
