//! After a majority of the voters is lost for good: what is left on the survivors' disks, by hand.

use error_stack::{Report, ResultExt, ensure};
use protocol::{DurableState, SurvivorState};
use std::fmt;
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;
use storage::{Contents, Storage};

/// Why a step of the rescue was not done; the causes are attached.
#[derive(Debug)]
pub struct Failure(String);

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Failure {}

fn failure(text: impl Into<String>) -> Failure {
    Failure(text.into())
}

fn open(folder: &str) -> Result<(Storage, Contents), Report<Failure>> {
    Storage::open(Path::new(folder))
        .change_context_lazy(|| failure(format!("{folder}: can't be opened")))
}

/// Writes a file, synced: what it was made from may be moved away next.
fn write(file: &str, survivor: &SurvivorState) -> Result<(), Report<Failure>> {
    let written = File::create(file).and_then(|mut out| {
        out.write_all(&protocol::pack(survivor))?;
        out.sync_all()
    });
    written.change_context_lazy(|| failure(format!("{file}: can't be written")))
}

fn read(file: &str) -> Result<SurvivorState, Report<Failure>> {
    let bytes = fs::read(file).change_context_lazy(|| failure(format!("{file}: can't be read")))?;
    protocol::unpack(&bytes)
        .ok_or_else(|| Report::new(failure(format!("{file}: is damaged, or no testament"))))
}

/// Writes down what a survivor's disk says. Its postmaster must not run.
pub fn survivor(node: &str, folder: &str, file: &str) -> Result<String, Report<Failure>> {
    ensure!(
        Path::new(folder).join("word.redb").exists(),
        failure(format!("{folder}: holds no state"))
    );
    // It may be the last copy: nothing in it is touched.
    let inspected = Storage::inspect(Path::new(folder));
    let Contents {
        durable,
        configurations,
        damaged,
    } = inspected.change_context_lazy(|| failure(format!("{folder}: can't be read")))?;
    let findings: Vec<String> = damaged
        .iter()
        .map(|damage| format!("{}: {}", damage.file, damage.finding))
        .collect();
    ensure!(
        durable.disk != 0,
        failure(format!("{folder}: holds no voter's state {findings:?}"))
    );
    let configuration = configurations
        .get(&durable.accepted.digest)
        .cloned()
        .unwrap_or_default();
    let revision = durable.accepted.revision;
    let told = format!(
        "{node}: edition {revision}, a roster of {}{}",
        durable.initial_voters.len(),
        told_damage(&findings)
    );
    write(
        file,
        &SurvivorState {
            node: node.to_owned(),
            durable,
            configuration,
        },
    )?;
    Ok(told)
}

fn told_damage(findings: &[String]) -> String {
    if findings.is_empty() {
        String::new()
    } else {
        format!("; damaged: {}", findings.join(", "))
    }
}

/// Settles the survivors' survivors into one inheritance.
pub fn settle(file: &str, lost: &[String], survivors: &[&str]) -> Result<String, Report<Failure>> {
    let survivors = survivors
        .iter()
        .map(|file| read(file))
        .collect::<Result<Vec<_>, _>>()?;
    let settled = quorum_register::recover_from_survivors(&survivors, lost)
        .change_context_lazy(|| failure("nothing was settled"))?;
    write(file, &settled)?;
    Ok(format!(
        "settled: edition {}",
        settled.durable.accepted.revision
    ))
}

/// Leaves the inheritance on a blank disk, for the founding of a whole new roster.
pub fn inherit(file: &str, folder: &str) -> Result<String, Report<Failure>> {
    let inheritance = read(file)?;
    ensure!(
        inheritance.durable.disk == 0,
        failure(format!("{file}: is a survivor, not yet settled"))
    );
    let (mut storage, contents) = open(folder)?;
    let blank = contents.durable == DurableState::default() && contents.damaged.is_empty();
    ensure!(
        blank,
        failure(format!("{folder}: is not blank; move it away first"))
    );
    let digest = &inheritance.durable.accepted.digest;
    let kept = Some(digest)
        .filter(|digest| !digest.is_empty())
        .map_or(Ok(()), |digest| {
            storage.store_configuration(digest, &inheritance.configuration)
        })
        .and_then(|()| storage.keep(&inheritance.durable));
    kept.change_context_lazy(|| failure(format!("{folder}: can't be written")))?;
    Ok(format!(
        "{folder} inherits edition {}",
        inheritance.durable.accepted.revision
    ))
}
