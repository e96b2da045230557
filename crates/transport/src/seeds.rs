//! The seeds of a process.

use config::Settings;

/// Where other processes are reached at first: the seeds, each with the port of links where one is set.
///
/// ```
/// use config::{Setting, Settings, SettingType};
/// let table = [
///     Setting { name: "seeds", kind: SettingType::Addresses, default: Some("127.0.0.1:1,127.0.0.2:1"), help: "" },
///     Setting { name: "seed-port", kind: SettingType::Integer(0, 65_535), default: Some("7"), help: "" },
/// ];
/// assert_eq!(transport::seed_addresses(&Settings::parse(&[&table], None, &[]).unwrap()), ["127.0.0.1:7", "127.0.0.2:7"]);
/// ```
pub fn seed_addresses(settings: &Settings) -> Vec<String> {
    let port = settings.get("seed-port");
    let has_port = !matches!(port, "" | "0");
    let mut addresses = settings.list("seeds");
    for address in &mut addresses {
        if has_port && let Some((ip, _)) = address.rsplit_once(':') {
            *address = format!("{ip}:{port}");
        }
    }
    addresses
}
