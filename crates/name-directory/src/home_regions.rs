//! Home regions: where the requests of a service or route may go.

use config::Service;

/// True where a service's requests may go to a locality (text form: region/zone).
///
/// ```
/// use config::Service;
/// let service = Service { home_regions: vec!["north".into()], ..Default::default() };
/// assert!(name_directory::is_allowed_in(&service, "north/n1"));
/// assert!(!name_directory::is_allowed_in(&service, "south/s1"));
/// ```
pub fn is_allowed_in(service: &Service, locality: &str) -> bool {
    is_in_regions(&service.home_regions, locality)
}

/// True where a locality (text form: region/zone) lies in one of these regions, or none are named.
///
/// ```
/// assert!(name_directory::is_in_regions(&[], "north/n1"));
/// assert!(!name_directory::is_in_regions(&["south".to_owned()], "north/n1"));
/// ```
pub fn is_in_regions(regions: &[String], locality: &str) -> bool {
    let region = locality.split('/').next().unwrap_or_default();
    regions.is_empty() || regions.iter().any(|home| home == region)
}
