//! A process's own settings: one table, read from a file and from flags (flags win).

use crate::check::{ValidationError, add_validation_error};
use crate::json_value::JsonValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a setting may hold.
#[derive(Clone, Copy, Debug)]
pub enum SettingType {
    Id,
    Locality,
    /// An IP number and a port.
    Address,
    /// Up to three of those, with commas.
    Addresses,
    /// Localities, with commas.
    Localities,
    Directory,
    /// Milliseconds, from least to most.
    DurationMs(u64, u64),
    Integer(u64, u64),
    OneOf(&'static [&'static str]),
    /// Some of these, with commas.
    SomeOf(&'static [&'static str]),
}

/// One setting's name, shape, default (none: it must be given) and a sentence for --help.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub name: &'static str,
    pub kind: SettingType,
    pub default: Option<&'static str>,
    pub help: &'static str,
}

/// The design's time values, the same for both daemons.
pub const TIME_SETTINGS: &[Setting] = &[
    span(
        "address-lifetime-ms",
        "2000",
        200,
        5000,
        "how long an origin may keep an address",
    ),
    span(
        "confirm-every-ms",
        "500",
        50,
        2000,
        "how often a majority confirms the edition",
    ),
    span(
        "stale-after-ms",
        "2000",
        200,
        3000,
        "the age at which a view is no longer used",
    ),
    span(
        "probe-every-ms",
        "300",
        20,
        5000,
        "how often one other node is probed",
    ),
    span(
        "suspect-for-ms",
        "1500",
        100,
        30000,
        "how long a suspect has to refute",
    ),
    span(
        "claim-span-ms",
        "1500",
        300,
        30000,
        "how long a claim is granted for",
    ),
    span(
        "claim-margin-ms",
        "500",
        50,
        5000,
        "how long before its end a holder stops",
    ),
    span(
        "share-span-ms",
        "3000",
        300,
        30000,
        "how long a key share is held after a beat",
    ),
    span(
        "upstream-silent-ms",
        "3000",
        300,
        30000,
        "how long a silent upstream is kept",
    ),
    span(
        "mark-lifetime-ms",
        "60000",
        5000,
        86_400_000,
        "how long a forwarding mark is kept",
    ),
    span(
        "wait-ms",
        "150",
        0,
        2000,
        "how long a request may wait for a seat; 0 denies at once",
    ),
    span(
        "least-stay-ms",
        "4000",
        0,
        600_000,
        "how long a name stays before an unforced move",
    ),
];

const fn span(
    name: &'static str,
    default: &'static str,
    least: u64,
    most: u64,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        kind: SettingType::DurationMs(least, most),
        default: Some(default),
        help,
    }
}

/// Checks time values against each other.
///
/// ```
/// use config::{Settings, TIME_SETTINGS, validate_times};
/// let flags = vec![("stale-after-ms".to_owned(), "3000".to_owned()),
///                  ("address-lifetime-ms".to_owned(), "2500".to_owned())];
/// let settings = Settings::parse(&[TIME_SETTINGS], None, &flags).unwrap();
/// let validation_errors = validate_times(&settings);
/// assert_eq!(validation_errors[0].path, "address-lifetime-ms");
/// assert!(validate_times(&Settings::parse(&[TIME_SETTINGS], None, &[]).unwrap()).is_empty());
/// ```
pub fn validate_times(settings: &Settings) -> Vec<ValidationError> {
    let mut validation_errors = Vec::new();
    let ms = |name| settings.duration(name).as_millis() as u64;
    let mut must = |held: bool, name: &str, text: &str| {
        if !held {
            add_validation_error(
                &mut validation_errors,
                name,
                format!("{}: {text}", settings.get(name)),
            );
        }
    };
    must(
        ms("address-lifetime-ms") + ms("stale-after-ms") <= 4500,
        "address-lifetime-ms",
        "with stale-after-ms it must come to 4500 at most, so that no address is used over 5 s after a change",
    );
    must(
        ms("confirm-every-ms") * 3 <= ms("stale-after-ms"),
        "confirm-every-ms",
        "must be a third of stale-after-ms at most",
    );
    must(
        ms("stale-after-ms") <= 2500,
        "stale-after-ms",
        "must be 2500 at most, so that a setup is in force within 3 s everywhere that serves",
    );
    must(
        ms("claim-margin-ms") * 3 <= ms("claim-span-ms"),
        "claim-margin-ms",
        "must be a third of claim-span-ms at most",
    );
    must(
        ms("probe-every-ms") * 2 <= ms("suspect-for-ms"),
        "suspect-for-ms",
        "must be twice probe-every-ms at least",
    );
    validation_errors
}

