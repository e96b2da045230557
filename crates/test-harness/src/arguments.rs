//! The command line: which subcommand to run, and its arguments.

use crate::commands::explore::{self, Exploration};
use scale_model::changes::Trial;
use simulator::seeds::{self, Sim};
use simulator::shapes::{ROADWISE, Shape};
use std::time::Duration;
use testbed::plans::PLANS;
use testbed::runs::Run;
use testbed::soak::SoakOptions;

/// The range of every number on the command line.
const NUMBERS: std::ops::RangeInclusive<u64> = 1..=100_000;
const MIN_CHANGES: u64 = 10;
const MAX_ROUTES: u64 = 4000;
const MAX_NODES: u64 = 31;
/// A soak runs so many processes at most, links included in one of them.
const MAX_PROCESSES: u64 = 240;

/// A subcommand with its arguments.
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Load a local fleet of real processes and break it.
    Fleet(Run),
    /// Let troubles of real processes overlap, for a range of seeds.
    Soak(SoakOptions),
    /// Simulate a range of seeds.
    Sim(Sim),
    /// Search the models' states.
    Explore(Exploration),
    /// Measure the request path.
    Measure,
    /// Simulate overload.
    Overload,
    /// Measure what many changes leave on disk.
    Changes(Trial),
}

/// Why the command line can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// The parser's own complaint.
    #[error(transparent)]
    Syntax(#[from] lexopt::Error),
    /// No such subcommand.
    #[error("there is no subcommand '{0}'")]
    UnknownCommand(String),
    /// No such flag, or not of this subcommand.
    #[error("--{0} is unknown")]
    UnknownFlag(String),
    /// A value outside of its range or set.
    #[error("--{flag} '{value}'{expected}")]
    InvalidValue {
        /// The flag's name.
        flag: String,
        /// What was given.
        value: String,
        /// What may be given, as an addition to the message; may be empty.
        expected: &'static str,
    },
    /// The flags don't fit each other.
    #[error("{0}")]
    Conflict(String),
}

impl ArgumentError {
    /// A value that can't be read.
    pub fn invalid(flag: &str, value: &str, expected: &'static str) -> Self {
        ArgumentError::InvalidValue {
            flag: flag.to_owned(),
            value: value.to_owned(),
            expected,
        }
    }
}

/// The arguments of all subcommands: a flag may stand before the subcommand's name.
struct Arguments {
    command: Option<String>,
    sim: Sim,
    exploration: Exploration,
    run: Run,
    trial: Trial,
    soak: SoakOptions,
}

