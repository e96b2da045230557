//! `mothspindlectl`, the command-line tool of mothspindle's operators.
//!
//! It talks HTTP to any node and translates between commands and the nodes' API; it keeps no state of its own. A
//! command either succeeds, fails with a reason, or ends with an unknown outcome; [`ExitCode`] tells which.
//!
//! - [`arguments`]: flags and words of the command line
//! - [`command`]: the commands, and the names that are accepted for each
//! - [`commands`]: what each group of commands does
//! - [`client`]: requests to nodes, with redirects and the next node where one can't be reached
//! - [`gateway_api`]: Gateway API manifests converted into a configuration
//! - [`output`], [`error`]: what is printed, and exit codes

pub mod arguments;
pub mod client;
pub mod command;
pub mod commands;
pub mod error;
pub mod gateway_api;
pub mod help;
pub mod output;

pub use error::{CliError, ExitCode};

/// Name of the program, as it stands before its messages.
pub const PROGRAM: &str = "mothspindlectl";
