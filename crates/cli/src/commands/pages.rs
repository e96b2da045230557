//! Pages of one node, and look-ups in a directory.

use super::send_and_print;
use crate::arguments::Arguments;
use crate::client::ApiRequest;
use crate::command::Page;
use crate::error::{CliError, ExitCode};

/// Prints a page of a node.
pub async fn show(arguments: &Arguments, page: Page) -> Result<ExitCode, CliError> {
    send_and_print(arguments, ApiRequest::get(page.path())).await
}

/// Queries a directory node as a client in a locality would.
pub async fn lookup(
    arguments: &Arguments,
    name: &str,
    locality: &str,
) -> Result<ExitCode, CliError> {
    let (region, zone) = locality.split_once('/').unwrap_or((locality, ""));
    let path = format!("/directory?name={name}&region={region}&zone={zone}");
    send_and_print(arguments, ApiRequest::get(path)).await
}
