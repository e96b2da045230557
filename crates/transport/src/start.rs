//! Starting a daemon: flags, settings file, logs and the clock.

use config::{Setting, SettingType, Settings, ValidationError, validate_times};
use log::LevelFilter;
use random::Random;
use simplelog::{Config, ConfigBuilder, SimpleLogger};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Documented exit codes.
pub mod exit {
    /// All went well.
    pub const SUCCESS: i32 = 0;
    /// It was asked for something that failed.
    pub const FAILURE: i32 = 1;
    /// Flags or settings were denied.
    pub const USAGE: i32 = 2;
    /// The disk or a socket could not be used.
    pub const START_FAILED: i32 = 3;
}

/// What a daemon says of itself.
pub struct Program {
    pub name: &'static str,
    pub about: &'static str,
    pub tables: &'static [&'static [Setting]],
    /// Checks settings against each other.
    pub check: fn(&Settings) -> Vec<ValidationError>,
}

/// Monotonic time since the process started; nothing else decides anything. It goes on while the machine is
/// suspended (`CLOCK_BOOTTIME`), as `std::time::Instant` on Linux does not: what others were promised runs out
/// meanwhile.
///
/// ```
/// let clock = transport::Clock::default();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy)]
pub struct Clock(Duration);

impl Default for Clock {
    fn default() -> Self {
        Clock(since_boot())
    }
}

impl Clock {
    /// Time since the start.
    ///
    /// ```
    /// assert!(transport::Clock::default().now().as_secs() < 60);
    /// ```
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.0)
    }
}

/// Time since the machine's boot, suspensions counted.
///
/// ```
/// assert!(transport::since_boot() <= transport::since_boot());
/// ```
pub fn since_boot() -> Duration {
    let told = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(told.tv_sec.max(0) as u64, told.tv_nsec.max(0) as u32)
}

/// Reads flags and settings, sets up the log; ends the process where it was only asked or told wrongly.
///
/// ```no_run
/// let program = transport::Program { name: "data-plane", about: "The data plane.", tables: &[config::TIME_SETTINGS],
///     check: |_| Vec::new() };
/// let settings = transport::parse_settings_or_exit(&program);
/// ```
pub fn parse_settings_or_exit(program: &Program) -> Settings {
    // Until the process listens for it, this signal would end it.
    if tokio::runtime::Handle::try_current().is_ok() {
        drop(signal(SignalKind::hangup()));
    }
    match read_flags(program) {
        Ok((settings, level, check_only)) => {
            let _ = SimpleLogger::init(level, log_shape());
            if check_only {
                println!("{}: the settings are fine", program.name);
                std::process::exit(exit::SUCCESS);
            }
            settings
        }
        Err(validation_errors) => {
            validation_errors
                .iter()
                .for_each(|complaint| eprintln!("{}: {complaint}", program.name));
            eprintln!("{}: see --help", program.name);
            std::process::exit(exit::USAGE)
        }
    }
}

/// The settings, how much is logged, and whether they are only to be checked.
pub(crate) fn read_flags(
    program: &Program,
) -> Result<(Settings, LevelFilter, bool), Vec<ValidationError>> {
    let wrong = |path: &str, text: String| {
        vec![ValidationError {
            path: path.to_owned(),
            text,
        }]
    };
    let (mut flags, mut file, mut check_only, mut level) =
        (Vec::new(), None, false, LevelFilter::Info);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser
        .next()
        .map_err(|failure| wrong("flags", failure.to_string()))?
    {
        use lexopt::Arg::{Long, Short, Value};
        let name = match arg {
            Long("help") | Short('h') => {
                help(program);
                std::process::exit(exit::SUCCESS)
            }
            Long("version") | Short('V') => {
                println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
                std::process::exit(exit::SUCCESS)
            }
            Long("check") => {
                check_only = true;
                continue;
            }
            Long(name) => name.to_owned(),
            Short(short) => return Err(wrong(&format!("-{short}"), "no such flag".into())),
            Value(value) => {
                return Err(wrong(&value.to_string_lossy(), "not expected here".into()));
            }
        };
        let value = parser
            .value()
            .map_err(|failure| wrong(&name, failure.to_string()))?;
        let value = value.to_string_lossy().into_owned();
        match name.as_str() {
            "settings" => {
                let text = std::fs::read_to_string(&value);
                file = Some(
                    text.map_err(|failure| wrong("settings", format!("'{value}': {failure}")))?,
                );
            }
            "log" => {
                let text = "must be off, error, warn, info, debug or trace";
                level = value
                    .parse()
                    .map_err(|_| wrong("log", format!("'{value}': {text}")))?;
            }
            _ => flags.push((name, value)),
        }
    }
    let settings = Settings::parse(program.tables, file.as_deref(), &flags)?;
    let mut validation_errors = validate_times(&settings);
    validation_errors.extend((program.check)(&settings));
    if !validation_errors.is_empty() {
        return Err(validation_errors);
    }
    Ok((settings, level, check_only))
}

