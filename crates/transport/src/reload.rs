//! Settings that are read again while a process runs.

use crate::command_line::{self, Invocation};
use crate::program::Program;
use crate::seeds::seed_addresses;
use config::Settings;
use std::future::pending;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Settings that take effect without a restart.
const RELOADABLE: [&str; 2] = ["seeds", "seed-port"];

/// Listens for SIGHUP, which says that the settings file has changed.
pub struct Reload {
    program: &'static Program,
    /// What the process started with.
    settings: Settings,
    /// The seeds as they are now.
    seeds: Vec<String>,
    /// None where the signal can't be received.
    hangup: Option<Signal>,
}

/// Listens for SIGHUP from now on, for a process that started with these settings.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// const PROGRAM: transport::Program =
///     transport::Program { name: "data-plane", about: "", tables: &[config::TIME_SETTINGS], check: |_| Vec::new() };
/// let mut reload = transport::reload_signal(&PROGRAM, &Default::default());
/// let waiting = tokio::time::timeout(std::time::Duration::from_millis(1), reload.changed_seeds());
/// assert!(waiting.await.is_err(), "nobody sent one");
/// # });
/// ```
pub fn reload_signal(program: &'static Program, settings: &Settings) -> Reload {
    Reload {
        program,
        settings: settings.clone(),
        seeds: seed_addresses(settings),
        hangup: signal(SignalKind::hangup()).ok(),
    }
}

impl Reload {
    /// Waits until the settings, read again, name other seeds. Other changes are only logged, and so is every
    /// validation error of settings that can't be used; the process then goes on with those it has.
    ///
    /// ```no_run
    /// # async fn wait(mut reload: transport::Reload) {
    /// println!("{:?}", reload.changed_seeds().await);
    /// # }
    /// ```
    pub async fn changed_seeds(&mut self) -> Vec<String> {
        loop {
            let received = match self.hangup.as_mut() {
                Some(hangup) => hangup.recv().await,
                None => None,
            };
            if received.is_none() {
                pending::<()>().await;
            }
            if let Some(seeds) = self.read_again() {
                return seeds;
            }
        }
    }

    /// The seeds, where they changed.
    fn read_again(&mut self) -> Option<Vec<String>> {
        let settings = match command_line::parse(self.program) {
            Ok(Invocation::Run(options)) => options.settings,
            // The process would have ended at its start.
            Ok(Invocation::Print(_)) => return None,
            Err(validation_errors) => {
                for error in validation_errors {
                    log::error!("settings: refused, going on with the old ones: {error}");
                }
                return None;
            }
        };
        self.log_changes(&settings);
        let seeds = seed_addresses(&settings);
        let has_changed = seeds != self.seeds;
        log::info!(
            "settings: read again; seeds are {} ({})",
            if has_changed { "new" } else { "as before" },
            seeds.join(",")
        );
        self.seeds.clone_from(&seeds);
        Some(seeds).filter(|_| has_changed)
    }

    /// Logs the settings that changed and take effect at the next start.
    fn log_changes(&self, settings: &Settings) {
        for setting in self.program.tables.iter().flat_map(|table| table.iter()) {
            let name = setting.name;
            let value = settings.get(name);
            if !RELOADABLE.contains(&name) && value != self.settings.get(name) {
                log::warn!(
                    "settings: {name} is now '{value}'; that takes effect at the next start"
                );
            }
        }
    }
}
