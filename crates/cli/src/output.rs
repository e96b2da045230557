//! What is printed: results on standard output, everything else on standard error.

use crate::PROGRAM;
use crate::error::{CliError, ExitCode};
use config::JsonValue;
use result_code::ResultCode;
use std::fmt::Display;
use transport::Reply;

/// The header with a reply's revision; the API calls a revision by the name that it had in earlier releases.
const REVISION_HEADER: &str = "x-edition";
/// The header with a reply's result code.
const RESULT_CODE_HEADER: &str = "x-code";
/// The field with validation errors in a reply.
const VALIDATION_ERRORS_FIELD: &str = "complaints";

/// A summary for people, and the problems that it shows.
#[derive(Debug, Default)]
pub struct Summary {
    /// What there is to see, a line each.
    pub lines: Vec<String>,
    /// What is wrong, a line each.
    pub problems: Vec<String>,
}

impl Summary {
    /// Prints it; a summary with problems is a failure.
    pub fn print(&self) -> ExitCode {
        for line in &self.lines {
            print(line);
        }
        for problem in &self.problems {
            print(format_args!("wrong: {problem}"));
        }
        if self.problems.is_empty() {
            ExitCode::Success
        } else {
            ExitCode::Failure
        }
    }
}

/// Prints a line of the result. Where nobody reads it any more, the command ends as it would have.
pub fn print(line: impl Display) {
    transport::print_line(&line.to_string());
}

/// Prints a remark that is no part of the result.
pub fn warn(text: impl Display) {
    eprintln!("{PROGRAM}: {text}");
}

/// Prints why a command failed.
pub fn print_error(error: &CliError) {
    warn(error);
}

/// Prints a node's reply, and tells by its result code how the command ended.
pub fn print_reply(reply: &Reply) -> ExitCode {
    let revision = reply.header(REVISION_HEADER);
    if !revision.is_empty() {
        eprintln!("edition {revision}");
    }
    let text = String::from_utf8_lossy(&reply.body);
    print(&text);
    if let Ok(json) = JsonValue::parse(&text) {
        print_validation_errors(&json);
    }
    match result_code(reply) {
        Some(ResultCode::Success | ResultCode::Superseded) => ExitCode::Success,
        Some(ResultCode::ChangeOutcomeUnknown) => ExitCode::OutcomeUnknown,
        _ => ExitCode::Failure,
    }
}

fn result_code(reply: &Reply) -> Option<ResultCode> {
    let number = reply.header(RESULT_CODE_HEADER).parse().ok()?;
    ResultCode::from_number(number)
}

fn print_validation_errors(json: &JsonValue) {
    for error in json.list(VALIDATION_ERRORS_FIELD) {
        if let (Some(path), Some(text)) = (error.text("path"), error.text("text")) {
            warn(format!("{path}: {text}"));
        }
    }
}
