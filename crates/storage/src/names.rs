//! The names of files and folders in a data folder. They keep the words of the first release: a later release must find
//! what an earlier one left, and the other way round after a rollback.

/// The voter's state.
pub(crate) const STATE_FILE: &str = "word.redb";
/// Where a new state file is written, before it replaces the old one.
pub(crate) const NEW_STATE_FILE: &str = "word.new";
/// Where a damaged state file is moved, for whoever wants to examine it.
pub(crate) const DAMAGED_STATE_FILE: &str = "word.damaged";
/// The sequence number of the last write of the state that is known to be synced.
pub(crate) const CONFIRMED_SEQUENCE_FILE: &str = "word.synced";
/// The folder of the configurations.
pub(crate) const CONFIGURATIONS_FOLDER: &str = "setups";
/// Where a new configuration is written, before it moves to its folder.
pub(crate) const NEW_CONFIGURATION_FILE: &str = "setup.new";
/// Follows the digest in the name of a configuration's file.
pub(crate) const CONFIGURATION_SUFFIX: &str = ".json";
/// The departures of upstreams; the two files are written in turn.
pub(crate) const DEPARTURES_FILES: [&str; 2] = ["departures.0", "departures.1"];
