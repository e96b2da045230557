//! The few operations on files that storage needs, as a trait: tests replace it by a simulated disk that loses power.

use redb::backends::FileBackend;
use redb::{BackendError, StorageBackend};
use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::ops::Bound;
use std::path::Path;

/// A file that is being written for the first time.
pub trait NewFile: Write {
    /// Returns once everything written is on the disk.
    fn sync(&mut self) -> io::Result<()>;
}

/// Keeps other processes out of a folder until it is dropped.
pub trait FolderLock: fmt::Debug + Send {}

/// Operations on files and folders. Nothing outlives a loss of power before it is synced: a file's bytes by
/// [`NewFile::sync`] or the backend's own sync, its name by [`FileSystem::sync_folder`].
pub trait FileSystem: fmt::Debug + Send + Sync {
    /// Makes one folder; fine where it exists.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;
    /// Returns once the names in this folder are on the disk.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
    /// Locks a folder; none where another process has the lock.
    fn lock(&self, folder: &Path) -> io::Result<Option<Box<dyn FolderLock>>>;
    /// The names of the files in a folder.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;
    /// Whether there is a file or folder at this path.
    fn exists(&self, path: &Path) -> io::Result<bool>;
    /// All bytes of a file.
    fn read(&self, file: &Path) -> io::Result<Vec<u8>>;
    /// Makes a file that does not exist yet.
    fn create(&self, file: &Path) -> io::Result<Box<dyn NewFile>>;
    /// Renames a file, and replaces what has that name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file; fine where there is none.
    fn remove(&self, file: &Path) -> io::Result<()>;
    /// Opens a file for the database; `new` makes it, else it must exist.
    fn open_database(&self, file: &Path, new: bool) -> io::Result<Box<dyn StorageBackend>>;
}

/// The operating system's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealFiles;

#[derive(Debug)]
struct RealLock {
    /// The lock goes with the open folder.
    _folder: File,
}

impl FolderLock for RealLock {}

impl NewFile for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }
}

impl FileSystem for RealFiles {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        match fs::create_dir(folder) {
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Ok(()),
            made => made,
        }
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn lock(&self, folder: &Path) -> io::Result<Option<Box<dyn FolderLock>>> {
        let folder = File::open(folder)?;
        match folder.try_lock() {
            Ok(()) => Ok(Some(Box::new(RealLock { _folder: folder }))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// The names of the files in a folder.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        fs::read_dir(folder)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn exists(&self, path: &Path) -> io::Result<bool> {
        fs::exists(path)
    }

    fn read(&self, file: &Path) -> io::Result<Vec<u8>> {
        fs::read(file)
    }

    fn create(&self, file: &Path) -> io::Result<Box<dyn NewFile>> {
        Ok(Box::new(File::create_new(file)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        match fs::remove_file(file) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed,
        }
    }

    fn open_database(&self, file: &Path, new: bool) -> io::Result<Box<dyn StorageBackend>> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(new)
            .open(file)?;
        let backend = FileBackend::new(file).map_err(io::Error::other)?;
        Ok(Box::new(backend))
    }
}

/// A backend of any kind, in the form that redb takes.
#[derive(Debug)]
pub(crate) struct BoxedBackend(pub(crate) Box<dyn StorageBackend>);

impl StorageBackend for BoxedBackend {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.0.close()
    }

    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.0.try_lock_range(start, end)
    }

    fn try_lock_shared_range(
        &self,
        start: Bound<u64>,
        end: Bound<u64>,
    ) -> Result<bool, BackendError> {
        self.0.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.0.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.0.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.0.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.0.query_lock_range(start, end)
    }
}
