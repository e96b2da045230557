//! The bounded explorer of the register and the lease, with budgets from the command line.

use model_checker::{
    ControlBudget, ControlModel, ControlScenario, LeaseBudget, LeaseModel, Limits, Model,
    RegisterModel, RegisterScenario, Schedule, Trace, control_scenarios, lease_scenarios,
    register_scenarios, replay, search,
};
use std::time::Duration;

/// What to explore, and how far.
#[derive(Default)]
pub struct Exploration {
    scenario: Option<String>,
    voters: Option<usize>,
    depth: Option<usize>,
    states: Option<u64>,
    seconds: Option<u64>,
    strays: Option<u8>,
    crashes: Option<u8>,
    wipes: Option<u8>,
    replay: Option<Vec<usize>>,
}

impl Exploration {
    /// Takes a flag of this verb.
    pub fn read_flag(&mut self, name: &str, value: &str) -> Result<(), String> {
        let wrong = || format!("--{name} '{value}'");
        let number = || value.parse::<u64>().map_err(|_| wrong());
        let small = || value.parse::<u8>().map_err(|_| wrong());
        match name {
            "scenario" => self.scenario = Some(value.to_owned()),
            "voters" => {
                self.voters = Some(
                    number()
                        .ok()
                        .filter(|n| (1..=7).contains(n))
                        .ok_or_else(wrong)? as usize,
                )
            }
            "depth" => self.depth = Some(number()? as usize),
            "states" => self.states = Some(number()?),
            "seconds" => self.seconds = Some(number()?),
            "strays" => self.strays = Some(small()?),
            "crashes" => self.crashes = Some(small()?),
            "wipes" => self.wipes = Some(small()?),
            "replay" => {
                let choices: Option<Vec<usize>> =
                    value.split(',').map(|choice| choice.parse().ok()).collect();
                self.replay = Some(choices.ok_or_else(wrong)?);
            }
            _ => return Err(format!("--{name} is unknown")),
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
        self.strays
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
        report.counterexample.iter().for_each(print_trace);
        report.counterexample.is_none()
    }
}

fn print_trace(trace: &Trace) {
    println!("{trace}");
}

/// Complains of a scenario that does not exist.
pub fn check(exploration: &Exploration) -> Result<(), String> {
    let names = register_scenarios()
        .into_iter()
        .map(|scenario| scenario.name);
    let names = names.chain(lease_scenarios().into_iter().map(|(name, _)| name));
    let names: Vec<&str> = names
        .chain(
            control_scenarios()
                .into_iter()
                .map(|scenario| scenario.name),
        )
        .collect();
    let known = names.iter().any(|name| exploration.is_wanted(name));
    known
        .then_some(())
        .ok_or_else(|| format!("--scenario: one of {}", names.join(", ")))?;
    let one = exploration.scenario.is_some();
    let alone = exploration.replay.is_none() || one;
    alone
        .then_some(())
        .ok_or_else(|| "--replay wants the --scenario that the trace is of".to_owned())
}

/// Explores all that is wanted; true where no invariant broke.
pub fn run(exploration: &Exploration) -> bool {
    let scenarios = register_scenarios()
        .into_iter()
        .filter(|scenario| exploration.is_wanted(scenario.name));
    let registers = scenarios.map(|scenario| {
        let name = scenario.name;
        exploration.explore(name, &RegisterModel::new(exploration.scenario(scenario)))
    });
    let budgets = lease_scenarios()
        .into_iter()
        .filter(|(name, _)| exploration.is_wanted(name));
    let leases = budgets.map(|(name, budget)| {
        let voters = exploration.voters.unwrap_or(3);
        exploration.explore(
            name,
            &LeaseModel::new(voters, exploration.lease_budget(budget)),
        )
    });
    let scenarios = control_scenarios()
        .into_iter()
        .filter(|scenario| exploration.is_wanted(scenario.name));
    let controls = scenarios.map(|scenario| {
        let name = scenario.name;
        exploration.explore(
            name,
            &ControlModel::new(exploration.control_scenario(scenario)),
        )
    });
    // Each is explored, also after one that found something.
    let explored: Vec<bool> = registers.chain(leases).chain(controls).collect();
    explored.into_iter().all(|fine| fine)
}
