//! A process's own settings, from a settings file and command-line flags (flags win), checked against tables.

use crate::json_value::JsonValue;
use crate::validation::{ValidationError, add_validation_error};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Where errors of the settings file as a whole are reported.
const SETTINGS_FILE: &str = "settings file";
/// Most addresses in a [`SettingType::Addresses`].
const MAX_ADDRESSES: usize = 3;

/// What a setting may hold.
#[derive(Clone, Copy, Debug)]
pub enum SettingType {
    /// An id.
    Id,
    /// A region and a zone: region/zone.
    Locality,
    /// An IP address and a port.
    Address,
    /// Up to three of those, with commas.
    Addresses,
    /// Localities, with commas.
    Localities,
    /// A path of a directory.
    Directory,
    /// Milliseconds, from the least to the most.
    DurationMs(u64, u64),
    /// A whole number, from the least to the most.
    Integer(u64, u64),
    /// A number from zero to the most, with decimals; empty where the default holds.
    Decimal(u64),
    /// One of these.
    OneOf(&'static [&'static str]),
    /// Some of these, with commas.
    SomeOf(&'static [&'static str]),
}

/// Describes one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Its name, in the settings file and as a flag.
    pub name: &'static str,
    /// What it may hold.
    pub kind: SettingType,
    /// Its value where it is not given; none where it must be given.
    pub default: Option<&'static str>,
    /// A sentence for `--help`.
    pub help: &'static str,
}

impl Setting {
    /// A setting of a table. `default` is none where it must be given.
    ///
    /// ```
    /// use config::{Setting, SettingType};
    /// const NODE: Setting = Setting::new("node", SettingType::Id, None, "this process's id");
    /// assert_eq!(NODE.name, "node");
    /// ```
    pub const fn new(
        name: &'static str,
        kind: SettingType,
        default: Option<&'static str>,
        help: &'static str,
    ) -> Setting {
        Setting {
            name,
            kind,
            default,
            help,
        }
    }
}

/// Validated settings, by name.
#[derive(Clone, Debug, Default)]
pub struct Settings(BTreeMap<&'static str, String>);

impl Settings {
    /// Parses a settings file's text and flags by tables of settings.
    ///
    /// # Errors
    ///
    /// All that is wrong, at once: unknown names, missing settings and invalid values.
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
        let mut values = match file {
            Some(text) => read_file(text, &mut validation_errors),
            None => BTreeMap::new(),
        };
        values.extend(flags.iter().cloned());
        reject_unknown(tables, &values, &mut validation_errors);
        let mut settings = BTreeMap::new();
        for setting in known_settings(tables) {
            let value = values
                .get(setting.name)
                .map(String::as_str)
                .or(setting.default);
            match checked_value(setting, value) {
                Ok(value) => {
                    settings.insert(setting.name, value);
                }
                Err(error) => validation_errors.push(error),
            }
        }
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

    /// A setting in milliseconds, as a duration.
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

    /// A setting that is a number with decimals; none where it is empty.
    ///
    /// ```
    /// use config::{Setting, SettingType, Settings};
    /// const TABLE: &[Setting] =
    ///     &[Setting { name: "excess", kind: SettingType::Decimal(9), default: Some(""), help: "" }];
    /// let excess = |value: &str| {
    ///     let flags = [("excess".to_owned(), value.to_owned())];
    ///     Settings::parse(&[TABLE], None, &flags).map(|settings| settings.decimal("excess"))
    /// };
    /// assert_eq!(excess("1.5").unwrap(), Some(1.5));
    /// assert_eq!(excess("").unwrap(), None);
    /// assert!(excess("-1").is_err() && excess("9.5").is_err() && excess("NaN").is_err());
    /// ```
    pub fn decimal(&self, name: &str) -> Option<f64> {
        self.get(name).parse().ok()
    }

    /// The items of a setting that is a list with commas.
    ///
    /// ```
    /// assert!(config::Settings::default().list("seeds").is_empty());
    /// ```
    pub fn list(&self, name: &str) -> Vec<String> {
        list_items(self.get(name)).map(str::to_owned).collect()
    }
}

/// The values in a settings file, by name.
fn read_file(text: &str, validation_errors: &mut Vec<ValidationError>) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let fields = match JsonValue::parse(text) {
        Ok(JsonValue::Object(fields)) => fields,
        Ok(_) => {
            add_validation_error(validation_errors, SETTINGS_FILE, "must be one object");
            return values;
        }
        Err(error) => {
            add_validation_error(validation_errors, SETTINGS_FILE, error);
            return values;
        }
    };
    for (name, json) in fields {
        let previous = values.insert(name.clone(), value_text(&json));
        if previous.is_some() {
            let message = "comes twice in the settings file";
            add_validation_error(validation_errors, &name, message);
        }
    }
    values
}

