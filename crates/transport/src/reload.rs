//! Settings that are read again while a process runs.

use crate::start::{Program, read_flags, seed_addresses};
use config::{Settings, ValidationError};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens for SIGHUP, which says that the settings file has changed.
pub struct Reload {
    program: &'static Program,
    /// What the process started with, and its seeds as they are now.
    settings: Settings,
    seeds: Vec<String>,
    asked: Option<Signal>,
}

/// Each SIGHUP from now on, for a process that began with these settings.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// const PROGRAM: transport::Program =
///     transport::Program { name: "data-plane", about: "", tables: &[config::TIME_SETTINGS], check: |_| Vec::new() };
/// let mut reload = transport::reload_signal(&PROGRAM, &Default::default());
/// let waiting = tokio::time::timeout(std::time::Duration::from_millis(1), reload.seeds());
/// assert!(waiting.await.is_err(), "nobody sent one");
/// # });
/// ```
pub fn reload_signal(program: &'static Program, settings: &Settings) -> Reload {
    let asked = signal(SignalKind::hangup()).ok();
    Reload {
        program,
        settings: settings.clone(),
        seeds: seed_addresses(settings),
        asked,
    }
}

impl Reload {
    /// Waits until the settings, read again, name other seeds. Other changes are told in the log, and so is every
    /// complaint about settings that can't be used; the process then goes on with those it has.
    ///
    /// ```no_run
    /// # async fn wait(mut reload: transport::Reload) {
    /// println!("{:?}", reload.seeds().await);
    /// # }
    /// ```
    pub async fn seeds(&mut self) -> Vec<String> {
        loop {
            let asked = match self.asked.as_mut() {
                Some(asked) => asked.recv().await,
                None => None,
            };
            if asked.is_none() {
                std::future::pending::<()>().await;
            }
            if let Some(seeds) = self.read() {
                return seeds;
            }
        }
    }

    fn read(&mut self) -> Option<Vec<String>> {
        let refused = |complaint: ValidationError| {
            log::error!("settings: refused, going on with the old ones: {complaint}")
        };
        let (settings, ..) = read_flags(self.program)
            .map_err(|all| all.into_iter().for_each(refused))
            .ok()?;
        let names = self
            .program
            .tables
            .iter()
            .flat_map(|table| table.iter())
            .map(|setting| setting.name);
        let waits = names.filter(|name| !matches!(*name, "seeds" | "seed-port"));
        waits
            .filter(|name| settings.get(name) != self.settings.get(name))
            .for_each(|name| {
                log::warn!(
                    "settings: {name} is now '{}'; that takes effect at the next start",
                    settings.get(name)
                );
            });
        let seeds = seed_addresses(&settings);
        let changed = seeds != self.seeds;
        log::info!(
            "settings: read again; seeds are {} ({})",
            if changed { "new" } else { "as before" },
            seeds.join(",")
        );
        self.seeds.clone_from(&seeds);
        Some(seeds).filter(|_| changed)
    }
}
