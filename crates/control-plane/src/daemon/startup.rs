//! What happens before the event loop: the data folder is opened, and the node is described from the settings.

use crate::daemon::settings::times;
use crate::persistence::RetryBackoff;
use crate::start::Start;
use config::Settings;
use error_stack::{Report, ResultExt};
use name_directory::{ConfigurationParser, OwnershipMode};
use protocol::{CONTROL_NODE_ROLE, Departure, Member};
use std::path::PathBuf;
use std::pin::Pin;
use storage::{Contents, FailureKind, Storage};
use transport::StartError;

/// Opens the data folder. While the disk is full or failing it is retried with backoff; a failure that only an operator
/// can repair ends the start. `None` where the process is asked to stop first.
pub(super) async fn open_storage(
    folder: &str,
    mut stop: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<(Storage, Contents)>, Report<StartError>> {
    let cannot_open = || StartError::new(format!("data: {folder} can't be used"));
    let backoff = RetryBackoff::default();
    for failures in 1.. {
        let path = PathBuf::from(folder);
        let opened = tokio::task::spawn_blocking(move || Storage::open(&path)).await;
        let failure = match opened.change_context_lazy(cannot_open)? {
            Ok(opened) => return Ok(Some(opened)),
            Err(failure) if failure.current_context().kind() != FailureKind::Failing => {
                return Err(failure.change_context(cannot_open()));
            }
            Err(failure) => failure,
        };
        if failures == 1 {
            log::error!(
                "storage: {folder} can't be opened; it is retried, and nothing is served before: {failure:#}"
            );
        }
        tokio::select! {
            _ = tokio::time::sleep(backoff.after(failures)) => {}
            _ = &mut stop => return Ok(None),
        }
    }
    Ok(None)
}

/// Logs each file of the data folder that was found damaged.
pub(super) fn log_damaged_files(contents: &Contents) {
    for file in &contents.damaged {
        log::warn!("storage: damaged, counts as missing: {file}");
    }
}

/// This process as the membership knows it.
pub(super) fn local_member(settings: &Settings) -> Member {
    let advertised_address = match settings.get("told") {
        "" => settings.get("link"),
        address => address,
    };
    Member {
        node: settings.get("node").into(),
        locality: settings.get("locality").into(),
        roles: CONTROL_NODE_ROLE.into(),
        probe_address: advertised_address.into(),
        link_address: advertised_address.into(),
        http_address: settings.get("http").into(),
        ..Member::default()
    }
}

/// What the node starts from: its settings, and what an earlier process left on disk.
pub(super) fn node_start(
    settings: &Settings,
    me: Member,
    reader: ConfigurationParser,
    contents: Contents,
    departures: Vec<Departure>,
) -> Start {
    let initial_voter_count = match settings.count("roster-size") {
        0 => settings.list("localities").len(),
        size => size as usize,
    };
    let owners = match settings.get("owners") {
        "one" => OwnershipMode::SingleZone,
        _ => OwnershipMode::PerClientZone,
    };
    Start {
        me,
        seeds: transport::seed_addresses(settings),
        initial_voter_count,
        seed: transport::random_seed(),
        reader,
        owners,
        durable: contents.durable,
        configurations: contents.configurations,
        departures,
        times: times(settings),
    }
}
