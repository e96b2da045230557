//! The bounded explorer of the register and the lease, with budgets from the command line.

use crate::arguments::ArgumentError;
use model_checker::{
    ControlBudget, ControlModel, ControlScenario, LeaseBudget, LeaseModel, Limits, Model,
    RegisterModel, RegisterScenario, Schedule, control_scenarios, lease_scenarios,
    register_scenarios, replay, search,
};
use std::time::Duration;

/// How many voters the models may have.
const VOTERS: std::ops::RangeInclusive<usize> = 1..=7;
/// The voters of a lease's scenario without `--voters`.
const LEASE_VOTERS: usize = 3;

/// What to explore, and how far.
#[derive(Default)]
pub struct Exploration {
    scenario: Option<String>,
    voters: Option<usize>,
    depth: Option<usize>,
    states: Option<u64>,
    seconds: Option<u64>,
    /// How many messages and disks may be delayed.
    delays: Option<u8>,
    crashes: Option<u8>,
    wipes: Option<u8>,
    replay: Option<Vec<usize>>,
}

impl Exploration {
    /// Takes a flag of this subcommand.
    pub fn read_flag(&mut self, name: &str, value: &str) -> Result<(), ArgumentError> {
        match name {
            "scenario" => self.scenario = Some(value.to_owned()),
            "voters" => {
                let voters: usize = parse(name, value)?;
                if !VOTERS.contains(&voters) {
                    return Err(ArgumentError::invalid(name, value, ""));
                }
                self.voters = Some(voters);
            }
            "depth" => self.depth = Some(parse(name, value)?),
            "states" => self.states = Some(parse(name, value)?),
            "seconds" => self.seconds = Some(parse(name, value)?),
            "strays" => self.delays = Some(parse(name, value)?),
            "crashes" => self.crashes = Some(parse(name, value)?),
            "wipes" => self.wipes = Some(parse(name, value)?),
            "replay" => {
                let choices: Result<Vec<usize>, ArgumentError> =
                    value.split(',').map(|choice| parse(name, choice)).collect();
                let invalid = |_| ArgumentError::invalid(name, value, "");
                self.replay = Some(choices.map_err(invalid)?);
            }
            _ => return Err(ArgumentError::UnknownFlag(name.to_owned())),
        }
        Ok(())
    }

    fn limits(&self) -> Limits {
        let default = Limits::default();
        let threads =
            std::thread::available_parallelism().map_or(4, |count| usize::from(count).div_ceil(2));
        Limits {
            depth: self.depth.unwrap_or(default.depth),
            states: self.states.unwrap_or(default.states),
            time: self.seconds.map_or(default.time, Duration::from_secs),
            threads,
        }
    }

    fn is_wanted(&self, name: &str) -> bool {
        self.scenario.as_ref().is_none_or(|wanted| wanted == name)
    }

    fn schedule(&self, schedule: Schedule) -> Schedule {
        self.delays
            .map_or(schedule, |delays| Schedule::InOrder { delays })
    }

    fn scenario(&self, mut scenario: RegisterScenario) -> RegisterScenario {
        let voters = self.voters.unwrap_or(scenario.voters);
        // Replicas are named after the voters.
        let moved = voters.saturating_sub(scenario.voters);
        for replacement in &mut scenario.replacements {
            replacement.removed += moved;
            replacement.successor += moved;
        }
        scenario.voters = voters;
        scenario.schedule = self.schedule(scenario.schedule);
        scenario.budget.crashes = self.crashes.unwrap_or(scenario.budget.crashes);
        scenario.budget.wipes = self.wipes.unwrap_or(scenario.budget.wipes);
        scenario
    }

    /// With as many voters as the scenario has: it names each of them.
    fn control_scenario(&self, scenario: ControlScenario) -> ControlScenario {
        let budget = ControlBudget {
            schedule: self.schedule(scenario.budget.schedule),
            crashes: self.crashes.unwrap_or(scenario.budget.crashes),
            wipes: self.wipes.unwrap_or(scenario.budget.wipes),
            ..scenario.budget
        };
        ControlScenario { budget, ..scenario }
    }

    fn lease_budget(&self, budget: LeaseBudget) -> LeaseBudget {
        LeaseBudget {
            schedule: self.schedule(budget.schedule),
            crashes: self.crashes.unwrap_or(budget.crashes),
            wipes: self.wipes.unwrap_or(budget.wipes),
            ..budget
        }
    }

    /// Explores one model and prints what was seen; true where no invariant broke.
    fn explore<M: Model>(&self, name: &str, model: &M) -> bool {
        if let Some(choices) = &self.replay {
            let trace = replay(model, choices);
            println!("{trace}");
            return trace.violation.is_none();
        }
        let report = search(model, self.limits());
        let end = if report.complete {
            "searched to the end"
        } else {
            "bounded"
        };
        println!(
            "{name:<26} {:>9} states {:>9} transitions, depth {:>3}, {end}, {:.1} s",
            report.states,
            report.transitions,
            report.depth,
            report.time.as_secs_f64()
        );
        if let Some(trace) = &report.counterexample {
            println!("{trace}");
        }
        report.counterexample.is_none()
    }
}

fn parse<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, ArgumentError> {
    let parsed = value.parse();
    parsed.map_err(|_| ArgumentError::invalid(name, value, ""))
}

fn scenario_names() -> Vec<&'static str> {
    let registers = register_scenarios();
    let leases = lease_scenarios();
    let controls = control_scenarios();
    let mut names = Vec::new();
    names.extend(registers.iter().map(|scenario| scenario.name));
    names.extend(leases.iter().map(|(name, _)| *name));
    names.extend(controls.iter().map(|scenario| scenario.name));
    names
}

/// Rejects a scenario that does not exist, and a trace without the scenario that it is of.
pub fn check(exploration: &Exploration) -> Result<(), ArgumentError> {
    let names = scenario_names();
    if !names.iter().any(|name| exploration.is_wanted(name)) {
        let text = format!("--scenario: one of {}", names.join(", "));
        return Err(ArgumentError::Conflict(text));
    }
    if exploration.replay.is_some() && exploration.scenario.is_none() {
        let text = "--replay wants the --scenario that the trace is of".to_owned();
        return Err(ArgumentError::Conflict(text));
    }
    Ok(())
}

/// Explores all that is wanted, also after a violation; true where no invariant broke.
pub fn run(exploration: &Exploration) -> bool {
    let mut succeeded = true;
    for scenario in register_scenarios() {
        if exploration.is_wanted(scenario.name) {
            let name = scenario.name;
            let model = RegisterModel::new(exploration.scenario(scenario));
            succeeded &= exploration.explore(name, &model);
        }
    }
    let voters = exploration.voters.unwrap_or(LEASE_VOTERS);
    for (name, budget) in lease_scenarios() {
        if exploration.is_wanted(name) {
            let model = LeaseModel::new(voters, exploration.lease_budget(budget));
            succeeded &= exploration.explore(name, &model);
        }
    }
    for scenario in control_scenarios() {
        if exploration.is_wanted(scenario.name) {
            let name = scenario.name;
            let model = ControlModel::new(exploration.control_scenario(scenario));
            succeeded &= exploration.explore(name, &model);
        }
    }
    succeeded
}