/// Reads this process's command line.
pub fn read() -> Result<Command, ArgumentError> {
    use lexopt::Arg::{Long, Value};
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") => return Ok(Command::Help),
            Long("version") => return Ok(Command::Version),
            Long("untimed") => arguments.run.untimed = true,
            Long(name) => {
                let name = name.to_owned();
                let value = parser.value()?.to_string_lossy().into_owned();
                arguments.read_flag(&name, &value)?;
            }
            Value(word) if arguments.command.is_none() => {
                arguments.command = Some(word.to_string_lossy().into_owned());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    arguments.into_command()
}

impl Default for Arguments {
    fn default() -> Self {
        let folder =
            std::env::temp_dir().join(format!("test-harness-changes-{}", std::process::id()));
        Arguments {
            command: None,
            sim: Sim {
                from: 1,
                until: 50,
                plan: None,
                show: None,
                shape: ROADWISE,
            },
            exploration: Exploration::default(),
            run: Run {
                shape: ROADWISE,
                load: Duration::from_secs(20),
                per_second: None,
                plan: "quiet".into(),
                keep: None,
                untimed: false,
            },
            trial: Trial {
                nodes: 3,
                routes: 400,
                changes: 10_000,
                gap: Duration::from_millis(120),
                folder: Some(folder),
            },
            soak: SoakOptions {
                shape: None,
                seeds: 1..=3,
                trouble: Duration::from_secs(30),
                processes: None,
                rate: None,
                keep: None,
            },
        }
    }
}

impl Arguments {
    fn read_flag(&mut self, name: &str, value: &str) -> Result<(), ArgumentError> {
        let command = self.command.as_deref();
        if command == Some("explore") {
            return self.exploration.read_flag(name, value);
        }
        if command == Some("soak") {
            return self.read_soak_flag(name, value);
        }
        let number = || read_number(name, value);
        match name {
            "seeds" => (self.sim.from, self.sim.until) = read_seeds(value)?,
            "count" => self.trial.changes = number()?.max(MIN_CHANGES) as usize,
            "routes" => self.trial.routes = number()?.min(MAX_ROUTES) as usize,
            "nodes" => self.trial.nodes = number()?.clamp(1, MAX_NODES) as usize,
            "show" => self.sim.show = Some(value.to_owned()),
            "plan" if command == Some("sim") => self.sim.plan = Some(value.to_owned()),
            "plan" => self.run.plan = read_plan(value)?,
            "shape" => {
                self.run.shape = read_shape(value)?;
                self.sim.shape = self.run.shape.clone();
            }
            "seconds" => self.run.load = Duration::from_secs(number()?),
            "rate" => self.run.per_second = Some(number()?),
            "keep" => self.run.keep = Some(value.into()),
            _ => return Err(ArgumentError::UnknownFlag(name.to_owned())),
        }
        Ok(())
    }

    fn read_soak_flag(&mut self, name: &str, value: &str) -> Result<(), ArgumentError> {
        let number = || read_number(name, value);
        match name {
            "shape" => self.soak.shape = Some(read_shape(value)?),
            "seeds" => {
                let (from, until) = read_seeds(value)?;
                self.soak.seeds = from..=until;
            }
            "seconds" => self.soak.trouble = Duration::from_secs(number()?),
            "processes" => self.soak.processes = Some(number()?.min(MAX_PROCESSES) as usize),
            "rate" => self.soak.rate = Some(number()?),
            "keep" => self.soak.keep = Some(value.into()),
            _ => return Err(ArgumentError::UnknownFlag(name.to_owned())),
        }
        Ok(())
    }

    fn into_command(self) -> Result<Command, ArgumentError> {
        let Some(command) = self.command else {
            return Ok(Command::Help);
        };
        match command.as_str() {
            "changes" => Ok(Command::Changes(self.trial)),
            "overload" => Ok(Command::Overload),
            "measure" => Ok(Command::Measure),
            "fleet" => Ok(Command::Fleet(self.run)),
            "soak" => Ok(Command::Soak(self.soak)),
            "explore" => {
                explore::check(&self.exploration)?;
                Ok(Command::Explore(self.exploration))
            }
            "sim" => {
                seeds::check(&self.sim).map_err(ArgumentError::Conflict)?;
                Ok(Command::Sim(self.sim))
            }
            _ => Err(ArgumentError::UnknownCommand(command)),
        }
    }
}

fn read_number(flag: &str, value: &str) -> Result<u64, ArgumentError> {
    let number = value.parse().ok().filter(|n| NUMBERS.contains(n));
    number.ok_or_else(|| ArgumentError::invalid(flag, value, ""))
}

fn read_seeds(value: &str) -> Result<(u64, u64), ArgumentError> {
    let endpoints = value.split_once("..");
    let endpoints =
        endpoints.and_then(|(from, until)| Some((from.parse().ok()?, until.parse().ok()?)));
    endpoints.ok_or_else(|| ArgumentError::invalid("seeds", value, ": FROM..UNTIL"))
}

fn read_plan(value: &str) -> Result<String, ArgumentError> {
    if PLANS.iter().any(|(name, _)| *name == value) {
        Ok(value.to_owned())
    } else {
        Err(ArgumentError::invalid("plan", value, " is unknown"))
    }
}

fn read_shape(value: &str) -> Result<Shape, ArgumentError> {
    const SHAPES: &str = ": roadwise, kalam, counters, ledger";
    Shape::named(value).ok_or_else(|| ArgumentError::invalid("shape", value, SHAPES))
}
