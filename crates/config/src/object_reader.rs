//! Reading a JSON object field by field; every error carries the path of its field.

use crate::json_value::JsonValue;
use crate::validation::{ValidationError, add_validation_error};
use std::fmt;
use std::ops::RangeInclusive;

/// Reads the fields of one object. Fields that were never read are unknown, which [`ObjectReader::finish`] reports.
///
/// ```
/// use config::{ObjectReader, JsonValue};
/// let json = JsonValue::parse(r#"{"name": "a b", "size": 9, "colour": 1}"#).unwrap();
/// let mut validation_errors = Vec::new();
/// let mut fields = ObjectReader::new(&json, "/x", &mut validation_errors);
/// fields.id("name");
/// fields.count("size", 0..=5, None);
/// fields.finish();
/// let said: Vec<String> = validation_errors.iter().map(|c| c.path.clone()).collect();
/// assert_eq!(said, ["/x/name", "/x/size", "/x/colour"]);
/// ```
pub struct ObjectReader<'a, 'c> {
    fields: &'a [(String, JsonValue)],
    path: String,
    /// The names that were read, in order.
    known: Vec<&'static str>,
    validation_errors: &'c mut Vec<ValidationError>,
}

impl<'a, 'c> ObjectReader<'a, 'c> {
    /// A reader of a JSON value that must be an object.
    ///
    /// ```
    /// let mut validation_errors = Vec::new();
    /// config::ObjectReader::new(&config::JsonValue::Null, "/x", &mut validation_errors).finish();
    /// assert_eq!(validation_errors[0].message, "must be an object");
    /// ```
    pub fn new(
        json: &'a JsonValue,
        path: &str,
        validation_errors: &'c mut Vec<ValidationError>,
    ) -> Self {
        let fields = match json {
            JsonValue::Object(fields) => fields.as_slice(),
            _ => {
                add_validation_error(validation_errors, path, "must be an object");
                &[]
            }
        };
        ObjectReader {
            fields,
            path: path.to_owned(),
            known: Vec::new(),
            validation_errors,
        }
    }

    /// The value of a field of any type, where it is present.
    ///
    /// ```
    /// let json = config::JsonValue::parse(r#"{"spec": {}}"#).unwrap();
    /// let mut validation_errors = Vec::new();
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// assert!(fields.value("spec").is_some());
    /// assert!(fields.value("status").is_none());
    /// ```
    pub fn value(&mut self, name: &'static str) -> Option<&'a JsonValue> {
        self.read(name)
    }

    fn read(&mut self, name: &'static str) -> Option<&'a JsonValue> {
        self.known.push(name);
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, json)| json)
    }

    /// Adds an error at a field; none, for the reading functions to return.
    fn reject<T>(&mut self, name: &str, message: impl fmt::Display) -> Option<T> {
        let path = format!("{}/{name}", self.path);
        add_validation_error(self.validation_errors, &path, message);
        None
    }

    /// A string that must be present.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse("{}").unwrap(), Vec::new());
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// assert_eq!(fields.text("name"), None);
    /// assert_eq!(validation_errors[0].message, "is missing");
    /// ```
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        match self.read(name) {
            Some(JsonValue::String(text)) => Some(text.clone()),
            Some(_) => self.reject(name, "must be a text"),
            None => self.reject(name, "is missing"),
        }
    }

    /// The path of a URL, which begins with a slash; it may be left out.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"x":"/a","y":"a"}"#).unwrap(), Vec::new());
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// assert_eq!(fields.path("x").as_deref(), Some("/a"));
    /// assert_eq!(fields.path("y"), None);
    /// assert_eq!(validation_errors[0].to_string(), "/y: 'a' is no path; it begins with a slash");
    /// ```
    pub fn path(&mut self, name: &'static str) -> Option<String> {
        match self.read(name)? {
            JsonValue::String(text) if text.starts_with('/') => Some(text.clone()),
            JsonValue::String(text) => {
                let message = format!("'{text}' is no path; it begins with a slash");
                self.reject(name, message)
            }
            _ => self.reject(name, "must be a text"),
        }
    }

    /// An id that must be present.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"id":"a-1"}"#).unwrap(), Vec::new());
    /// assert_eq!(config::ObjectReader::new(&json, "", &mut validation_errors).id("id").as_deref(), Some("a-1"));
    /// ```
    pub fn id(&mut self, name: &'static str) -> Option<String> {
        let text = self.text(name)?;
        if locality::is_valid_id(&text) {
            return Some(text);
        }
        let message = format!("'{text}' is no id; use 1 to 64 of a-z A-Z 0-9 - _ .");
        self.reject(name, message)
    }

    /// A whole number within a range; `default` where it may be left out.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse("{}").unwrap(), Vec::new());
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// assert_eq!(fields.count("size", 1..=9, Some(4)), Some(4));
    /// ```
    pub fn count(
        &mut self,
        name: &'static str,
        allowed: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let (least, most) = (*allowed.start(), *allowed.end());
        match self.read(name) {
            Some(JsonValue::Integer(count)) if allowed.contains(count) => Some(*count),
            Some(json) => {
                let text = format!("{json} is not a whole number from {least} to {most}");
                self.reject(name, text)
            }
            None => default.or_else(|| self.reject(name, "is missing")),
        }
    }

    /// A boolean that may be left out.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"keyed":true}"#).unwrap(), Vec::new());
    /// assert!(config::ObjectReader::new(&json, "", &mut validation_errors).boolean("keyed", false));
    /// ```
    pub fn boolean(&mut self, name: &'static str, default: bool) -> bool {
        match self.read(name) {
            Some(JsonValue::Bool(value)) => *value,
            Some(_) => self
                .reject(name, "must be true or false")
                .unwrap_or(default),
            None => default,
        }
    }

    /// The items of an array; empty where it is left out.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"x":[1,2]}"#).unwrap(), Vec::new());
    /// assert_eq!(config::ObjectReader::new(&json, "", &mut validation_errors).list("x").len(), 2);
    /// ```
    pub fn list(&mut self, name: &'static str) -> &'a [JsonValue] {
        match self.read(name) {
            Some(JsonValue::Array(items)) => items,
            Some(_) => self.reject(name, "must be a list").unwrap_or(&[]),
            None => &[],
        }
    }

    /// Reports fields that were never read, and fields that are present twice.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"x":1,"x":2}"#).unwrap(), Vec::new());
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// fields.count("x", 0..=9, None);
    /// fields.finish();
    /// assert_eq!(validation_errors[0].to_string(), "/x: comes twice");
    /// ```
    pub fn finish(self) {
        for (index, (name, _)) in self.fields.iter().enumerate() {
            let path = format!("{}/{name}", self.path);
            if self.fields[..index]
                .iter()
                .any(|(earlier, _)| earlier == name)
            {
                add_validation_error(self.validation_errors, &path, "comes twice");
            } else if !self.known.contains(&name.as_str()) {
                let known = self.known.join(", ");
                add_validation_error(
                    self.validation_errors,
                    &path,
                    format!("is unknown; known here: {known}"),
                );
            }
        }
    }
}
