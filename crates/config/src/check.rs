//! Walking a sheet field by field, with a path in every complaint.

use crate::JsonValue;
use std::fmt;
use std::ops::RangeInclusive;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    pub path: String,
    pub text: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Adds a complaint to the list.
///
/// ```
/// let mut validation_errors = Vec::new();
/// config::add_validation_error(&mut validation_errors, "/routes/0", "no such service");
/// assert_eq!(validation_errors[0].to_string(), "/routes/0: no such service");
/// ```
pub fn add_validation_error(
    validation_errors: &mut Vec<ValidationError>,
    path: &str,
    text: impl Into<String>,
) {
    validation_errors.push(ValidationError {
        path: path.to_owned(),
        text: text.into(),
    });
}

/// Reads the fields of one object; whatever nobody asked for is complained of at the end.
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
    asked: Vec<&'static str>,
    validation_errors: &'c mut Vec<ValidationError>,
}

impl<'a, 'c> ObjectReader<'a, 'c> {
    /// Opens a sheet that must be an object.
    ///
    /// ```
    /// let mut validation_errors = Vec::new();
    /// config::ObjectReader::new(&config::JsonValue::Null, "/x", &mut validation_errors).finish();
    /// assert_eq!(validation_errors[0].text, "must be an object");
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
            asked: Vec::new(),
            validation_errors,
        }
    }

    /// A field of any shape, where it is there.
    ///
    /// ```
    /// let json = config::JsonValue::parse(r#"{"spec": {}}"#).unwrap();
    /// let mut validation_errors = Vec::new();
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// assert!(fields.value("spec").is_some());
    /// assert!(fields.value("status").is_none());
    /// ```
    pub fn value(&mut self, name: &'static str) -> Option<&'a JsonValue> {
        self.ask(name)
    }

    fn ask(&mut self, name: &'static str) -> Option<&'a JsonValue> {
        self.asked.push(name);
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, json)| json)
    }

    fn add_validation_error<T>(&mut self, name: &str, text: impl Into<String>) -> Option<T> {
        let path = format!("{}/{name}", self.path);
        add_validation_error(self.validation_errors, &path, text);
        None
    }

    /// A text that must be there.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse("{}").unwrap(), Vec::new());
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// assert_eq!(fields.text("name"), None);
    /// assert_eq!(validation_errors[0].text, "is missing");
    /// ```
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        match self.ask(name) {
            Some(JsonValue::String(text)) => Some(text.clone()),
            Some(_) => self.add_validation_error(name, "must be a text"),
            None => self.add_validation_error(name, "is missing"),
        }
    }

    /// An id that must be there.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"id":"a-1"}"#).unwrap(), Vec::new());
    /// assert_eq!(config::ObjectReader::new(&json, "", &mut validation_errors).id("id").as_deref(), Some("a-1"));
    /// ```
    pub fn id(&mut self, name: &'static str) -> Option<String> {
        self.text(name).and_then(|text| {
            if locality::is_valid_id(&text) {
                Some(text)
            } else {
                self.add_validation_error(
                    name,
                    format!("'{text}' is no id; use 1 to 64 of a-z A-Z 0-9 - _ ."),
                )
            }
        })
    }

    /// A whole number within a range; `fallback` where it may be left out.
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
        fallback: Option<u64>,
    ) -> Option<u64> {
        let (least, most) = (*allowed.start(), *allowed.end());
        match self.ask(name) {
            Some(JsonValue::Integer(count)) if allowed.contains(count) => Some(*count),
            Some(json) => {
                let text = format!("{json} is not a whole number from {least} to {most}");
                self.add_validation_error(name, text)
            }
            None => fallback.or_else(|| self.add_validation_error(name, "is missing")),
        }
    }

    /// A truth that may be left out.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"keyed":true}"#).unwrap(), Vec::new());
    /// assert!(config::ObjectReader::new(&json, "", &mut validation_errors).boolean("keyed", false));
    /// ```
    pub fn boolean(&mut self, name: &'static str, fallback: bool) -> bool {
        match self.ask(name) {
            Some(JsonValue::Bool(truth)) => *truth,
            Some(_) => self
                .add_validation_error(name, "must be true or false")
                .unwrap_or(fallback),
            None => fallback,
        }
    }

    /// A list; empty where it is left out.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"x":[1,2]}"#).unwrap(), Vec::new());
    /// assert_eq!(config::ObjectReader::new(&json, "", &mut validation_errors).list("x").len(), 2);
    /// ```
    pub fn list(&mut self, name: &'static str) -> &'a [JsonValue] {
        match self.ask(name) {
            Some(JsonValue::Array(items)) => items,
            Some(_) => self
                .add_validation_error(name, "must be a list")
                .unwrap_or(&[]),
            None => &[],
        }
    }

    /// Complains of fields that nobody asked for, and of fields that came twice.
    ///
    /// ```
    /// let (json, mut validation_errors) = (config::JsonValue::parse(r#"{"x":1,"x":2}"#).unwrap(), Vec::new());
    /// let mut fields = config::ObjectReader::new(&json, "", &mut validation_errors);
    /// fields.count("x", 0..=9, None);
    /// fields.finish();
    /// assert_eq!(validation_errors[0].to_string(), "/x: comes twice");
    /// ```
    pub fn finish(self) {
        self.fields.iter().enumerate().for_each(|(at, (name, _))| {
            let path = format!("{}/{name}", self.path);
            if self.fields[..at].iter().any(|(earlier, _)| earlier == name) {
                add_validation_error(self.validation_errors, &path, "comes twice");
            } else if !self.asked.contains(&name.as_str()) {
                let known = self.asked.join(", ");
                add_validation_error(
                    self.validation_errors,
                    &path,
                    format!("is unknown; known here: {known}"),
                );
            }
        });
    }
}
