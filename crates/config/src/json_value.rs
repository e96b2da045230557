//! JSON as a tree that keeps every field of an object, so that a duplicate can be reported.

use miniserde::json;
use std::fmt;

const MAX_DEPTH: usize = 16;

/// Why a text is no usable JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonError {
    /// Its arrays and objects nest too deep.
    #[error("nested deeper than {MAX_DEPTH}")]
    TooDeep,
    /// It is not JSON.
    #[error("this is not JSON")]
    Syntax,
}

/// One JSON value. Objects keep the order and the duplicates of their fields.
///
/// ```
/// use config::JsonValue;
/// let json = JsonValue::parse(r#"{"a": [1, "two"], "a": null}"#).unwrap();
/// let JsonValue::Object(fields) = &json else { panic!() };
/// assert_eq!(fields.len(), 2);
/// assert_eq!(json.to_string(), r#"{"a":[1,"two"],"a":null}"#);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number from 0.
    Integer(u64),
    /// Any other number.
    Float(f64),
    /// A string.
    String(String),
    /// An array.
    Array(Vec<JsonValue>),
    /// An object: its fields in order, duplicates included.
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// Parses JSON.
    ///
    /// # Errors
    ///
    /// [`JsonError`] for a text that is not JSON, or that nests too deep.
    ///
    /// ```
    /// use config::{JsonError, JsonValue};
    /// assert_eq!(JsonValue::parse("{"), Err(JsonError::Syntax));
    /// assert_eq!(JsonValue::parse(&"[".repeat(100_000)), Err(JsonError::TooDeep));
    /// ```
    pub fn parse(text: &str) -> Result<JsonValue, JsonError> {
        if nesting_depth(text) > MAX_DEPTH {
            return Err(JsonError::TooDeep);
        }
        json::from_str(text).map_err(|_| JsonError::Syntax)
    }

    /// The first field with this name.
    ///
    /// ```
    /// let json = config::JsonValue::parse(r#"{"a": 1}"#).unwrap();
    /// assert_eq!(json.get("a"), Some(&config::JsonValue::Integer(1)));
    /// assert_eq!(json.get("b"), None);
    /// ```
    pub fn get(&self, name: &str) -> Option<&JsonValue> {
        match self {
            JsonValue::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map(|(_, json)| json),
            _ => None,
        }
    }

    /// The string in a field, where it is one.
    ///
    /// ```
    /// assert_eq!(config::JsonValue::parse(r#"{"a": "b"}"#).unwrap().text("a"), Some("b"));
    /// ```
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|json| match json {
            JsonValue::String(text) => Some(text.as_str()),
            _ => None,
        })
    }

    /// The whole number in a field, where it is one.
    ///
    /// ```
    /// assert_eq!(config::JsonValue::parse(r#"{"a": 7}"#).unwrap().count("a"), Some(7));
    /// ```
    pub fn count(&self, name: &str) -> Option<u64> {
        self.get(name).and_then(|json| match json {
            JsonValue::Integer(count) => Some(*count),
            _ => None,
        })
    }

    /// The items of the array in a field; empty where it is no array.
    ///
    /// ```
    /// assert_eq!(config::JsonValue::parse(r#"{"a": [1]}"#).unwrap().list("a").len(), 1);
    /// ```
    pub fn list(&self, name: &str) -> &[JsonValue] {
        self.get(name)
            .and_then(|json| match json {
                JsonValue::Array(items) => Some(items.as_slice()),
                _ => None,
            })
            .unwrap_or(&[])
    }

    /// An object with these fields.
    ///
    /// ```
    /// use config::JsonValue;
    /// assert_eq!(JsonValue::object([("a", 1u64.into())]).to_string(), r#"{"a":1}"#);
    /// ```
    pub fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
        JsonValue::Object(
            fields
                .into_iter()
                .map(|(name, json)| (name.to_owned(), json))
                .collect(),
        )
    }
}

/// How deep brackets nest outside strings. Checked before parsing, since the parser recurses.
fn nesting_depth(text: &str) -> usize {
    let mut depth = 0usize;
    let mut deepest = 0;
    let mut in_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        match (in_string, byte) {
            (true, _) if is_escaped => is_escaped = false,
            (true, b'\\') => is_escaped = true,
            (_, b'"') => in_string = !in_string,
            (false, b'[' | b'{') => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            (false, b']' | b'}') => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

impl From<&str> for JsonValue {
    fn from(text: &str) -> Self {
        JsonValue::String(text.to_owned())
    }
}

impl From<String> for JsonValue {
    fn from(text: String) -> Self {
        JsonValue::String(text)
    }
}

impl From<u64> for JsonValue {
    fn from(count: u64) -> Self {
        JsonValue::Integer(count)
    }
}

impl From<bool> for JsonValue {
    fn from(value: bool) -> Self {
        JsonValue::Bool(value)
    }
}

impl From<Vec<JsonValue>> for JsonValue {
    fn from(items: Vec<JsonValue>) -> Self {
        JsonValue::Array(items)
    }
}

impl FromIterator<JsonValue> for JsonValue {
    fn from_iter<I: IntoIterator<Item = JsonValue>>(items: I) -> Self {
        JsonValue::Array(items.into_iter().collect())
    }
}

impl fmt::Display for JsonValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&json::to_string(self))
    }
}
