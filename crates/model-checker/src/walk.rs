//! One drawn order of actions through a model, for worlds too large to be searched.

use crate::model::{Model, Trace, replay};

/// What a walk may choose from.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// How many actions are possible.
    pub count: usize,
    /// How many of them, from the first on, are the usual course of things.
    pub usual: usize,
}

/// What a walk came to.
#[derive(Clone, Debug)]
pub struct Walked<S> {
    pub depth: usize,
    /// Where it ended.
    pub end: S,
    /// The way to the violation, where there was one.
    pub violating: Option<Trace>,
}

/// Walks until the chooser has no more to say, no action is left, or an invariant breaks. The chooser names one of
/// the actions by its place.
///
/// ```
/// use model_checker::{LeaseBudget, LeaseModel, walk};
/// let mut left = 20;
/// let walked = walk(&LeaseModel::new(3, LeaseBudget::default()), |_| {
///     left -= 1;
///     (left > 0).then_some(0)
/// });
/// assert!(walked.violating.is_none());
/// ```
pub fn walk<M: Model>(
    model: &M,
    mut choose: impl FnMut(Choice) -> Option<usize>,
) -> Walked<M::State> {
    let mut state = model.initial();
    let mut choices = Vec::new();
    loop {
        let actions = model.actions(&state);
        let chosen = if actions.is_empty() {
            None
        } else {
            choose(Choice {
                count: actions.len(),
                usual: model.usual_actions(&state).min(actions.len()),
            })
        };
        let Some((choice, action)) = chosen.and_then(|at| Some((at, *actions.get(at)?))) else {
            break;
        };
        choices.push(choice);
        state = model.next(&state, action);
        if model.violation(&state).is_some() {
            return Walked {
                depth: choices.len(),
                end: state,
                violating: Some(replay(model, &choices)),
            };
        }
    }
    Walked {
        depth: choices.len(),
        end: state,
        violating: None,
    }
}
