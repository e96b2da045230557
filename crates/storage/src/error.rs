//! Why a data folder could not be used.

use error_stack::Report;
use std::io;

/// The kind of a failure: it decides whether a retry can help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// Another process has the folder open.
    InUse,
    /// The path or its permissions are wrong: only an operator can correct that.
    Settings,
    /// The disk is full or failing: a retry may succeed later.
    Failing,
}

/// The disk could not be used. The cause is attached to the [`Report`].
#[derive(Debug, thiserror::Error)]
#[error("disk: {step}")]
pub struct StorageError {
    step: String,
    kind: FailureKind,
}

impl StorageError {
    pub(crate) fn new(step: impl Into<String>, kind: FailureKind) -> Self {
        StorageError {
            step: step.into(),
            kind,
        }
    }

    /// The failure that an I/O error stands for.
    pub(crate) fn from_io(step: impl Into<String>, error: &io::Error) -> Self {
        use io::ErrorKind::{InvalidInput, NotADirectory, PermissionDenied};
        let kind = match error.kind() {
            PermissionDenied | NotADirectory | InvalidInput => FailureKind::Settings,
            _ => FailureKind::Failing,
        };
        StorageError::new(step, kind)
    }

    /// The kind of the failure.
    ///
    /// ```
    /// let file = std::env::temp_dir().join(format!("storage-failure-{}", std::process::id()));
    /// std::fs::write(&file, b"a file, no folder").unwrap();
    /// let error = storage::Storage::open(&file).err().unwrap();
    /// assert_eq!(error.current_context().kind(), storage::FailureKind::Settings);
    /// std::fs::remove_file(&file).unwrap();
    /// ```
    pub fn kind(&self) -> FailureKind {
        self.kind
    }
}

/// Reports an I/O error of this step.
pub(crate) fn failed(step: &str) -> impl Fn(io::Error) -> Report<StorageError> {
    move |error| {
        let context = StorageError::from_io(step, &error);
        Report::new(error).change_context(context)
    }
}

/// Reports that another process has the folder open.
pub(crate) fn in_use() -> Report<StorageError> {
    Report::new(StorageError::new(
        "another process uses this data folder",
        FailureKind::InUse,
    ))
}
