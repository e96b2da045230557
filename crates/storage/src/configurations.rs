//! Configurations as plain files, each named by its digest.

use crate::contents::{Contents, Damage};
use crate::error::{StorageError, failed};
use crate::file_system::FileSystem;
use crate::names::{CONFIGURATION_SUFFIX, CONFIGURATIONS_FOLDER, NEW_CONFIGURATION_FILE};
use error_stack::Report;
use std::io;
use std::path::{Path, PathBuf};

/// Whether reading may change the folder.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ReadMode {
    /// Damaged files are removed, and what is found is synced.
    Repair,
    /// Nothing is changed.
    ReadOnly,
}

fn path(folder: &Path, digest: &str) -> PathBuf {
    folder
        .join(CONFIGURATIONS_FOLDER)
        .join(format!("{digest}{CONFIGURATION_SUFFIX}"))
}

/// Adds the configurations of a data folder to `contents`, and those that are damaged.
pub(crate) fn read_all(
    files: &dyn FileSystem,
    folder: &Path,
    contents: &mut Contents,
    mode: ReadMode,
) -> Result<(), Report<StorageError>> {
    let step = "cannot read configurations";
    let configurations = folder.join(CONFIGURATIONS_FOLDER);
    let names = match files.list(&configurations) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        names => names.map_err(failed(step))?,
    };
    if mode == ReadMode::Repair {
        // What is reported as stored must stay: an earlier process may have ended between a rename and its sync.
        files.sync_folder(&configurations).map_err(failed(step))?;
    }
    for name in names {
        let Some(digest) = name.strip_suffix(CONFIGURATION_SUFFIX) else {
            continue;
        };
        read_one(
            files,
            &configurations.join(&name),
            &name,
            digest,
            contents,
            mode,
        )?;
    }
    Ok(())
}

fn read_one(
    files: &dyn FileSystem,
    path: &Path,
    name: &str,
    digest: &str,
    contents: &mut Contents,
    mode: ReadMode,
) -> Result<(), Report<StorageError>> {
    match files.read(path) {
        Ok(bytes) if protocol::digest(&bytes) == digest => {
            contents.configurations.insert(digest.to_owned(), bytes);
        }
        Ok(_) => {
            let damage = Damage::of_configuration(name, "does not match its digest");
            contents.damaged.push(damage);
            if mode == ReadMode::Repair {
                files
                    .remove(path)
                    .map_err(failed("cannot remove a damaged configuration"))?;
            }
        }
        // It may be readable again later.
        Err(error) => {
            let damage = Damage::of_configuration(name, format!("can't be read: {error}"));
            contents.damaged.push(damage);
        }
    }
    Ok(())
}

/// Writes a configuration to a file of its own, syncs it, gives it its name, and syncs that.
pub(crate) fn store(
    files: &dyn FileSystem,
    folder: &Path,
    digest: &str,
    bytes: &[u8],
) -> Result<(), Report<StorageError>> {
    let step = "cannot write a configuration";
    let new = folder.join(NEW_CONFIGURATION_FILE);
    // Never overwritten: an incomplete rename may have left both names on one file.
    files.remove(&new).map_err(failed(step))?;
    let mut file = files.create(&new).map_err(failed(step))?;
    file.write_all(bytes).map_err(failed(step))?;
    file.sync().map_err(failed(step))?;
    files
        .rename(&new, &path(folder, digest))
        .map_err(failed(step))?;
    files
        .sync_folder(&folder.join(CONFIGURATIONS_FOLDER))
        .map_err(failed(step))
}

/// Removes a configuration's file; fine where there is none.
pub(crate) fn delete(
    files: &dyn FileSystem,
    folder: &Path,
    digest: &str,
) -> Result<(), Report<StorageError>> {
    files
        .remove(&path(folder, digest))
        .map_err(failed("cannot remove a configuration"))
}
