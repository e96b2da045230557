//! Configurations: submit, read, validate, convert.

use super::{ChangeOptions, read_file, send_and_print};
use crate::arguments::Arguments;
use crate::client::ApiRequest;
use crate::error::{CliError, ExitCode};
use crate::{gateway_api, output};
use config::Configuration;

/// Path of the nodes' API, which keeps the name of earlier releases.
const PATH: &str = "/setup";

/// Submits a configuration, under an id that makes a retry safe.
pub async fn apply(arguments: &Arguments, file: &str) -> Result<ExitCode, CliError> {
    let options = ChangeOptions::of(arguments);
    eprintln!("submission {}", options.id);
    let base = match &arguments.base {
        Some(base) => format!("&base={base}"),
        None => String::new(),
    };
    let request = ApiRequest {
        method: "PUT",
        path: format!("{PATH}?id={}{base}{}", options.id, options.query_suffix()),
        body: read_file(file)?,
        needs_since: options.is_new,
    };
    send_and_print(arguments, request).await
}

/// Prints the configuration in force.
pub async fn get(arguments: &Arguments) -> Result<ExitCode, CliError> {
    send_and_print(arguments, ApiRequest::get(PATH)).await
}

/// Validates a configuration without a node.
pub fn check(file: &str) -> Result<ExitCode, CliError> {
    Configuration::parse(&read_file(file)?).map_err(CliError::InvalidConfiguration)?;
    crate::output::print("the configuration is valid");
    Ok(ExitCode::Success)
}

/// Converts Gateway API manifests; the configuration is printed, remarks go to standard error.
pub fn convert(manifests: &str, services: &str) -> Result<ExitCode, CliError> {
    let manifests = read_file(manifests)?;
    let services = read_file(services)?;
    let converted = gateway_api::convert(
        &String::from_utf8_lossy(&manifests),
        &String::from_utf8_lossy(&services),
    )
    .map_err(CliError::InvalidConfiguration)?;
    for remark in &converted.remarks {
        output::warn(remark);
    }
    crate::output::print(&converted.configuration);
    Ok(ExitCode::Success)
}
