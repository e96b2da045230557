//! The subcommands that are more than a call of one package.

pub mod explore;
pub mod measure;
