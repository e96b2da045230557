//! Commands of operators, and what is known of each until it is decided.

use control_plane::ControlRequest;
use invariants::history::Command;
use quorum_register::ChangeId;
use std::time::Duration;

/// A command of an operator, until it is decided.
pub struct Submission {
    pub(crate) id: String,
    /// Sent without the id: only its version distinguishes it from another.
    pub(crate) anonymous: bool,
    /// How many commands the operators knew to be decided when it was first sent.
    pub(crate) since: u64,
    pub(crate) submitted_at: Duration,
    pub(crate) what: OperatorCommand,
    pub(crate) decided: bool,
    pub(crate) attempts: u32,
    pub(crate) retry_scheduled: bool,
    /// Submitted once this one is decided.
    pub(crate) then: Option<OperatorCommand>,
}

impl Submission {
    /// True where a delayed command can be distinguished from a new one: by its id or its version.
    pub(crate) fn is_distinguishable(&self) -> bool {
        !self.anonymous || matches!(self.what, OperatorCommand::Versioned { .. })
    }

    pub(crate) fn request(&self) -> ControlRequest {
        let id = ChangeId {
            id: self.id.clone(),
            since: Some(self.since),
        };
        let id = if self.anonymous {
            ChangeId::default()
        } else {
            id
        };
        match self.what.clone() {
            OperatorCommand::Configuration { bytes, base, .. } => {
                ControlRequest::SubmitConfiguration {
                    id,
                    base,
                    bytes: bytes.into_bytes(),
                    in_force: false,
                }
            }
            OperatorCommand::Versioned { bytes, .. } => ControlRequest::SubmitConfiguration {
                id,
                base: None,
                bytes: bytes.into_bytes(),
                in_force: false,
            },
            OperatorCommand::Evacuate { locality, back } => ControlRequest::Evacuate {
                id,
                locality,
                back,
                in_force: false,
            },
        }
    }

    /// The same, in the terms of the history checker.
    pub(crate) fn command(&self) -> Command {
        let digest = |bytes: &str| protocol::digest(bytes.as_bytes());
        match &self.what {
            OperatorCommand::Configuration { bytes, base, .. } => Command::Configuration {
                number: None,
                base: *base,
                digest: digest(bytes),
            },
            OperatorCommand::Versioned { bytes, number } => Command::Configuration {
                number: Some(*number),
                base: None,
                digest: digest(bytes),
            },
            OperatorCommand::Evacuate { locality, back } => Command::Evacuate {
                locality: locality.clone(),
                back: *back,
            },
        }
    }
}

/// What an operator asks for.
#[derive(Clone)]
pub enum OperatorCommand {
    Configuration {
        bytes: String,
        base: Option<u64>,
        marker: usize,
    },
    /// With the operator's own number.
    Versioned {
        bytes: String,
        number: u64,
    },
    Evacuate {
        locality: String,
        back: bool,
    },
}
