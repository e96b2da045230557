//! One drawn order of actions through a model, for worlds too large to be searched.

use crate::model::{Model, Trace, replay};

/// What a walk may choose from.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// How many actions are possible.
    pub count: usize,
    /// How many of them, from the first on, are the usual course of events.
    pub usual: usize,
}

/// The result of a walk.
#[derive(Clone, Debug)]
pub struct RandomWalk<S> {
    /// How many actions were taken.
    pub depth: usize,
    /// The last state.
    pub end: S,
    /// The way to the violation, where there was one.
    pub counterexample: Option<Trace>,
}

/// Walks until the chooser returns none, no action is left, or an invariant breaks. The chooser returns the
/// index of one of the actions.
///
/// ```
/// use model_checker::{LeaseBudget, LeaseModel, walk};
/// let mut remaining = 20;
/// let random_walk = walk(&LeaseModel::new(3, LeaseBudget::default()), |_| {
///     remaining -= 1;
///     (remaining > 0).then_some(0)
/// });
/// assert!(random_walk.counterexample.is_none());
/// ```
pub fn walk<M: Model>(
    model: &M,
    mut choose: impl FnMut(Choice) -> Option<usize>,
) -> RandomWalk<M::State> {
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
            return RandomWalk {
                depth: choices.len(),
                end: state,
                counterexample: Some(replay(model, &choices)),
            };
        }
    }
    RandomWalk {
        depth: choices.len(),
        end: state,
        counterexample: None,
    }
}
