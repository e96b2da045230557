//! What a data folder holds when it is opened.

use crate::names::{CONFIGURATIONS_FOLDER, STATE_FILE};
use crate::state_file::NumberedState;
use protocol::DurableState;
use std::collections::BTreeMap;
use std::fmt;

/// What is done without a state.
const WITHOUT_STATE: &str = "this voter counts as blank and takes the state from a majority of the others; \
                             where the file still exists it lies in word.damaged";
/// What is done without a configuration.
const WITHOUT_CONFIGURATION: &str = "it is fetched from the others where it is needed";

/// A file that is not what was written. It counts as missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file's path within the data folder.
    pub file: String,
    /// What is wrong with it.
    pub finding: String,
    /// How this process goes on without it.
    pub consequence: &'static str,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.file, self.finding, self.consequence)
    }
}

impl Damage {
    /// The state file is damaged or missing.
    pub(crate) fn of_state(finding: impl Into<String>) -> Damage {
        Damage {
            file: STATE_FILE.into(),
            finding: finding.into(),
            consequence: WITHOUT_STATE,
        }
    }

    /// A state that is older than the newest synced one: its promises would be older than those that were given.
    pub(crate) fn of_older_state(found: &NumberedState, confirmed: u64) -> Option<Damage> {
        if found.sequence >= confirmed {
            return None;
        }
        let finding = format!(
            "holds write {} though write {confirmed} was synced",
            found.sequence
        );
        Some(Damage::of_state(finding))
    }

    /// A configuration's file is damaged or can't be read.
    pub(crate) fn of_configuration(name: &str, finding: impl Into<String>) -> Damage {
        Damage {
            file: format!("{CONFIGURATIONS_FOLDER}/{name}"),
            finding: finding.into(),
            consequence: WITHOUT_CONFIGURATION,
        }
    }
}

/// What a data folder held when it was opened.
#[derive(Debug, Default)]
pub struct Contents {
    /// The voter's state; the default where there is none.
    pub durable: DurableState,
    /// Undamaged configurations by digest.
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// What was found damaged and counts as missing.
    pub damaged: Vec<Damage>,
}