/// Checked settings, each under its name.
#[derive(Clone, Debug, Default)]
pub struct Settings(BTreeMap<&'static str, String>);

impl Settings {
    /// Reads a settings file's text and flags against tables of settings; every complaint at once.
    ///
    /// ```
    /// use config::{Settings, TIME_SETTINGS};
    /// let file = Some(r#"{"probe-every-ms": 100, "colour": "red"}"#);
    /// let validation_errors = Settings::parse(&[TIME_SETTINGS], file, &[]).unwrap_err();
    /// assert_eq!(validation_errors[0].path, "colour");
    /// let flags = [("probe-every-ms".to_owned(), "250".to_owned())];
    /// let settings = Settings::parse(&[TIME_SETTINGS], Some(r#"{"probe-every-ms": 100}"#), &flags).unwrap();
    /// assert_eq!(settings.get("probe-every-ms"), "250");
    /// ```
    pub fn parse(
        tables: &[&[Setting]],
        file: Option<&str>,
        flags: &[(String, String)],
    ) -> Result<Settings, Vec<ValidationError>> {
        let mut validation_errors = Vec::new();
        let mut given = BTreeMap::new();
        file.into_iter()
            .for_each(|text| match JsonValue::parse(text) {
                Ok(JsonValue::Object(fields)) => fields.into_iter().for_each(|(name, json)| {
                    if given.insert(name.clone(), plain(&json)).is_some() {
                        add_validation_error(
                            &mut validation_errors,
                            &name,
                            "comes twice in the settings file",
                        );
                    }
                }),
                Ok(_) => add_validation_error(
                    &mut validation_errors,
                    "settings file",
                    "must be one object",
                ),
                Err(text) => add_validation_error(&mut validation_errors, "settings file", text),
            });
        given.extend(flags.iter().cloned());
        let known = || tables.iter().flat_map(|table| table.iter());
        given
            .iter()
            .filter(|(name, _)| !known().any(|setting| setting.name == name.as_str()))
            .for_each(|(name, value)| {
                let names: Vec<&str> = known().map(|setting| setting.name).collect();
                let text = format!(
                    "no such setting (given '{value}'); known: {}",
                    names.join(", ")
                );
                add_validation_error(&mut validation_errors, name, text);
            });
        let mut settings = BTreeMap::new();
        known().for_each(|setting| {
            match given
                .get(setting.name)
                .map(String::as_str)
                .or(setting.default)
            {
                None => add_validation_error(
                    &mut validation_errors,
                    setting.name,
                    format!("must be given: {}", setting.help),
                ),
                Some(value) => match fits(setting.kind, value) {
                    Ok(()) => {
                        settings.insert(setting.name, value.to_owned());
                    }
                    Err(allowed) => add_validation_error(
                        &mut validation_errors,
                        setting.name,
                        format!("'{value}': {allowed}"),
                    ),
                },
            }
        });
        if validation_errors.is_empty() {
            Ok(Settings(settings))
        } else {
            Err(validation_errors)
        }
    }

    /// The text of a setting; empty where the tables have no such name.
    ///
    /// ```
    /// let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
    /// assert_eq!(settings.get("claim-span-ms"), "1500");
    /// ```
    pub fn get(&self, name: &str) -> &str {
        self.0.get(name).map(String::as_str).unwrap_or_default()
    }

    /// A setting in milliseconds as a span.
    ///
    /// ```
    /// let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
    /// assert_eq!(settings.duration("claim-span-ms").as_millis(), 1500);
    /// ```
    pub fn duration(&self, name: &str) -> Duration {
        Duration::from_millis(self.count(name))
    }

    /// A setting that is a whole number.
    ///
    /// ```
    /// let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
    /// assert_eq!(settings.count("claim-span-ms"), 1500);
    /// ```
    pub fn count(&self, name: &str) -> u64 {
        self.get(name).parse().unwrap_or(0)
    }

    /// A setting that is a list with commas.
    ///
    /// ```
    /// assert!(config::Settings::default().list("seeds").is_empty());
    /// ```
    pub fn list(&self, name: &str) -> Vec<String> {
        self.get(name)
            .split(',')
            .filter(|part| !part.is_empty())
            .map(str::to_owned)
            .collect()
    }
}

fn plain(json: &JsonValue) -> String {
    match json {
        JsonValue::String(text) => text.clone(),
        JsonValue::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn fits(kind: SettingType, value: &str) -> Result<(), String> {
    let number = |least: u64, most: u64, unit: &str| {
        value
            .parse::<u64>()
            .ok()
            .filter(|count| (least..=most).contains(count))
            .map(drop)
            .ok_or_else(|| format!("must be a whole number from {least} to {most}{unit}"))
    };
    let truth = |held: bool, text: &str| if held { Ok(()) } else { Err(text.to_owned()) };
    match kind {
        SettingType::Id => truth(
            locality::is_valid_id(value),
            "must be 1 to 64 of a-z A-Z 0-9 - _ .",
        ),
        SettingType::Locality => value
            .parse::<locality::Locality>()
            .map(drop)
            .map_err(|_| "must be region/zone".into()),
        SettingType::Address => value
            .parse::<SocketAddr>()
            .map(drop)
            .map_err(|_| "must be an IP number and a port".into()),
        SettingType::Addresses => {
            let parts: Vec<&str> = value.split(',').filter(|part| !part.is_empty()).collect();
            truth(
                parts.len() <= 3 && parts.iter().all(|part| part.parse::<SocketAddr>().is_ok()),
                "must be up to three of IP:port, with commas",
            )
        }
        SettingType::Localities => truth(
            value
                .split(',')
                .filter(|part| !part.is_empty())
                .all(|part| part.parse::<locality::Locality>().is_ok()),
            "must be localities (region/zone), with commas",
        ),
        SettingType::Directory => truth(!value.is_empty(), "must be a folder"),
        SettingType::DurationMs(least, most) => number(least, most, " (milliseconds)"),
        SettingType::Integer(least, most) => number(least, most, ""),
        SettingType::OneOf(allowed) => truth(
            allowed.contains(&value),
            &format!("must be one of {}", allowed.join(", ")),
        ),
        SettingType::SomeOf(allowed) => truth(
            !value.is_empty() && value.split(',').all(|part| allowed.contains(&part)),
            &format!("must be some of {}, with commas", allowed.join(", ")),
        ),
    }
}
