//! What operators may submit.

use crate::register_history::SubmissionFacts;
use quorum_register::Change;

/// How many characters of a request's digest the register's state records.
const RECORDED_DIGEST_LENGTH: usize = 16;

/// A change that operators may submit.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The change.
    pub change: Change,
    /// The configuration's content, for changes that have one.
    pub bytes: Option<Vec<u8>>,
    /// The nodes it may be sent to.
    pub at: Vec<usize>,
}

impl Submission {
    /// A new configuration with an id, made from this revision where one is named.
    ///
    /// ```
    /// assert_eq!(model_checker::Submission::configuration("a", Some(1), &[0]).at, [0]);
    /// ```
    pub fn configuration(id: &str, base: Option<u64>, at: &[usize]) -> Self {
        Submission::with_content(id, base, None, at)
    }

    /// A new configuration under the operator's own version.
    ///
    /// ```
    /// assert!(model_checker::Submission::numbered("a", 7, &[0, 1]).bytes.is_some());
    /// ```
    pub fn numbered(id: &str, version: u64, at: &[usize]) -> Self {
        Submission::with_content(id, None, Some(version), at)
    }

    fn with_content(id: &str, base: Option<u64>, version: Option<u64>, at: &[usize]) -> Self {
        let bytes = id.as_bytes().to_vec();
        let change = Change::Configuration {
            id: id.into(),
            base_revision: base,
            version,
            digest: protocol::digest(&bytes),
        };
        Submission {
            change,
            bytes: Some(bytes),
            at: at.to_vec(),
        }
    }

    /// An evacuation, or its end.
    ///
    /// ```
    /// assert!(model_checker::Submission::evacuation("a", "north/n1", false, &[0]).bytes.is_none());
    /// ```
    pub fn evacuation(id: &str, locality: &str, back: bool, at: &[usize]) -> Self {
        let change = Change::Evacuate {
            id: id.into(),
            locality: locality.into(),
            restore: back,
            confirmed_revision: None,
        };
        Submission {
            change,
            bytes: None,
            at: at.to_vec(),
        }
    }

    pub(super) fn facts(&self) -> SubmissionFacts {
        match &self.change {
            Change::Configuration {
                digest,
                version: number,
                base_revision: base,
                ..
            } => SubmissionFacts {
                request_digest: recorded_digest(&format!("{digest} {base:?}")),
                configuration_digest: digest.clone(),
                version: *number,
            },
            Change::Evacuate {
                locality,
                restore: back,
                ..
            } => SubmissionFacts {
                request_digest: recorded_digest(&format!("{locality} {back}")),
                ..SubmissionFacts::default()
            },
            _ => SubmissionFacts::default(),
        }
    }
}

/// What the state records of what a submission asked for.
fn recorded_digest(request: &str) -> String {
    let digest = protocol::digest(request.as_bytes());
    digest.chars().take(RECORDED_DIGEST_LENGTH).collect()
}