fn log_shape() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .build()
}

fn help(program: &Program) {
    println!(
        "{} {}\n{}\n",
        program.name,
        env!("CARGO_PKG_VERSION"),
        program.about
    );
    println!(
        "usage: {} [--settings FILE] [--NAME VALUE ...]\n",
        program.name
    );
    println!("  --settings FILE   a JSON object of the settings below; flags win over it");
    println!("  --check           check the settings and stop");
    println!("  --log LEVEL       off, error, warn, info (default), debug or trace");
    println!("  --help, --version\n\nsettings:");
    program
        .tables
        .iter()
        .flat_map(|table| table.iter())
        .for_each(|setting| {
            let allowed = match setting.kind {
                SettingType::DurationMs(least, most) => format!("{least} to {most} ms"),
                SettingType::Integer(least, most) => format!("{least} to {most}"),
                SettingType::OneOf(allowed) => allowed.join(" or "),
                SettingType::SomeOf(allowed) => format!("some of {}", allowed.join(",")),
                SettingType::Id => "an id".into(),
                SettingType::Locality => "region/zone".into(),
                SettingType::Address => "IP:port".into(),
                SettingType::Addresses => "up to three IP:port, with commas".into(),
                SettingType::Localities => "some of region/zone, with commas".into(),
                SettingType::Directory => "a folder".into(),
            };
            let default = setting
                .default
                .map(|value| format!("default {value}"))
                .unwrap_or("required".into());
            println!(
                "  --{:<20} {} ({allowed}; {default})",
                setting.name, setting.help
            );
        });
    println!("\nexit codes: 0 fine, 1 failed, 2 flags or settings denied, 3 could not start");
}

/// Where other processes are reached at first: the seeds, each with the port of links where one is set.
///
/// ```
/// use config::{Setting, Settings, SettingType};
/// let table = [
///     Setting { name: "seeds", kind: SettingType::Addresses, default: Some("127.0.0.1:1,127.0.0.2:1"), help: "" },
///     Setting { name: "seed-port", kind: SettingType::Integer(0, 65_535), default: Some("7"), help: "" },
/// ];
/// assert_eq!(transport::seed_addresses(&Settings::parse(&[&table], None, &[]).unwrap()), ["127.0.0.1:7", "127.0.0.2:7"]);
/// ```
pub fn seed_addresses(settings: &Settings) -> Vec<String> {
    let port = settings.get("seed-port");
    let link = |seed: String| match seed.rsplit_once(':') {
        Some((ip, _)) if !matches!(port, "" | "0") => format!("{ip}:{port}"),
        _ => seed,
    };
    settings.list("seeds").into_iter().map(link).collect()
}

/// A seed that differs at each start.
///
/// ```
/// assert_ne!(transport::random_seed(), transport::random_seed());
/// ```
pub fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let drawn = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    Random::new(drawn).next_u64()
}

/// Done when the process is asked to stop (SIGTERM or SIGINT).
///
/// ```no_run
/// # async fn wait() {
/// transport::stop_signal().await;
/// # }
/// ```
pub async fn stop_signal() {
    let (terminate, interrupt) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    if let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
