//! What a model has to offer so that it can be searched, and what is reported of a violation.

use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::{Hash, Hasher};

/// What must hold in every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// One chosen state for each ballot and revision, and every later one derives from it.
    SingleHistory,
    /// What was acknowledged to an operator as accepted is in every later chosen state and on a majority of disks.
    AcceptedIsDurable,
    /// A confirmed read is not older than anything confirmed before it was requested.
    LinearizableReads,
    /// A submission is executed once, however often it is retried, and its decision stays the same.
    ExactlyOnceExecution,
    /// Two submissions under one version are not both accepted with different content.
    UniqueVersions,
    /// A state is chosen only where a majority of its voters store its configuration.
    ConfigurationIsStored,
    /// The voters change by one step at a time: begun, chosen, completed, chosen.
    SingleStepVoterChange,
    /// At most one node holds the lease.
    SingleLeaseHolder,
    /// No lease epoch is held twice, and each is above all before it.
    MonotonicEpochs,
}

/// An invariant that does not hold, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What does not hold.
    pub invariant: Invariant,
    /// What was seen instead.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// A closed world with a finite choice of actions in each state.
pub trait Model: Sync {
    /// One state of the world.
    type State: Clone + Send + Sync;
    /// Something that may happen in a state.
    type Action: Copy + Send + Sync;

    /// Where every search and walk begins.
    fn initial(&self) -> Self::State;

    /// Every action that may come next, in an order that depends on the state alone.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// How many of them, from the first on, are the usual course of events, for walks that draw them more often.
    fn usual_actions(&self, state: &Self::State) -> usize;

    /// The state that an action leads to.
    fn next(&self, state: &Self::State, action: Self::Action) -> Self::State;

    /// True where whatever can follow on `after` can follow on `before` too, so that a search need not go there.
    fn is_redundant(&self, before: &Self::State, after: &Self::State) -> bool;

    /// The first violation on the way to this state.
    fn violation<'a>(&self, state: &'a Self::State) -> Option<&'a Violation>;

    /// States with the same fingerprint go on alike.
    fn fingerprint(&self, state: &Self::State) -> u64;

    /// An action in words, for a trace.
    fn describe(&self, state: &Self::State, action: Self::Action) -> String;
}

/// The way from a model's first state to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Each action by its index among those that were possible: enough to replay it.
    pub choices: Vec<usize>,
    /// The same in words.
    pub steps: Vec<String>,
    /// The violation that it ends with, if any.
    pub violation: Option<Violation>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>4}. {step}", at + 1)?;
        }
        if let Some(violation) = &self.violation {
            writeln!(f, "   => {violation}")?;
        }
        let choices: Vec<String> = self.choices.iter().map(usize::to_string).collect();
        write!(f, "replay: {}", choices.join(","))
    }
}

/// Takes the actions with these indexes and reports what happens, up to the first violation or impossible choice.
///
/// ```
/// use model_checker::{LeaseBudget, LeaseModel, replay};
/// let model = LeaseModel::new(3, LeaseBudget::default());
/// let trace = replay(&model, &[0, 0]);
/// assert_eq!(trace.steps.len(), 2);
/// assert_eq!(trace.violation, None);
/// ```
pub fn replay<M: Model>(model: &M, choices: &[usize]) -> Trace {
    let mut state = model.initial();
    let mut trace = Trace::default();
    for choice in choices {
        let Some(action) = model.actions(&state).get(*choice).copied() else {
            break;
        };
        trace.choices.push(*choice);
        trace.steps.push(model.describe(&state, action));
        state = model.next(&state, action);
        trace.violation = model.violation(&state).cloned();
        if trace.violation.is_some() {
            break;
        }
    }
    trace
}

/// A hash that is the same in every process.
pub(crate) fn fingerprint_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A node's name in the models.
pub(crate) fn node_name(at: usize) -> String {
    format!("v{at}")
}

/// The index of the node with this name.
pub(crate) fn node_index(name: &str) -> usize {
    name.trim_start_matches('v').parse().unwrap_or(usize::MAX)
}
