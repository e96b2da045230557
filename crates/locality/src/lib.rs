//! Localities (a region and a zone in it, as in xDS) and the form of ids.

use std::fmt;
use std::str::FromStr;

/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// The failure domain of a process, an upstream or a client: a region and a zone in it.
///
/// ```
/// use locality::Locality;
/// let east: Locality = "north/n1".parse().unwrap();
/// assert_eq!(east.region, "north");
/// assert_eq!(east.to_string(), "north/n1");
/// assert!("north".parse::<Locality>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Locality {
    /// The region.
    pub region: String,
    /// The zone, unique within its region.
    pub zone: String,
}

impl fmt::Display for Locality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.zone)
    }
}

/// Compares with the text form.
///
/// ```
/// assert!("n/1".parse::<locality::Locality>().unwrap() == *"n/1");
/// ```
impl PartialEq<str> for Locality {
    fn eq(&self, text: &str) -> bool {
        text.split_once('/') == Some((self.region.as_str(), self.zone.as_str()))
    }
}

/// A text that is not a locality.
///
/// ```
/// let error = "north".parse::<locality::Locality>().unwrap_err();
/// assert_eq!(error.to_string(), "'north' is not a locality; write region/zone");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidLocality(String);

impl fmt::Display for InvalidLocality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is not a locality; write region/zone", self.0)
    }
}

impl std::error::Error for InvalidLocality {}

/// The text of a validation error.
///
/// ```
/// let error = "north".parse::<locality::Locality>().unwrap_err();
/// assert!(String::from(error).ends_with("region/zone"));
/// ```
impl From<InvalidLocality> for String {
    fn from(error: InvalidLocality) -> String {
        error.to_string()
    }
}

impl FromStr for Locality {
    type Err = InvalidLocality;

    fn from_str(text: &str) -> Result<Self, InvalidLocality> {
        match text.split_once('/') {
            Some((region, zone)) if is_valid_id(region) && is_valid_id(zone) => Ok(Locality {
                region: region.to_owned(),
                zone: zone.to_owned(),
            }),
            _ => Err(InvalidLocality(text.to_owned())),
        }
    }
}

/// True for a valid id of a node, a request attempt or a name in a configuration: 1 to 64 of `a-z A-Z 0-9 - _ .`.
///
/// ```
/// assert!(locality::is_valid_id("exam-slot.7"));
/// assert!(!locality::is_valid_id(""));
/// assert!(!locality::is_valid_id("two words"));
/// ```
pub fn is_valid_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
