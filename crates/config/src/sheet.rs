//! JSON as a tree that keeps every field, so that a duplicate can be complained of.

use miniserde::de::{Map, Seq, Visitor};
use miniserde::ser::{self, Fragment};
use miniserde::{Deserialize, Result, Serialize, json, make_place};
use std::borrow::Cow;
use std::fmt;

const MOST_DEPTH: usize = 16;

/// One JSON value. Objects keep the order and the duplicates of their fields.
///
/// ```
/// use config::Sheet;
/// let sheet = Sheet::read(r#"{"a": [1, "two"], "a": null}"#).unwrap();
/// let Sheet::Fields(fields) = &sheet else { panic!() };
/// assert_eq!(fields.len(), 2);
/// assert_eq!(sheet.to_string(), r#"{"a":[1,"two"],"a":null}"#);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum Sheet {
    Null,
    Truth(bool),
    Count(u64),
    Number(f64),
    Text(String),
    List(Vec<Sheet>),
    Fields(Vec<(String, Sheet)>),
}

impl Sheet {
    /// Reads JSON; broken or absurdly deep text is denied with a sentence.
    ///
    /// ```
    /// assert!(config::Sheet::read("{").is_err());
    /// assert!(config::Sheet::read(&"[".repeat(100_000)).is_err());
    /// ```
    pub fn read(text: &str) -> std::result::Result<Sheet, String> {
        if depth(text) > MOST_DEPTH {
            return Err(format!("nested deeper than {MOST_DEPTH}"));
        }
        json::from_str(text).map_err(|_| "this is not JSON".to_owned())
    }

    /// The first field with this name.
    ///
    /// ```
    /// let sheet = config::Sheet::read(r#"{"a": 1}"#).unwrap();
    /// assert_eq!(sheet.get("a"), Some(&config::Sheet::Count(1)));
    /// assert_eq!(sheet.get("b"), None);
    /// ```
    pub fn get(&self, name: &str) -> Option<&Sheet> {
        match self {
            Sheet::Fields(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map(|(_, sheet)| sheet),
            _ => None,
        }
    }

    /// The text under a field name, where it is one.
    ///
    /// ```
    /// assert_eq!(config::Sheet::read(r#"{"a": "b"}"#).unwrap().text("a"), Some("b"));
    /// ```
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|sheet| match sheet {
            Sheet::Text(text) => Some(text.as_str()),
            _ => None,
        })
    }

    /// The whole number under a field name, where it is one.
    ///
    /// ```
    /// assert_eq!(config::Sheet::read(r#"{"a": 7}"#).unwrap().count("a"), Some(7));
    /// ```
    pub fn count(&self, name: &str) -> Option<u64> {
        self.get(name).and_then(|sheet| match sheet {
            Sheet::Count(count) => Some(*count),
            _ => None,
        })
    }

    /// The items under a field name; none where it is no list.
    ///
    /// ```
    /// assert_eq!(config::Sheet::read(r#"{"a": [1]}"#).unwrap().list("a").len(), 1);
    /// ```
    pub fn list(&self, name: &str) -> &[Sheet] {
        self.get(name)
            .and_then(|sheet| match sheet {
                Sheet::List(items) => Some(items.as_slice()),
                _ => None,
            })
            .unwrap_or(&[])
    }

    /// Builds an object.
    ///
    /// ```
    /// use config::Sheet;
    /// assert_eq!(Sheet::fields([("a", 1u64.into())]).to_string(), r#"{"a":1}"#);
    /// ```
    pub fn fields<const N: usize>(fields: [(&str, Sheet); N]) -> Sheet {
        Sheet::Fields(
            fields
                .into_iter()
                .map(|(name, sheet)| (name.to_owned(), sheet))
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

impl From<&str> for Sheet {
    fn from(text: &str) -> Self {
        Sheet::Text(text.to_owned())
    }
}

impl From<String> for Sheet {
    fn from(text: String) -> Self {
        Sheet::Text(text)
    }
}

impl From<u64> for Sheet {
    fn from(count: u64) -> Self {
        Sheet::Count(count)
    }
}

impl From<bool> for Sheet {
    fn from(truth: bool) -> Self {
        Sheet::Truth(truth)
    }
}

impl From<Vec<Sheet>> for Sheet {
    fn from(items: Vec<Sheet>) -> Self {
        Sheet::List(items)
    }
}

impl FromIterator<Sheet> for Sheet {
    fn from_iter<I: IntoIterator<Item = Sheet>>(items: I) -> Self {
        Sheet::List(items.into_iter().collect())
    }
}

impl fmt::Display for Sheet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&json::to_string(self))
    }
}

