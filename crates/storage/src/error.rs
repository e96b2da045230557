//! Why a data folder could not be used.

use std::fmt;
use std::io;

/// What kind of trouble it is: it decides whether trying again helps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// Another process has the folder open.
    InUse,
    /// The path or its permissions are wrong: only an operator can mend that.
    Settings,
    /// The disk is full or failing: it may work again later.
    Failing,
}

/// The disk could not be used.
#[derive(Debug)]
pub struct StorageError {
    step: String,
    trouble: FailureKind,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "disk: {}", self.step)
    }
}

impl std::error::Error for StorageError {}

impl StorageError {
    pub(crate) fn new(step: impl Into<String>, trouble: FailureKind) -> Self {
        StorageError {
            step: step.into(),
            trouble,
        }
    }

    /// The trouble that an I/O error stands for.
    pub(crate) fn from_io(step: impl Into<String>, error: &io::Error) -> Self {
        use io::ErrorKind::{InvalidInput, NotADirectory, PermissionDenied};
        let trouble = match error.kind() {
            PermissionDenied | NotADirectory | InvalidInput => FailureKind::Settings,
            _ => FailureKind::Failing,
        };
        StorageError::new(step, trouble)
    }

    /// What kind of trouble it is.
    ///
    /// ```
    /// let file = std::env::temp_dir().join(format!("storage-trouble-{}", std::process::id()));
    /// std::fs::write(&file, b"a file, no folder").unwrap();
    /// let refused = storage::Storage::open(&file).err().unwrap();
    /// assert_eq!(refused.current_context().trouble(), storage::FailureKind::Settings);
    /// std::fs::remove_file(&file).unwrap();
    /// ```
    pub fn trouble(&self) -> FailureKind {
        self.trouble
    }
}
