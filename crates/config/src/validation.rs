//! What is wrong with an operator's input, and where.

use std::fmt;

/// One fault in an operator's input.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct ValidationError {
    /// Where: the JSON path of a value, or the name of a setting.
    pub path: String,
    /// What is wrong there.
    pub message: String,
}

impl ValidationError {
    /// An error at a path.
    pub fn new(path: impl Into<String>, message: impl fmt::Display) -> Self {
        ValidationError {
            path: path.into(),
            message: message.to_string(),
        }
    }
}

/// Adds an error to a list, so that all of them are reported at once.
///
/// ```
/// let mut validation_errors = Vec::new();
/// config::add_validation_error(&mut validation_errors, "/routes/0", "no such service");
/// assert_eq!(validation_errors[0].to_string(), "/routes/0: no such service");
/// ```
pub fn add_validation_error(
    validation_errors: &mut Vec<ValidationError>,
    path: &str,
    message: impl fmt::Display,
) {
    validation_errors.push(ValidationError::new(path, message));
}
