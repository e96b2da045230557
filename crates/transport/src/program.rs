//! The start of a program: command line, settings and log.

use crate::command_line::{self, Invocation};
use crate::exit;
use config::{Setting, Settings, ValidationError};
use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, SimpleLogger};
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};

/// What a program says about itself, and the settings that it has.
pub struct Program {
    /// Its name, as it stands before its messages.
    pub name: &'static str,
    /// What it is for, in a sentence.
    pub about: &'static str,
    /// Tables of all settings.
    pub tables: &'static [&'static [Setting]],
    /// Checks settings against each other.
    pub check: fn(&Settings) -> Vec<ValidationError>,
}

/// Parses flags and settings, and sets up the log. Ends the process where it was only asked for something (`--help`,
/// `--version`, `--check`), or where flags or settings are invalid.
///
/// ```no_run
/// let program = transport::Program { name: "data-plane", about: "The data plane.", tables: &[config::TIME_SETTINGS],
///     check: |_| Vec::new() };
/// let settings = transport::parse_settings_or_exit(&program);
/// ```
pub fn parse_settings_or_exit(program: &Program) -> Settings {
    ignore_hangup();
    let options = match command_line::parse(program) {
        Ok(Invocation::Run(options)) => options,
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            std::process::exit(exit::SUCCESS)
        }
        Err(validation_errors) => {
            for error in &validation_errors {
                eprintln!("{}: {error}", program.name);
            }
            eprintln!("{}: see --help", program.name);
            std::process::exit(exit::USAGE)
        }
    };
    // A test may have set up a log before.
    let _ = SimpleLogger::init(options.log_level, log_format());
    if options.check_only {
        println!("{}: the settings are fine", program.name);
        std::process::exit(exit::SUCCESS);
    }
    options.settings
}

/// SIGHUP would end the process until it listens for it. Once a handler was registered, it stays.
fn ignore_hangup() {
    if Handle::try_current().is_ok() {
        drop(signal(SignalKind::hangup()));
    }
}

fn log_format() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .build()
}
