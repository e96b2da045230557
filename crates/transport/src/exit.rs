//! Documented exit codes of all programs.

/// All went well.
pub const SUCCESS: i32 = 0;
/// What the process was asked to do failed.
pub const FAILURE: i32 = 1;
/// Flags or settings are invalid.
pub const USAGE: i32 = 2;
/// The disk or a socket could not be used.
pub const START_FAILED: i32 = 3;