fn known_settings<'a>(tables: &'a [&'a [Setting]]) -> impl Iterator<Item = &'a Setting> {
    tables.iter().flat_map(|table| table.iter())
}

/// Rejects values of settings that no table has.
fn reject_unknown(
    tables: &[&[Setting]],
    values: &BTreeMap<String, String>,
    validation_errors: &mut Vec<ValidationError>,
) {
    let names: Vec<&str> = known_settings(tables).map(|setting| setting.name).collect();
    for (name, value) in values {
        if !names.contains(&name.as_str()) {
            let message = format!(
                "no such setting (given '{value}'); known: {}",
                names.join(", ")
            );
            add_validation_error(validation_errors, name, message);
        }
    }
}

fn checked_value(setting: &Setting, value: Option<&str>) -> Result<String, ValidationError> {
    let Some(value) = value else {
        let message = format!("must be given: {}", setting.help);
        return Err(ValidationError::new(setting.name, message));
    };
    if is_valid(setting.kind, value) {
        return Ok(value.to_owned());
    }
    let message = format!("'{value}': {}", requirement(setting.kind));
    Err(ValidationError::new(setting.name, message))
}

/// A value of the settings file in the text form that flags have.
fn value_text(json: &JsonValue) -> String {
    match json {
        JsonValue::String(text) => text.clone(),
        JsonValue::Array(items) => {
            let items: Vec<String> = items.iter().map(value_text).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}

/// The items of a list with commas; empty ones don't count.
fn list_items(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').filter(|item| !item.is_empty())
}

fn is_valid(kind: SettingType, value: &str) -> bool {
    let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
    let is_locality = |text: &str| text.parse::<locality::Locality>().is_ok();
    match kind {
        SettingType::Id => locality::is_valid_id(value),
        SettingType::Locality => is_locality(value),
        SettingType::Address => is_address(value),
        SettingType::Addresses => {
            list_items(value).count() <= MAX_ADDRESSES && list_items(value).all(is_address)
        }
        SettingType::Localities => list_items(value).all(is_locality),
        SettingType::Directory => !value.is_empty(),
        SettingType::DurationMs(least, most) | SettingType::Integer(least, most) => value
            .parse::<u64>()
            .is_ok_and(|number| (least..=most).contains(&number)),
        SettingType::Decimal(most) => {
            let is_within = |number: f64| (0.0..=most as f64).contains(&number);
            value.is_empty() || value.parse().is_ok_and(is_within)
        }
        SettingType::OneOf(allowed) => allowed.contains(&value),
        SettingType::SomeOf(allowed) => {
            !value.is_empty() && value.split(',').all(|item| allowed.contains(&item))
        }
    }
}

/// What a value must be, for an error message.
fn requirement(kind: SettingType) -> String {
    match kind {
        SettingType::Id => "must be 1 to 64 of a-z A-Z 0-9 - _ .".to_owned(),
        SettingType::Locality => "must be region/zone".to_owned(),
        SettingType::Address => "must be an IP number and a port".to_owned(),
        SettingType::Addresses => "must be up to three of IP:port, with commas".to_owned(),
        SettingType::Localities => "must be localities (region/zone), with commas".to_owned(),
        SettingType::Directory => "must be a folder".to_owned(),
        SettingType::DurationMs(least, most) => {
            format!("must be a whole number from {least} to {most} (milliseconds)")
        }
        SettingType::Integer(least, most) => {
            format!("must be a whole number from {least} to {most}")
        }
        SettingType::Decimal(most) => {
            format!("must be a number from 0 to {most}, or empty for the default")
        }
        SettingType::OneOf(allowed) => format!("must be one of {}", allowed.join(", ")),
        SettingType::SomeOf(allowed) => {
            format!("must be some of {}, with commas", allowed.join(", "))
        }
    }
}
