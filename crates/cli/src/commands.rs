//! What each command does, one module for each group.

pub mod configuration;
pub mod evacuations;
pub mod pages;
pub mod recovery;
pub mod site;
pub mod trace;
pub mod voters;

use crate::arguments::Arguments;
use crate::client::{ApiClient, ApiRequest};
use crate::command::Command;
use crate::error::{CliError, ExitCode};
use crate::output;
use std::fs;

/// Runs the command that the arguments name.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, CliError> {
    match Command::from_arguments(arguments)? {
        Command::ApplyConfiguration { file } => configuration::apply(arguments, &file).await,
        Command::GetConfiguration => configuration::get(arguments).await,
        Command::CheckConfiguration { file } => configuration::check(&file),
        Command::ConvertManifests {
            manifests,
            services,
        } => configuration::convert(&manifests, &services),
        Command::Evacuate { locality } => evacuations::evacuate(arguments, &locality).await,
        Command::Restore { locality } => evacuations::restore(arguments, &locality).await,
        Command::ListVoters => voters::list(arguments).await,
        Command::ChangeVoters(change) => voters::change(arguments, &change).await,
        Command::ShowSite => site::show(arguments).await,
        Command::ShowPage(page) => pages::show(arguments, page).await,
        Command::Lookup { name, locality } => pages::lookup(arguments, &name, &locality).await,
        Command::TraceAttempt { attempt_id } => trace::attempt(arguments, &attempt_id).await,
        Command::TraceSupposed { name, path, key } => {
            trace::supposed(arguments, &name, &path, &key).await
        }
        Command::ExportSurvivor {
            node,
            data_folder,
            file,
        } => print_done(recovery::export(&node, &data_folder, &file)?),
        Command::MergeSurvivors { file, survivors } => {
            print_done(recovery::merge(&file, &arguments.lost, &survivors)?)
        }
        Command::ImportMerged { file, data_folder } => {
            print_done(recovery::import(&file, &data_folder)?)
        }
    }
}

fn print_done(text: String) -> Result<ExitCode, CliError> {
    output::print(text);
    Ok(ExitCode::Success)
}

/// The addresses of `--node`, of which a command that asks nodes needs one at least.
fn required_nodes(arguments: &Arguments) -> Result<&[String], CliError> {
    if arguments.nodes.is_empty() {
        return Err(CliError::InvalidArgument("--node is missing".into()));
    }
    Ok(&arguments.nodes)
}

/// Sends a request to the first node that can be reached, and prints the reply.
async fn send_and_print(arguments: &Arguments, request: ApiRequest) -> Result<ExitCode, CliError> {
    let nodes = required_nodes(arguments)?;
    let answered = ApiClient::default()
        .send_to_first_reachable(nodes, request)
        .await?;
    Ok(match answered {
        Some(answered) => output::print_reply(&answered.reply),
        None => ExitCode::Unreachable,
    })
}

fn read_file(path: &str) -> Result<Vec<u8>, CliError> {
    fs::read(path).map_err(|source| CliError::UnreadableFile {
        path: path.to_owned(),
        source,
    })
}

/// What makes a change known when it is sent again, and whether its sender waits until it is applied everywhere.
struct ChangeOptions {
    id: String,
    since: Option<u64>,
    wait: bool,
    /// True where neither the id nor the count was given: this is not a retry.
    is_new: bool,
}

impl ChangeOptions {
    fn of(arguments: &Arguments) -> ChangeOptions {
        let generated = || format!("{}-{:016x}", crate::PROGRAM, transport::random_seed());
        ChangeOptions {
            id: arguments.id.clone().unwrap_or_else(generated),
            since: arguments.since,
            wait: arguments.wait,
            is_new: arguments.id.is_none() && arguments.since.is_none(),
        }
    }

    /// The end of a query: whether to wait, and how many changes were decided before.
    fn query_suffix(&self) -> String {
        let mut suffix = String::new();
        if self.wait {
            suffix.push_str("&wait=force");
        }
        if let Some(since) = self.since {
            suffix.push_str(&format!("&since={since}"));
        }
        suffix
    }
}
