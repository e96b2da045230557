//! Errors of commands, and the exit codes that scripts rely on.

use crate::commands::recovery::RecoveryError;
use crate::help::HELP;
use config::ValidationError;
use error_stack::Report;
use std::io;
use transport::{CallError, exit};

/// How a command ended, for the process that started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It was done.
    Success,
    /// It was rejected, or a summary shows problems.
    Failure,
    /// The arguments are invalid.
    Usage,
    /// No node could be reached.
    Unreachable,
    /// The change may have been applied or not: it may be sent again with the same id.
    OutcomeUnknown,
}

impl ExitCode {
    /// The documented number.
    ///
    /// ```
    /// assert_eq!(cli::ExitCode::OutcomeUnknown.number(), 4);
    /// ```
    pub fn number(self) -> i32 {
        match self {
            ExitCode::Success => exit::SUCCESS,
            ExitCode::Failure => exit::FAILURE,
            ExitCode::Usage => exit::USAGE,
            ExitCode::Unreachable => 3,
            ExitCode::OutcomeUnknown => 4,
        }
    }
}

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// No command was given.
    #[error("{HELP}")]
    NoCommand,
    /// A flag or a command is invalid; the text says which and why.
    #[error("{0}; see --help")]
    InvalidArgument(String),
    /// A command lacks a flag that it needs.
    #[error("{command}: give {flags}")]
    MissingFlag {
        /// The command as it was typed.
        command: &'static str,
        /// What is missing.
        flags: &'static str,
    },
    /// A file named on the command line can't be read.
    #[error("{path}: {source}")]
    UnreadableFile {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A configuration or a manifest is invalid.
    #[error("{}", joined_lines(.0))]
    InvalidConfiguration(Vec<ValidationError>),
    /// A step of the recovery without nodes failed.
    #[error("{}", transport::error_chain(.0))]
    Recovery(Report<RecoveryError>),
    /// A request may have reached a node, which did not answer.
    #[error("{node}: {source}; the outcome is unknown, retry with the same id")]
    OutcomeUnknown {
        /// Address of the node.
        node: String,
        /// How the call failed.
        source: CallError,
    },
}

impl CliError {
    /// The exit code that belongs to this error.
    ///
    /// ```
    /// assert_eq!(cli::CliError::NoCommand.exit_code(), cli::ExitCode::Usage);
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CliError::NoCommand
            | CliError::InvalidArgument(_)
            | CliError::MissingFlag { .. }
            | CliError::UnreadableFile { .. } => ExitCode::Usage,
            CliError::InvalidConfiguration(_) | CliError::Recovery(_) => ExitCode::Failure,
            CliError::OutcomeUnknown { .. } => ExitCode::OutcomeUnknown,
        }
    }
}

impl From<Report<RecoveryError>> for CliError {
    fn from(report: Report<RecoveryError>) -> Self {
        CliError::Recovery(report)
    }
}

fn joined_lines(validation_errors: &[ValidationError]) -> String {
    let lines: Vec<String> = validation_errors
        .iter()
        .map(ValidationError::to_string)
        .collect();
    lines.join("\n")
}
