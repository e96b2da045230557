//! Evacuations of localities.

use super::{ChangeOptions, send_and_print};
use crate::arguments::Arguments;
use crate::client::ApiRequest;
use crate::error::{CliError, ExitCode};

/// Takes all traffic away from a locality.
pub async fn evacuate(arguments: &Arguments, locality: &str) -> Result<ExitCode, CliError> {
    send_change(arguments, locality, "").await
}

/// Sends traffic to a locality again.
pub async fn restore(arguments: &Arguments, locality: &str) -> Result<ExitCode, CliError> {
    send_change(arguments, locality, "&back=true").await
}

async fn send_change(
    arguments: &Arguments,
    locality: &str,
    direction: &str,
) -> Result<ExitCode, CliError> {
    let options = ChangeOptions::of(arguments);
    let path = format!(
        "/evacuations?id={}&locality={locality}{direction}{}",
        options.id,
        options.query_suffix()
    );
    let request = ApiRequest {
        needs_since: options.is_new,
        ..ApiRequest::post(path)
    };
    send_and_print(arguments, request).await
}
