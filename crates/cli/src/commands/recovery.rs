//! Recovery after a majority of the voters is lost for good: from what is left on the survivors' disks, by hand.

use error_stack::{Report, ResultExt, ensure};
use protocol::{DurableState, SurvivorState};
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;
use storage::{Contents, Storage};

/// The file of a data folder that holds a voter's state.
const STATE_FILE: &str = "word.redb";
/// The disk id of a state that no node's disk has taken over yet.
const NO_DISK: u64 = 0;

/// Why a step of the recovery was not done; causes are attached.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// The data folder can't be opened.
    #[error("{0}: can't be opened")]
    OpenFolder(String),
    /// A file or a data folder can't be read.
    #[error("{0}: can't be read")]
    Read(String),
    /// A file or a data folder can't be written.
    #[error("{0}: can't be written")]
    Write(String),
    /// The file holds no survivor's state.
    #[error("{0}: is damaged, or not an exported state")]
    NotExported(String),
    /// The data folder holds no state at all.
    #[error("{0}: holds no state")]
    NoState(String),
    /// The data folder holds no voter's state.
    #[error("{folder}: holds no voter's state {damage:?}")]
    NoVoterState {
        /// The data folder.
        folder: String,
        /// What was found damaged in it.
        damage: Vec<String>,
    },
    /// The states can't be merged; the cause says why.
    #[error("nothing was merged")]
    NotMerged,
    /// The file holds a survivor's own state, which must not be imported.
    #[error("{0}: is a survivor's state, not yet merged")]
    Unmerged(String),
    /// The data folder holds something.
    #[error("{0}: is not empty; move it away first")]
    FolderNotEmpty(String),
}

type Result<T> = std::result::Result<T, Report<RecoveryError>>;

/// Saves what a survivor's disk holds. Its control node must not run; nothing in the folder is touched, since it may be
/// the last replica.
pub fn export(node: &str, folder: &str, file: &str) -> Result<String> {
    let path = Path::new(folder);
    ensure!(
        path.join(STATE_FILE).exists(),
        RecoveryError::NoState(folder.to_owned())
    );
    let inspected = Storage::inspect(path);
    let Contents {
        durable,
        configurations,
        damaged,
    } = inspected.change_context_lazy(|| RecoveryError::Read(folder.to_owned()))?;
    let damage: Vec<String> = damaged
        .iter()
        .map(|damage| format!("{}: {}", damage.file, damage.finding))
        .collect();
    ensure!(
        durable.disk != NO_DISK,
        RecoveryError::NoVoterState {
            folder: folder.to_owned(),
            damage
        }
    );
    let done = format!(
        "{node}: edition {}, a roster of {}{}",
        durable.accepted.revision,
        durable.initial_voters.len(),
        damage_suffix(&damage)
    );
    let configuration = configurations
        .get(&durable.accepted.digest)
        .cloned()
        .unwrap_or_default();
    let survivor = SurvivorState {
        node: node.to_owned(),
        durable,
        configuration,
    };
    write_state(file, &survivor)?;
    Ok(done)
}

fn damage_suffix(damage: &[String]) -> String {
    if damage.is_empty() {
        String::new()
    } else {
        format!("; damaged: {}", damage.join(", "))
    }
}

/// Merges the survivors' states into one, from which a new set of voters can be bootstrapped.
pub fn merge(file: &str, lost: &[String], survivors: &[String]) -> Result<String> {
    let mut states = Vec::with_capacity(survivors.len());
    for survivor in survivors {
        states.push(read_state(survivor)?);
    }
    let merged = quorum_register::recover_from_survivors(&states, lost)
        .change_context(RecoveryError::NotMerged)?;
    write_state(file, &merged)?;
    Ok(format!(
        "merged: edition {}",
        merged.durable.accepted.revision
    ))
}

/// Puts the merged state on an empty disk, for the bootstrap of a complete new set of voters.
pub fn import(file: &str, folder: &str) -> Result<String> {
    let merged = read_state(file)?;
    ensure!(
        merged.durable.disk == NO_DISK,
        RecoveryError::Unmerged(file.to_owned())
    );
    let (mut storage, contents) = Storage::open(Path::new(folder))
        .change_context_lazy(|| RecoveryError::OpenFolder(folder.to_owned()))?;
    let is_empty = contents.durable == DurableState::default() && contents.damaged.is_empty();
    ensure!(is_empty, RecoveryError::FolderNotEmpty(folder.to_owned()));
    let unwritable = || RecoveryError::Write(folder.to_owned());
    // The configuration goes first: a state must never name one that is missing.
    let digest = &merged.durable.accepted.digest;
    if !digest.is_empty() {
        storage
            .store_configuration(digest, &merged.configuration)
            .change_context_lazy(unwritable)?;
    }
    storage
        .persist_state(&merged.durable)
        .change_context_lazy(unwritable)?;
    Ok(format!(
        "{folder}: imported edition {}",
        merged.durable.accepted.revision
    ))
}

/// Writes a state to a file, synced: what it was made from may be moved away next.
fn write_state(file: &str, state: &SurvivorState) -> Result<()> {
    let write = || {
        let mut out = File::create(file)?;
        out.write_all(&protocol::pack(state))?;
        out.sync_all()
    };
    write().change_context_lazy(|| RecoveryError::Write(file.to_owned()))
}

fn read_state(file: &str) -> Result<SurvivorState> {
    let bytes = fs::read(file).change_context_lazy(|| RecoveryError::Read(file.to_owned()))?;
    protocol::unpack(&bytes).ok_or_else(|| Report::new(RecoveryError::NotExported(file.to_owned())))
}
