//! Localities (a region and a zone inside it, as in xDS) and the form of ids.

use std::fmt;

/// Where a process, a back end or an origin stands: a region and a locality (zone) inside it.
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
    pub region: String,
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

/// A text that names no locality.
///
/// ```
/// let failure = "north".parse::<locality::Locality>().unwrap_err();
/// assert_eq!(failure.to_string(), "'north' is not a locality; write region/zone");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidLocality(String);

impl fmt::Display for InvalidLocality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is not a locality; write region/zone", self.0)
    }
}

impl std::error::Error for InvalidLocality {}

/// As a complaint says it.
///
/// ```
/// let failure = "north".parse::<locality::Locality>().unwrap_err();
/// assert!(String::from(failure).ends_with("region/zone"));
/// ```
impl From<InvalidLocality> for String {
    fn from(failure: InvalidLocality) -> String {
        failure.to_string()
    }
}

impl std::str::FromStr for Locality {
    type Err = InvalidLocality;

    fn from_str(text: &str) -> Result<Self, InvalidLocality> {
        text.split_once('/')
            .filter(|(region, zone)| is_valid_id(region) && is_valid_id(zone))
            .map(|(region, zone)| Locality {
                region: region.into(),
                zone: zone.into(),
            })
            .ok_or_else(|| InvalidLocality(text.to_owned()))
    }
}

/// True for the ids that setups, nodes and tries may carry: 1 to 64 of `a-z A-Z 0-9 - _ .`.
///
/// ```
/// assert!(locality::is_valid_id("exam-slot.7"));
/// assert!(!locality::is_valid_id(""));
/// assert!(!locality::is_valid_id("two words"));
/// ```
pub fn is_valid_id(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}
