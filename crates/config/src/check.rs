//! Walking a sheet field by field, with a path in every complaint.

use crate::Sheet;
use std::fmt;
use std::ops::RangeInclusive;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaint {
    pub path: String,
    pub text: String,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Adds a complaint to the list.
///
/// ```
/// let mut complaints = Vec::new();
/// config::complain(&mut complaints, "/routes/0", "no such service");
/// assert_eq!(complaints[0].to_string(), "/routes/0: no such service");
/// ```
pub fn complain(complaints: &mut Vec<Complaint>, path: &str, text: impl Into<String>) {
    complaints.push(Complaint {
        path: path.to_owned(),
        text: text.into(),
    });
}

/// Reads the fields of one object; whatever nobody asked for is complained of at the end.
///
/// ```
/// use config::{Fields, Sheet};
/// let sheet = Sheet::read(r#"{"name": "a b", "size": 9, "colour": 1}"#).unwrap();
/// let mut complaints = Vec::new();
/// let mut fields = Fields::open(&sheet, "/x", &mut complaints);
/// fields.id("name");
/// fields.count("size", 0..=5, None);
/// fields.close();
/// let said: Vec<String> = complaints.iter().map(|c| c.path.clone()).collect();
/// assert_eq!(said, ["/x/name", "/x/size", "/x/colour"]);
/// ```
pub struct Fields<'a, 'c> {
    fields: &'a [(String, Sheet)],
    path: String,
    asked: Vec<&'static str>,
    complaints: &'c mut Vec<Complaint>,
}

impl<'a, 'c> Fields<'a, 'c> {
    /// Opens a sheet that must be an object.
    ///
    /// ```
    /// let mut complaints = Vec::new();
    /// config::Fields::open(&config::Sheet::Null, "/x", &mut complaints).close();
    /// assert_eq!(complaints[0].text, "must be an object");
    /// ```
    pub fn open(sheet: &'a Sheet, path: &str, complaints: &'c mut Vec<Complaint>) -> Self {
        let fields = match sheet {
            Sheet::Fields(fields) => fields.as_slice(),
            _ => {
                complain(complaints, path, "must be an object");
                &[]
            }
        };
        Fields {
            fields,
            path: path.to_owned(),
            asked: Vec::new(),
            complaints,
        }
    }

    /// A field of any shape, where it is there.
    ///
    /// ```
    /// let sheet = config::Sheet::read(r#"{"spec": {}}"#).unwrap();
    /// let mut complaints = Vec::new();
    /// let mut fields = config::Fields::open(&sheet, "", &mut complaints);
    /// assert!(fields.part("spec").is_some());
    /// assert!(fields.part("status").is_none());
    /// ```
    pub fn part(&mut self, name: &'static str) -> Option<&'a Sheet> {
        self.ask(name)
    }

    fn ask(&mut self, name: &'static str) -> Option<&'a Sheet> {
        self.asked.push(name);
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, sheet)| sheet)
    }

    fn complain<T>(&mut self, name: &str, text: impl Into<String>) -> Option<T> {
        let path = format!("{}/{name}", self.path);
        complain(self.complaints, &path, text);
        None
    }

    /// A text that must be there.
    ///
    /// ```
    /// let (sheet, mut complaints) = (config::Sheet::read("{}").unwrap(), Vec::new());
    /// let mut fields = config::Fields::open(&sheet, "", &mut complaints);
    /// assert_eq!(fields.text("name"), None);
    /// assert_eq!(complaints[0].text, "is missing");
    /// ```
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        match self.ask(name) {
            Some(Sheet::Text(text)) => Some(text.clone()),
            Some(_) => self.complain(name, "must be a text"),
            None => self.complain(name, "is missing"),
        }
    }

    /// An id that must be there.
    ///
    /// ```
    /// let (sheet, mut complaints) = (config::Sheet::read(r#"{"id":"a-1"}"#).unwrap(), Vec::new());
    /// assert_eq!(config::Fields::open(&sheet, "", &mut complaints).id("id").as_deref(), Some("a-1"));
    /// ```
    pub fn id(&mut self, name: &'static str) -> Option<String> {
        self.text(name).and_then(|text| {
            if locality::is_valid_id(&text) {
                Some(text)
            } else {
                self.complain(
                    name,
                    format!("'{text}' is no id; use 1 to 64 of a-z A-Z 0-9 - _ ."),
                )
            }
        })
    }

    /// A whole number within a range; `fallback` where it may be left out.
    ///
    /// ```
    /// let (sheet, mut complaints) = (config::Sheet::read("{}").unwrap(), Vec::new());
    /// let mut fields = config::Fields::open(&sheet, "", &mut complaints);
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
            Some(Sheet::Count(count)) if allowed.contains(count) => Some(*count),
            Some(sheet) => {
                let text = format!("{sheet} is not a whole number from {least} to {most}");
                self.complain(name, text)
            }
            None => fallback.or_else(|| self.complain(name, "is missing")),
        }
    }

    /// A truth that may be left out.
    ///
    /// ```
    /// let (sheet, mut complaints) = (config::Sheet::read(r#"{"keyed":true}"#).unwrap(), Vec::new());
    /// assert!(config::Fields::open(&sheet, "", &mut complaints).truth("keyed", false));
    /// ```
    pub fn truth(&mut self, name: &'static str, fallback: bool) -> bool {
        match self.ask(name) {
            Some(Sheet::Truth(truth)) => *truth,
            Some(_) => self
                .complain(name, "must be true or false")
                .unwrap_or(fallback),
            None => fallback,
        }
    }

    /// A list; empty where it is left out.
    ///
    /// ```
    /// let (sheet, mut complaints) = (config::Sheet::read(r#"{"x":[1,2]}"#).unwrap(), Vec::new());
    /// assert_eq!(config::Fields::open(&sheet, "", &mut complaints).list("x").len(), 2);
    /// ```
    pub fn list(&mut self, name: &'static str) -> &'a [Sheet] {
        match self.ask(name) {
            Some(Sheet::List(items)) => items,
            Some(_) => self.complain(name, "must be a list").unwrap_or(&[]),
            None => &[],
        }
    }

    /// Complains of fields that nobody asked for, and of fields that came twice.
    ///
    /// ```
    /// let (sheet, mut complaints) = (config::Sheet::read(r#"{"x":1,"x":2}"#).unwrap(), Vec::new());
    /// let mut fields = config::Fields::open(&sheet, "", &mut complaints);
    /// fields.count("x", 0..=9, None);
    /// fields.close();
    /// assert_eq!(complaints[0].to_string(), "/x: comes twice");
    /// ```
    pub fn close(self) {
        self.fields.iter().enumerate().for_each(|(at, (name, _))| {
            let path = format!("{}/{name}", self.path);
            if self.fields[..at].iter().any(|(earlier, _)| earlier == name) {
                complain(self.complaints, &path, "comes twice");
            } else if !self.asked.contains(&name.as_str()) {
                let known = self.asked.join(", ");
                complain(
                    self.complaints,
                    &path,
                    format!("is unknown; known here: {known}"),
                );
            }
        });
    }
}
