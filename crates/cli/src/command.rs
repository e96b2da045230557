//! The commands, and the words that name them.

use crate::arguments::Arguments;
use crate::error::CliError;

/// A command with its operands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Submit a configuration.
    ApplyConfiguration {
        /// The file that holds it.
        file: String,
    },
    /// Print the configuration in force.
    GetConfiguration,
    /// Validate a configuration without a node.
    CheckConfiguration {
        /// The file that holds it.
        file: String,
    },
    /// Convert Gateway API manifests into a configuration.
    ConvertManifests {
        /// The file with the manifests.
        manifests: String,
        /// The file with a configuration that describes the services.
        services: String,
    },
    /// Take all traffic away from a locality.
    Evacuate {
        /// Region and zone.
        locality: String,
    },
    /// Send traffic to a locality again.
    Restore {
        /// Region and zone.
        locality: String,
    },
    /// List the voters.
    ListVoters,
    /// Change the voters.
    ChangeVoters(VoterChange),
    /// Summarise the whole site.
    ShowSite,
    /// Print a page of one node.
    ShowPage(Page),
    /// Query a directory node.
    Lookup {
        /// Host name.
        name: String,
        /// Region and zone of the supposed client.
        locality: String,
    },
    /// Explain how a request was routed.
    TraceAttempt {
        /// Id of the attempt.
        attempt_id: String,
    },
    /// Explain how a request would be routed now.
    TraceSupposed {
        /// Host name.
        name: String,
        /// Path.
        path: String,
        /// Affinity key; empty for none.
        key: String,
    },
    /// Save a survivor's state from its data folder.
    ExportSurvivor {
        /// Id of the node.
        node: String,
        /// Its data folder.
        data_folder: String,
        /// The file to write.
        file: String,
    },
    /// Merge the states of all survivors.
    MergeSurvivors {
        /// The file to write.
        file: String,
        /// Files with the survivors' states.
        survivors: Vec<String>,
    },
    /// Put the merged state into an empty data folder.
    ImportMerged {
        /// The file with the merged state.
        file: String,
        /// The data folder.
        data_folder: String,
    },
}

/// One change of the set of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// A replica becomes a voter.
    Add {
        /// Id of the node.
        node: String,
    },
    /// A voter leaves.
    Remove {
        /// Id of the node.
        node: String,
    },
    /// A replica takes a voter's place.
    Replace {
        /// The voter that leaves.
        old: String,
        /// The replica that becomes a voter.
        new: String,
    },
}

/// A page that a node serves about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    /// A control node's view of the site.
    Status,
    /// A data-plane node's own state.
    Node,
    /// All known upstreams.
    Upstreams,
    /// Reserved capacity.
    Reservations,
    /// Tombstones of upstreams that signed off.
    Tombstones,
    /// Counters.
    Counters,
    /// Whether the node is ready.
    Ready,
}

impl Page {
    fn named(name: &str) -> Option<Page> {
        match name {
            "status" => Some(Page::Status),
            "node" => Some(Page::Node),
            "upstreams" => Some(Page::Upstreams),
            "reservations" => Some(Page::Reservations),
            "tombstones" => Some(Page::Tombstones),
            "counters" => Some(Page::Counters),
            "ready" => Some(Page::Ready),
            _ => None,
        }
    }

    /// The path of the nodes' API, which keeps the names of earlier releases.
    pub fn path(self) -> &'static str {
        match self {
            Page::Status => "/status",
            Page::Node => "/node",
            Page::Upstreams => "/upstreams",
            Page::Reservations => "/reservations",
            Page::Tombstones => "/marks",
            Page::Counters => "/counters",
            Page::Ready => "/ready",
        }
    }
}

/// The first word of a command as an earlier release named it.
struct Alias {
    accepted: &'static str,
    standard: &'static [&'static str],
}

/// Every name of an earlier release that is still accepted: scripts and runbooks use them.
const ALIASES: &[Alias] = &[
    Alias {
        accepted: "submit",
        standard: &["config", "apply"],
    },
    Alias {
        accepted: "read",
        standard: &["config", "get"],
    },
    Alias {
        accepted: "check",
        standard: &["config", "check"],
    },
    Alias {
        accepted: "manifest",
        standard: &["config", "convert"],
    },
    Alias {
        accepted: "take-back",
        standard: &["restore"],
    },
    Alias {
        accepted: "marks",
        standard: &["tombstones"],
    },
    Alias {
        accepted: "survivor",
        standard: &["recovery", "export"],
    },
    Alias {
        accepted: "testament",
        standard: &["recovery", "export"],
    },
    Alias {
        accepted: "settle",
        standard: &["recovery", "merge"],
    },
    Alias {
        accepted: "inherit",
        standard: &["recovery", "import"],
    },
];

