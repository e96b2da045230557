//! The command line of a program, and its help text.

use crate::program::Program;
use config::{Setting, SettingType, Settings, ValidationError, validate_times};
use lexopt::Arg::{Long, Short, Value};
use log::LevelFilter;
use std::fmt::Write;

/// What a process was started for.
pub(crate) enum Invocation {
    /// To print a text, and stop.
    Print(String),
    /// To run with these options.
    Run(Options),
}

/// Settings, and what else the command line says.
pub(crate) struct Options {
    pub(crate) settings: Settings,
    pub(crate) log_level: LevelFilter,
    /// The settings are only to be checked.
    pub(crate) check_only: bool,
}

/// Flags as they were given.
struct Flags {
    /// Settings by name.
    settings: Vec<(String, String)>,
    /// Contents of the settings file.
    settings_file: Option<String>,
    log_level: LevelFilter,
    check_only: bool,
}

/// Parses the command line of this process, and the settings file that it names.
pub(crate) fn parse(program: &Program) -> Result<Invocation, Vec<ValidationError>> {
    let mut flags = Flags {
        settings: Vec::new(),
        settings_file: None,
        log_level: LevelFilter::Info,
        check_only: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser
        .next()
        .map_err(|error| invalid("flags", error.to_string()))?
    {
        match argument {
            Long("help") | Short('h') => return Ok(Invocation::Print(help(program))),
            Long("version") | Short('V') => return Ok(Invocation::Print(version(program))),
            Long("check") => flags.check_only = true,
            Long(name) => {
                let name = name.to_owned();
                let value = parser
                    .value()
                    .map_err(|error| invalid(&name, error.to_string()))?;
                flags.set(name, value.to_string_lossy().into_owned())?;
            }
            Short(short) => return Err(invalid(&format!("-{short}"), "no such flag".into())),
            Value(value) => {
                return Err(invalid(
                    &value.to_string_lossy(),
                    "not expected here".into(),
                ));
            }
        }
    }
    flags.into_options(program).map(Invocation::Run)
}

impl Flags {
    fn set(&mut self, name: String, value: String) -> Result<(), Vec<ValidationError>> {
        match name.as_str() {
            "settings" => {
                let text = std::fs::read_to_string(&value)
                    .map_err(|error| invalid("settings", format!("'{value}': {error}")))?;
                self.settings_file = Some(text);
            }
            "log" => {
                self.log_level = value.parse().map_err(|_| {
                    let allowed = "must be off, error, warn, info, debug or trace";
                    invalid("log", format!("'{value}': {allowed}"))
                })?;
            }
            _ => self.settings.push((name, value)),
        }
        Ok(())
    }

    fn into_options(self, program: &Program) -> Result<Options, Vec<ValidationError>> {
        let file = self.settings_file.as_deref();
        let settings = Settings::parse(program.tables, file, &self.settings)?;
        let mut validation_errors = validate_times(&settings);
        validation_errors.extend((program.check)(&settings));
        if !validation_errors.is_empty() {
            return Err(validation_errors);
        }
        Ok(Options {
            settings,
            log_level: self.log_level,
            check_only: self.check_only,
        })
    }
}

fn invalid(path: &str, text: String) -> Vec<ValidationError> {
    vec![ValidationError::new(path, text)]
}

fn version(program: &Program) -> String {
    format!("{} {}", program.name, env!("CARGO_PKG_VERSION"))
}

fn help(program: &Program) -> String {
    let mut text = format!(
        "{}\n{}\n\nusage: {} [--settings FILE] [--NAME VALUE ...]\n
  --settings FILE   a JSON object of the settings below; flags win over it
  --check           check the settings and stop
  --log LEVEL       off, error, warn, info (default), debug or trace
  --help, --version\n\nsettings:\n",
        version(program),
        program.about,
        program.name
    );
    for setting in program.tables.iter().flat_map(|table| table.iter()) {
        let default = match setting.default {
            Some(value) => format!("default {value}"),
            None => "required".into(),
        };
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "  --{:<20} {} ({}; {default})",
            setting.name,
            setting.help,
            allowed_values(setting)
        );
    }
    text.push_str(
        "\nexit codes: 0 success, 1 failed, 2 invalid flags or settings, 3 could not start",
    );
    text
}

/// The values that a setting may have, in words.
fn allowed_values(setting: &Setting) -> String {
    match setting.kind {
        SettingType::DurationMs(least, most) => format!("{least} to {most} ms"),
        SettingType::Integer(least, most) => format!("{least} to {most}"),
        SettingType::OneOf(allowed) => allowed.join(" or "),
        SettingType::SomeOf(allowed) => format!("some of {}", allowed.join(",")),
        SettingType::Id => "an id".into(),
        SettingType::Locality => "region/zone".into(),
        SettingType::Address => "IP:port".into(),
        SettingType::Addresses => "up to three IP:port, with commas".into(),
        SettingType::Localities => "some of region/zone, with commas".into(),
        SettingType::Decimal(most) => format!("a number from 0 to {most}"),
        SettingType::Directory => "a folder".into(),
    }
}
