//! The virtual network: delays by place, loss, order on links, cuts.

use address::Dice;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where one end of a message stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// A machine's number; upstreams and origins have none.
    pub machine: Option<usize>,
    pub locality: String,
}

impl Place {
    fn region(&self) -> &str {
        self.locality.split('/').next().unwrap_or_default()
    }
}

/// What keeps two ends apart.
#[derive(Clone, Debug, PartialEq)]
pub enum Cut {
    /// One machine, from everything; `hears` or `speaks` may still work.
    Machine {
        machine: usize,
        hears: bool,
        speaks: bool,
    },
    Zone(String),
    Region(String),
}

impl Cut {
    fn blocks(&self, from: &Place, to: &Place) -> bool {
        match self {
            Cut::Machine { machine, hears, speaks } => {
                let (out, into) = (from.machine == Some(*machine), to.machine == Some(*machine));
                out != into && ((out && !speaks) || (into && !hears))
            }
            Cut::Zone(zone) => (from.locality == *zone) != (to.locality == *zone),
            Cut::Region(region) => (from.region() == region) != (to.region() == region),
        }
    }
}

/// The network's state.
#[derive(Default)]
pub struct Net {
    pub cuts: Vec<Cut>,
    /// Of a thousand messages, how many are lost.
    pub loss_per_mille: u64,
    /// When the last message of a link arrives: links keep their order.
    last: BTreeMap<(usize, usize), Duration>,
}

impl Net {
    /// True where nothing gets from one end to the other.
    pub fn blocked(&self, from: &Place, to: &Place) -> bool {
        self.cuts.iter().any(|cut| cut.blocks(from, to))
    }

    /// How long a message takes; none where it is lost.
    pub fn delay(&self, dice: &mut Dice, from: &Place, to: &Place) -> Option<Duration> {
        let lost = self.blocked(from, to) || dice.below(1000) < self.loss_per_mille;
        let base = match (from.locality == to.locality, from.region() == to.region()) {
            (true, _) => 200,
            (_, true) => 1500,
            _ => 20_000,
        };
        let micros = base + dice.below(base / 2 + 300);
        Some(Duration::from_micros(micros)).filter(|_| !lost)
    }

    /// When a message on a link arrives: never before an earlier one.
    pub fn in_order(&mut self, from: usize, to: usize, at: Duration) -> Duration {
        let last = self.last.entry((from, to)).or_default();
        *last = at.max(*last + Duration::from_nanos(1));
        *last
    }
}