/// The words with a leading alias replaced by the standard name.
fn standard_words(words: &[String]) -> Vec<&str> {
    let Some((first, operands)) = words.split_first() else {
        return Vec::new();
    };
    let alias = ALIASES.iter().find(|alias| alias.accepted == first);
    let mut standard = match alias {
        Some(alias) => alias.standard.to_vec(),
        None => vec![first.as_str()],
    };
    standard.extend(operands.iter().map(String::as_str));
    standard
}

impl Command {
    /// The command that the arguments name.
    ///
    /// ```
    /// use cli::{arguments::Arguments, command::Command};
    /// let named = |words: &[&str]| {
    ///     let words = words.iter().map(|word| word.to_string()).collect();
    ///     Command::from_arguments(&Arguments { words, ..Arguments::default() })
    /// };
    /// assert_eq!(named(&["take-back", "north/n1"]).unwrap(), named(&["restore", "north/n1"]).unwrap());
    /// assert!(named(&["dance"]).is_err());
    /// ```
    pub fn from_arguments(arguments: &Arguments) -> Result<Command, CliError> {
        match standard_words(&arguments.words).as_slice() {
            [] => Err(CliError::NoCommand),
            ["config", words @ ..] => Command::configuration(words, arguments),
            ["recovery", words @ ..] => Command::recovery(words, arguments),
            ["voters", words @ ..] => Command::voters(words, arguments),
            ["evacuate", locality] => Ok(Command::Evacuate {
                locality: locality.to_string(),
            }),
            ["restore", locality] => Ok(Command::Restore {
                locality: locality.to_string(),
            }),
            ["site"] => Ok(Command::ShowSite),
            ["lookup", name, locality] => Ok(Command::Lookup {
                name: name.to_string(),
                locality: locality.to_string(),
            }),
            ["trace", attempt_id] => Ok(Command::TraceAttempt {
                attempt_id: attempt_id.to_string(),
            }),
            ["trace"] => Command::trace_supposed(arguments),
            [page] => Page::named(page)
                .map(Command::ShowPage)
                .ok_or_else(|| unknown(arguments)),
            _ => Err(unknown(arguments)),
        }
    }

    fn configuration(words: &[&str], arguments: &Arguments) -> Result<Command, CliError> {
        match words {
            ["apply", file] => Ok(Command::ApplyConfiguration {
                file: file.to_string(),
            }),
            ["get"] => Ok(Command::GetConfiguration),
            ["check", file] => Ok(Command::CheckConfiguration {
                file: file.to_string(),
            }),
            ["convert", manifests] => match &arguments.services {
                Some(services) => Ok(Command::ConvertManifests {
                    manifests: manifests.to_string(),
                    services: services.clone(),
                }),
                None => Err(CliError::MissingFlag {
                    command: "config convert",
                    flags: "--services",
                }),
            },
            _ => Err(unknown(arguments)),
        }
    }

    fn recovery(words: &[&str], arguments: &Arguments) -> Result<Command, CliError> {
        match words {
            ["export", node, data_folder, file] => Ok(Command::ExportSurvivor {
                node: node.to_string(),
                data_folder: data_folder.to_string(),
                file: file.to_string(),
            }),
            ["merge", file, survivors @ ..] => Ok(Command::MergeSurvivors {
                file: file.to_string(),
                survivors: survivors.iter().map(|file| file.to_string()).collect(),
            }),
            ["import", file, data_folder] => Ok(Command::ImportMerged {
                file: file.to_string(),
                data_folder: data_folder.to_string(),
            }),
            _ => Err(unknown(arguments)),
        }
    }

    fn voters(words: &[&str], arguments: &Arguments) -> Result<Command, CliError> {
        let change = match words {
            [] => return Ok(Command::ListVoters),
            ["add", node] => VoterChange::Add {
                node: node.to_string(),
            },
            ["remove", node] => VoterChange::Remove {
                node: node.to_string(),
            },
            ["replace", old, new] => VoterChange::Replace {
                old: old.to_string(),
                new: new.to_string(),
            },
            _ => return Err(unknown(arguments)),
        };
        Ok(Command::ChangeVoters(change))
    }

    fn trace_supposed(arguments: &Arguments) -> Result<Command, CliError> {
        let (Some(name), Some(path)) = (&arguments.name, &arguments.path) else {
            return Err(CliError::MissingFlag {
                command: "trace",
                flags: "the id of an attempt, or --name and --path",
            });
        };
        Ok(Command::TraceSupposed {
            name: name.clone(),
            path: path.clone(),
            key: arguments.key.clone().unwrap_or_default(),
        })
    }
}

fn unknown(arguments: &Arguments) -> CliError {
    CliError::InvalidArgument(format!("unknown command '{}'", arguments.words.join(" ")))
}