impl Serialize for Sheet {
    fn begin(&self) -> Fragment<'_> {
        match self {
            Sheet::Null => Fragment::Null,
            Sheet::Truth(truth) => Fragment::Bool(*truth),
            Sheet::Count(count) => Fragment::U64(*count),
            Sheet::Number(number) => Fragment::F64(*number),
            Sheet::Text(text) => Fragment::Str(Cow::Borrowed(text)),
            Sheet::List(items) => Fragment::Seq(Box::new(Items(items.iter()))),
            Sheet::Fields(fields) => Fragment::Map(Box::new(Entries(fields.iter()))),
        }
    }
}

struct Items<'a>(std::slice::Iter<'a, Sheet>);

impl ser::Seq for Items<'_> {
    fn next(&mut self) -> Option<&dyn Serialize> {
        self.0.next().map(|item| item as &dyn Serialize)
    }
}

struct Entries<'a>(std::slice::Iter<'a, (String, Sheet)>);

impl ser::Map for Entries<'_> {
    fn next(&mut self) -> Option<(Cow<'_, str>, &dyn Serialize)> {
        self.0
            .next()
            .map(|(name, sheet)| (Cow::Borrowed(name.as_str()), sheet as &dyn Serialize))
    }
}

make_place!(Place);

impl Deserialize for Sheet {
    fn begin(out: &mut Option<Self>) -> &mut dyn Visitor {
        Place::new(out)
    }
}

impl Visitor for Place<Sheet> {
    fn null(&mut self) -> Result<()> {
        self.put(Sheet::Null)
    }

    fn boolean(&mut self, truth: bool) -> Result<()> {
        self.put(Sheet::Truth(truth))
    }

    fn string(&mut self, text: &str) -> Result<()> {
        self.put(Sheet::Text(text.to_owned()))
    }

    fn negative(&mut self, number: i64) -> Result<()> {
        self.put(Sheet::Number(number as f64))
    }

    fn nonnegative(&mut self, count: u64) -> Result<()> {
        self.put(Sheet::Count(count))
    }

    fn float(&mut self, number: f64) -> Result<()> {
        self.put(Sheet::Number(number))
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

impl Place<Sheet> {
    fn put(&mut self, sheet: Sheet) -> Result<()> {
        self.out = Some(sheet);
        Ok(())
    }
}

struct ListBuilder<'a> {
    out: &'a mut Option<Sheet>,
    items: Vec<Sheet>,
    item: Option<Sheet>,
}

impl Seq for ListBuilder<'_> {
    fn element(&mut self) -> Result<&mut dyn Visitor> {
        self.items.extend(self.item.take());
        Ok(Deserialize::begin(&mut self.item))
    }

    fn finish(&mut self) -> Result<()> {
        self.items.extend(self.item.take());
        *self.out = Some(Sheet::List(std::mem::take(&mut self.items)));
        Ok(())
    }
}

struct FieldsBuilder<'a> {
    out: &'a mut Option<Sheet>,
    fields: Vec<(String, Sheet)>,
    name: Option<String>,
    field: Option<Sheet>,
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
        *self.out = Some(Sheet::Fields(std::mem::take(&mut self.fields)));
        Ok(())
    }
}
