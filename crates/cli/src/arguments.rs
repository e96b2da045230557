//! The command line: flags, and the words of the command.

use crate::error::CliError;
use lexopt::Arg::{Long, Short, Value};
use std::net::SocketAddr;

/// What the process was started for.
pub enum Invocation {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Arguments),
}

/// Flags, and the words that name a command and its operands.
#[derive(Debug, Default)]
pub struct Arguments {
    /// Addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<String>,
    /// Everything that is no flag.
    pub words: Vec<String>,
    /// Id of a change; generated where it is not given.
    pub id: Option<String>,
    /// The revision that a configuration was derived from.
    pub base: Option<String>,
    /// How many changes had been decided before this one.
    pub since: Option<u64>,
    /// Wait until every node has applied the change.
    pub wait: bool,
    /// Host name of a supposed request.
    pub name: Option<String>,
    /// Path of a supposed request.
    pub path: Option<String>,
    /// Affinity key of a supposed request.
    pub key: Option<String>,
    /// Voters that are lost for good.
    pub lost: Vec<String>,
    /// A configuration that describes the services of manifests.
    pub services: Option<String>,
}

impl Arguments {
    /// Parses the command line of this process.
    pub fn from_command_line() -> Result<Invocation, CliError> {
        Arguments::parse(lexopt::Parser::from_env())
    }

    fn parse(mut parser: lexopt::Parser) -> Result<Invocation, CliError> {
        let mut arguments = Arguments::default();
        while let Some(argument) = parser.next().map_err(invalid)? {
            match argument {
                Long("help") | Short('h') => return Ok(Invocation::Help),
                Long("version") | Short('V') => return Ok(Invocation::Version),
                Long("wait") => arguments.wait = true,
                Long("node") => arguments.nodes.push(node_address(text(&mut parser)?)?),
                Long("id") => arguments.id = Some(text(&mut parser)?),
                Long("base") => arguments.base = Some(text(&mut parser)?),
                Long("since") => arguments.since = Some(change_count(&text(&mut parser)?)?),
                Long("name") => arguments.name = Some(text(&mut parser)?),
                Long("path") => arguments.path = Some(text(&mut parser)?),
                Long("key") => arguments.key = Some(text(&mut parser)?),
                Long("services") => arguments.services = Some(text(&mut parser)?),
                Long("lost") => {
                    let nodes = text(&mut parser)?;
                    arguments.lost.extend(nodes.split(',').map(str::to_owned));
                }
                Value(word) => arguments.words.push(word.to_string_lossy().into_owned()),
                other => return Err(invalid(other.unexpected())),
            }
        }
        Ok(Invocation::Run(arguments))
    }
}

fn invalid(error: lexopt::Error) -> CliError {
    CliError::InvalidArgument(error.to_string())
}

/// The value of the flag that was just read.
fn text(parser: &mut lexopt::Parser) -> Result<String, CliError> {
    let value = parser.value().map_err(invalid)?;
    Ok(value.to_string_lossy().into_owned())
}

fn node_address(text: String) -> Result<String, CliError> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(text),
        Err(_) => Err(CliError::InvalidArgument(format!(
            "--node '{text}': must be IP:port"
        ))),
    }
}

fn change_count(text: &str) -> Result<u64, CliError> {
    text.parse()
        .map_err(|_| CliError::InvalidArgument(format!("--since '{text}': must be a count")))
}
