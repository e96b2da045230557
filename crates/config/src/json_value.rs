//! JSON as a tree that keeps every field, so that a duplicate can be complained of.

use miniserde::de::{Map, Seq, Visitor};
use miniserde::ser::{self, Fragment};
use miniserde::{Deserialize, Result, Serialize, json, make_place};
use std::borrow::Cow;
use std::fmt;

const MAX_DEPTH: usize = 16;

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
    Null,
    Bool(bool),
    Integer(u64),
    Float(f64),
    String(String),
    Array(Vec<JsonValue>),
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// Reads JSON; broken or absurdly deep text is denied with a sentence.
    ///
    /// ```
    /// assert!(config::JsonValue::parse("{").is_err());
    /// assert!(config::JsonValue::parse(&"[".repeat(100_000)).is_err());
    /// ```
    pub fn parse(text: &str) -> std::result::Result<JsonValue, String> {
        if depth(text) > MAX_DEPTH {
            return Err(format!("nested deeper than {MAX_DEPTH}"));
        }
        json::from_str(text).map_err(|_| "this is not JSON".to_owned())
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

    /// The text under a field name, where it is one.
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

    /// The whole number under a field name, where it is one.
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

    /// The items under a field name; none where it is no list.
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

    /// Builds an object.
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

/// How deep brackets nest outside strings, looked at before parsing.
fn depth(text: &str) -> usize {
    let (mut now, mut most, mut in_text, mut escaped) = (0usize, 0usize, false, false);
    for byte in text.bytes() {
        match (in_text, byte) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (_, b'"') => in_text = !in_text,
            (false, b'[' | b'{') => {
                now += 1;
                most = most.max(now);
            }
            (false, b']' | b'}') => now = now.saturating_sub(1),
            _ => {}
        }
    }
    most
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
    fn from(truth: bool) -> Self {
        JsonValue::Bool(truth)
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

impl Serialize for JsonValue {
    fn begin(&self) -> Fragment<'_> {
        match self {
            JsonValue::Null => Fragment::Null,
            JsonValue::Bool(truth) => Fragment::Bool(*truth),
            JsonValue::Integer(count) => Fragment::U64(*count),
            JsonValue::Float(number) => Fragment::F64(*number),
            JsonValue::String(text) => Fragment::Str(Cow::Borrowed(text)),
            JsonValue::Array(items) => Fragment::Seq(Box::new(Items(items.iter()))),
            JsonValue::Object(fields) => Fragment::Map(Box::new(Entries(fields.iter()))),
        }
    }
}

struct Items<'a>(std::slice::Iter<'a, JsonValue>);

impl ser::Seq for Items<'_> {
    fn next(&mut self) -> Option<&dyn Serialize> {
        self.0.next().map(|item| item as &dyn Serialize)
    }
}

struct Entries<'a>(std::slice::Iter<'a, (String, JsonValue)>);

impl ser::Map for Entries<'_> {
    fn next(&mut self) -> Option<(Cow<'_, str>, &dyn Serialize)> {
        self.0
            .next()
            .map(|(name, json)| (Cow::Borrowed(name.as_str()), json as &dyn Serialize))
    }
}

make_place!(Place);

impl Deserialize for JsonValue {
    fn begin(out: &mut Option<Self>) -> &mut dyn Visitor {
        Place::new(out)
    }
}

impl Visitor for Place<JsonValue> {
    fn null(&mut self) -> Result<()> {
        self.put(JsonValue::Null)
    }

    fn boolean(&mut self, truth: bool) -> Result<()> {
        self.put(JsonValue::Bool(truth))
    }

    fn string(&mut self, text: &str) -> Result<()> {
        self.put(JsonValue::String(text.to_owned()))
    }

    fn negative(&mut self, number: i64) -> Result<()> {
        self.put(JsonValue::Float(number as f64))
    }

    fn nonnegative(&mut self, count: u64) -> Result<()> {
        self.put(JsonValue::Integer(count))
    }

    fn float(&mut self, number: f64) -> Result<()> {
        self.put(JsonValue::Float(number))
    }

    fn seq(&mut self) -> Result<Box<dyn Seq + '_>> {
        Ok(Box::new(ListBuilder {
            out: &mut self.out,
            items: Vec::new(),
            item: None,
        }))
    }

    fn map(&mut self) -> Result<Box<dyn Map + '_>> {
        Ok(Box::new(FieldsBuilder {
            out: &mut self.out,
            fields: Vec::new(),
            name: None,
            field: None,
        }))
    }
}

impl Place<JsonValue> {
    fn put(&mut self, json: JsonValue) -> Result<()> {
        self.out = Some(json);
        Ok(())
    }
}

struct ListBuilder<'a> {
    out: &'a mut Option<JsonValue>,
    items: Vec<JsonValue>,
    item: Option<JsonValue>,
}

impl Seq for ListBuilder<'_> {
    fn element(&mut self) -> Result<&mut dyn Visitor> {
        self.items.extend(self.item.take());
        Ok(Deserialize::begin(&mut self.item))
    }

    fn finish(&mut self) -> Result<()> {
        self.items.extend(self.item.take());
        *self.out = Some(JsonValue::Array(std::mem::take(&mut self.items)));
        Ok(())
    }
}

struct FieldsBuilder<'a> {
    out: &'a mut Option<JsonValue>,
    fields: Vec<(String, JsonValue)>,
    name: Option<String>,
    field: Option<JsonValue>,
}

impl FieldsBuilder<'_> {
    fn shift(&mut self) {
        self.fields.extend(self.name.take().zip(self.field.take()));
    }
}

impl Map for FieldsBuilder<'_> {
    fn key(&mut self, name: &str) -> Result<&mut dyn Visitor> {
        self.shift();
        self.name = Some(name.to_owned());
        Ok(Deserialize::begin(&mut self.field))
    }

    fn finish(&mut self) -> Result<()> {
        self.shift();
        *self.out = Some(JsonValue::Object(std::mem::take(&mut self.fields)));
        Ok(())
    }
}
