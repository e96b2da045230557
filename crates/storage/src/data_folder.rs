//! The data folder itself: making it, and keeping other processes out.

use crate::error::{StorageError, failed, in_use};
use crate::file_system::{FileSystem, FolderLock};
use crate::names::CONFIGURATIONS_FOLDER;
use error_stack::Report;
use std::io;
use std::path::Path;

/// Locks the folder for this process.
pub(crate) fn lock(
    files: &dyn FileSystem,
    folder: &Path,
) -> Result<Box<dyn FolderLock>, Report<StorageError>> {
    let lock = files
        .lock(folder)
        .map_err(failed("cannot lock the data folder"))?;
    lock.ok_or_else(in_use)
}

/// Makes the data folder and its parts, each with its name synced.
pub(crate) fn create(files: &dyn FileSystem, folder: &Path) -> Result<(), Report<StorageError>> {
    let step = "cannot make the data folder";
    let is_missing =
        |folder: &&Path| !folder.as_os_str().is_empty() && !files.exists(folder).unwrap_or(true);
    let mut missing: Vec<&Path> = folder.ancestors().take_while(is_missing).collect();
    while let Some(folder) = missing.pop() {
        files.create_folder(folder).map_err(failed(step))?;
        sync_parent(files, folder).map_err(failed(step))?;
    }
    files
        .create_folder(&folder.join(CONFIGURATIONS_FOLDER))
        .map_err(failed(step))?;
    files.sync_folder(folder).map_err(failed(step))?;
    // An earlier process may have ended before it did so.
    match sync_parent(files, folder) {
        Err(error) if error.kind() == io::ErrorKind::PermissionDenied => Ok(()),
        synced => synced.map_err(failed(step)),
    }
}

fn sync_parent(files: &dyn FileSystem, folder: &Path) -> io::Result<()> {
    let parent = folder.parent().unwrap_or(folder);
    if parent.as_os_str().is_empty() {
        files.sync_folder(Path::new("."))
    } else {
        files.sync_folder(parent)
    }
}
