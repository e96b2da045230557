//! Key grants in the response to an upstream's heartbeat.

use config::JsonValue;
use std::collections::BTreeMap;

/// The slots, with their epochs, that the response to a heartbeat grants.
///
/// ```
/// let json = config::JsonValue::parse(r#"{"shares": [{"from": 3, "until": 5, "epoch": 7}]}"#).unwrap();
/// assert_eq!(simulator::grants::granted_slots(&json).into_iter().collect::<Vec<_>>(), [(3, 7), (4, 7)]);
/// ```
pub fn granted_slots(json: &JsonValue) -> BTreeMap<u32, u64> {
    json.list("shares")
        .iter()
        .filter_map(|run| Some((run.count("from")?, run.count("until")?, run.count("epoch")?)))
        .flat_map(|(from, until, epoch)| (from..until).map(move |slot| (slot as u32, epoch)))
        .collect()
}
