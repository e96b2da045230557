//! The model that a history of commands is compared with: a register of one configuration with its revision, the
//! operators' versions, and the evacuated localities.

use super::{Command, CommandCall, CommandResult};
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};

/// What the calls that were put in order so far led to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Model {
    /// None after a recovery, until a result tells it.
    pub(super) revision: Option<u64>,
    digest: String,
    /// The highest version in force so far.
    number: Option<u64>,
    /// The digest of each version that was in force.
    numbers: BTreeMap<u64, String>,
    evacuated: BTreeSet<String>,
}

impl Model {
    pub(super) fn new() -> Model {
        Model {
            revision: Some(0),
            ..Model::default()
        }
    }

    /// The state after a call, where its result fits; without a result, only where it changes something.
    pub(super) fn after(&self, call: &CommandCall) -> Option<Model> {
        match (
            &call.command,
            call.returned.as_ref().map(|(_, reply)| reply),
        ) {
            (Command::Rescue, _) => Some(Model {
                revision: None,
                ..self.clone()
            }),
            (Command::Read, Some(CommandResult::Read { revision, digest })) => (*digest
                == self.digest)
                .then(|| self.at_revision(Some(*revision)))
                .flatten(),
            (Command::Read, _) => None,
            (command, None) => self.changed(command),
            (
                command,
                Some(CommandResult::Decided {
                    code: ResultCode::Success,
                    revision,
                }),
            ) => match self.changed(command) {
                Some(changed) => changed.at_revision(*revision),
                None => self
                    .is_in_effect(command)
                    .then(|| self.at_revision(*revision))
                    .flatten(),
            },
            (command, Some(CommandResult::Decided { code, revision })) => self
                .rejects(command, *code)
                .then(|| self.at_revision(*revision))
                .flatten(),
            (_, Some(CommandResult::Read { .. })) => None,
        }
    }

    /// This state, where it may have the revision of a result.
    fn at_revision(&self, returned: Option<u64>) -> Option<Model> {
        let fits = returned.is_none() || self.revision.is_none() || returned == self.revision;
        fits.then(|| Model {
            revision: returned.or(self.revision),
            ..self.clone()
        })
    }

    /// The state after a command that changes something.
    fn changed(&self, command: &Command) -> Option<Model> {
        let mut next = self.clone();
        match command {
            Command::Configuration { base, .. }
                if base.is_some_and(|base| self.revision.is_some_and(|known| known != base)) =>
            {
                return None;
            }
            Command::Configuration {
                number: Some(number),
                digest,
                ..
            } => {
                if self.number.is_some_and(|held| *number <= held) {
                    return None;
                }
                next.number = Some(*number);
                next.numbers.insert(*number, digest.clone());
                next.digest.clone_from(digest);
            }
            Command::Configuration { digest, .. } => next.digest.clone_from(digest),
            Command::Evacuate {
                locality,
                back: false,
            } if !next.evacuated.insert(locality.clone()) => return None,
            Command::Evacuate {
                locality,
                back: true,
            } if !next.evacuated.remove(locality) => return None,
            Command::Evacuate { .. } => {}
            Command::Read | Command::Rescue => return None,
        }
        next.revision = self.revision.map(|revision| revision + 1);
        Some(next)
    }

    /// True where a command that changes nothing asks for what is in effect.
    fn is_in_effect(&self, command: &Command) -> bool {
        match command {
            Command::Configuration {
                number: Some(number),
                digest,
                ..
            } => self.numbers.get(number) == Some(digest),
            Command::Evacuate { locality, back } => self.evacuated.contains(locality) != *back,
            _ => false,
        }
    }

    /// True where a command that changes nothing is rightly rejected with this code.
    fn rejects(&self, command: &Command, code: ResultCode) -> bool {
        let Command::Configuration {
            number,
            base,
            digest,
        } = command
        else {
            return false;
        };
        match code {
            ResultCode::RevisionConflict => {
                base.is_some() && (self.revision.is_none() || *base != self.revision)
            }
            ResultCode::VersionConflict => {
                let known = number.and_then(|number| self.numbers.get(&number));
                known.is_some_and(|known| known != digest)
            }
            ResultCode::Superseded => {
                number.is_some_and(|number| self.number.is_some_and(|held| number < held))
            }
            _ => false,
        }
    }
}
