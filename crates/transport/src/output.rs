//! Output of tools that may be read by a program which stops reading.

use std::io::{self, Write};

/// Writes a line to standard output. A reader that went away is no failure of a tool, so it ends quietly; false where
/// the line could not be written for any other reason.
///
/// ```
/// assert!(transport::print_line("done"));
/// ```
pub fn print_line(line: &str) -> bool {
    let mut output = io::stdout().lock();
    let written = writeln!(output, "{line}").and_then(|()| output.flush());
    match written {
        Ok(()) => true,
        Err(error) => error.kind() == io::ErrorKind::BrokenPipe,
    }
}
