//! One drawn order of actions through a model, for worlds too large to be searched.

use crate::model::{Model, Trace, replay};

/// What a walk came to.
#[derive(Clone, Debug)]
pub struct Walked {
    pub depth: usize,
    /// The way to the violation, where there was one.
    pub violating: Option<Trace>,
}

/// Walks until the chooser has no more to say, no action is left, or an invariant breaks. The chooser gets the number
/// of actions and names one.
///
/// ```
/// use explorer::{LeaseBudget, LeaseModel, walk};
/// let mut left = 20;
/// let walked = walk(&LeaseModel::new(3, LeaseBudget::default()), |_| {
///     left -= 1;
///     (left > 0).then_some(0)
/// });
/// assert!(walked.violating.is_none());
/// ```
pub fn walk<M: Model>(model: &M, mut choose: impl FnMut(usize) -> Option<usize>) -> Walked {
    let mut state = model.initial();
    let mut choices = Vec::new();
    loop {
        let actions = model.actions(&state);
        let chosen = if actions.is_empty() { None } else { choose(actions.len()) };
        let Some((choice, action)) = chosen.and_then(|at| Some((at, *actions.get(at)?))) else { break };
        choices.push(choice);
        state = model.next(&state, action);
        if model.violation(&state).is_some() {
            return Walked { depth: choices.len(), violating: Some(replay(model, &choices)) };
        }
    }
    Walked { depth: choices.len(), violating: None }
}
