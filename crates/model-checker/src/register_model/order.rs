//! What operators may order.

use crate::register_history::OrderFacts;
use quorum_register::Change;

/// An order that operators may send.
#[derive(Clone, Debug)]
pub struct Order {
    pub change: Change,
    pub bytes: Option<Vec<u8>>,
    /// The nodes it may be sent to.
    pub at: Vec<usize>,
}

impl Order {
    /// A new configuration with an id, made from this edition where one is named.
    ///
    /// ```
    /// assert_eq!(model_checker::Order::configuration("a", Some(1), &[0]).at, [0]);
    /// ```
    pub fn configuration(id: &str, base: Option<u64>, at: &[usize]) -> Self {
        let bytes = id.as_bytes().to_vec();
        let change = Change::Configuration {
            id: id.into(),
            base,
            number: None,
            digest: protocol::digest(&bytes),
        };
        Order {
            change,
            bytes: Some(bytes),
            at: at.to_vec(),
        }
    }

    /// A new configuration under the operator's own number.
    ///
    /// ```
    /// assert!(model_checker::Order::numbered("a", 7, &[0, 1]).bytes.is_some());
    /// ```
    pub fn numbered(id: &str, number: u64, at: &[usize]) -> Self {
        let bytes = id.as_bytes().to_vec();
        let change = Change::Configuration {
            id: id.into(),
            base: None,
            number: Some(number),
            digest: protocol::digest(&bytes),
        };
        Order {
            change,
            bytes: Some(bytes),
            at: at.to_vec(),
        }
    }

    /// An evacuation, or its end.
    ///
    /// ```
    /// assert!(model_checker::Order::evacuation("a", "north/n1", false, &[0]).bytes.is_none());
    /// ```
    pub fn evacuation(id: &str, locality: &str, back: bool, at: &[usize]) -> Self {
        let change = Change::Evacuate {
            id: id.into(),
            locality: locality.into(),
            back,
            seen: None,
        };
        Order {
            change,
            bytes: None,
            at: at.to_vec(),
        }
    }

    pub(super) fn facts(&self) -> OrderFacts {
        match &self.change {
            Change::Configuration {
                digest,
                number,
                base,
                ..
            } => {
                let asked = kept_of(&format!("{digest} {base:?}"));
                OrderFacts {
                    asked,
                    digest: digest.clone(),
                    number: *number,
                }
            }
            Change::Evacuate { locality, back, .. } => OrderFacts {
                asked: kept_of(&format!("{locality} {back}")),
                digest: String::new(),
                number: None,
            },
            _ => OrderFacts {
                asked: String::new(),
                digest: String::new(),
                number: None,
            },
        }
    }
}

/// What the state keeps of what an order asked for.
fn kept_of(asked: &str) -> String {
    protocol::digest(asked.as_bytes())
        .chars()
        .take(16)
        .collect()
}
