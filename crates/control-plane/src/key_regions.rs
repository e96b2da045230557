//! How much of a service's keys the upstreams of each region are to hold, where some of its requests may be executed in some
//! regions only.
//!
//! A key has one holder. One outside the home regions of a request leaves that request without an upstream; but where all
//! keys are held in the few regions where everything may be executed, their upstreams have to carry everything. So regions
//! are filled in the order of how much of the demand may be executed there, each as far as its slots reach.

use std::collections::BTreeMap;

/// Which part of its slots a region's keys are to occupy before others get some, where as much may be executed there.
const LEAST_FILL: f64 = 0.6;
/// The same where nothing may be executed elsewhere.
const MOST_FILL: f64 = 1.0;
/// Regions where at least this part of the best region's demand may be executed are used like the best.
const NEARLY_AS_GOOD: f64 = 0.9;
/// The least part of all keys that is worth dividing.
const MIN_SHARE: f64 = 1e-6;

/// Slots of a service's upstreams, or its parts of all keys, by region.
pub(crate) type ByRegion = BTreeMap<String, f64>;

/// Requests of a service by where they may be executed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct KeyDemand {
    /// Requests, or routes, that may be executed anywhere.
    pub(crate) unbound: f64,
    /// Lists of home regions, and how many are bound to each.
    pub(crate) bound: Vec<(Vec<String>, f64)>,
    /// How many slots all of them occupy.
    pub(crate) slots: NeededSlots,
}

/// How many slots a service's requests occupy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum NeededSlots {
    /// None yet: there are no requests.
    #[default]
    None,
    /// Not known: there may be more than any region can carry.
    Unknown,
    /// As measured.
    Measured(f64),
}

impl KeyDemand {
    /// Adds requests, or routes, with these home regions; without, they may be executed anywhere.
    pub(crate) fn add(&mut self, homes: Option<&[String]>, count: f64) {
        let Some(homes) = homes else {
            self.unbound += count;
            return;
        };
        if let Some((_, sum)) = self.bound.iter_mut().find(|(known, _)| known == homes) {
            *sum += count;
        } else {
            self.bound.push((homes.to_vec(), count));
        }
    }

    /// True where every region may execute the same requests.
    pub(crate) fn is_unbound(&self) -> bool {
        self.bound.iter().all(|(_, count)| *count == 0.0)
    }

    /// How much of the demand may be executed in a region.
    fn executable_in(&self, region: &str) -> f64 {
        let bound = self
            .bound
            .iter()
            .filter(|(homes, _)| homes.iter().any(|home| home == region));
        self.unbound + bound.map(|(_, count)| count).sum::<f64>()
    }

    fn total(&self) -> f64 {
        self.unbound + self.bound.iter().map(|(_, count)| count).sum::<f64>()
    }
}

/// Which part of all keys each region's upstreams are to hold; the parts add up to one.
pub(crate) fn divide_among_regions(slots: &ByRegion, demand: &KeyDemand) -> ByRegion {
    let total = demand.total();
    let executable = |region: &str| match total > 0.0 {
        true => demand.executable_in(region) / total,
        false => 1.0,
    };
    let best = slots
        .keys()
        .map(|region| executable(region))
        .fold(0.0, f64::max);
    if best == 0.0 || demand.is_unbound() {
        // Nobody is at home, or everybody: keys lie anywhere.
        return in_proportion(slots, 1.0);
    }
    let mut left: ByRegion = slots
        .iter()
        .filter(|(region, _)| executable(region) > 0.0)
        .map(|(region, slots)| (region.clone(), *slots))
        .collect();
    let needed = match demand.slots {
        NeededSlots::None => 0.0,
        NeededSlots::Unknown => return in_proportion(&left, 1.0),
        NeededSlots::Measured(needed) => needed,
    };
    let mut shares = ByRegion::new();
    let mut rest = 1.0;
    while rest > MIN_SHARE && !left.is_empty() {
        let best = left
            .keys()
            .map(|region| executable(region))
            .fold(0.0, f64::max);
        let (tier, others) = left
            .into_iter()
            .partition(|(region, _)| executable(region) >= best * NEARLY_AS_GOOD);
        left = others;
        let next_best = left
            .keys()
            .map(|region| executable(region))
            .fold(0.0, f64::max);
        // The less may be executed on keys elsewhere, the more a full region is still the better place.
        let fill = LEAST_FILL + (MOST_FILL - LEAST_FILL) * (1.0 - next_best / best);
        let share = fitting_share(&tier, fill, needed * best).min(rest);
        rest -= share;
        shares.extend(in_proportion(&tier, share));
    }
    // What fits nowhere burdens all alike.
    in_proportion(&shares, 1.0)
}

/// Which part of all keys fills these regions' slots so far, where all keys would need so many.
fn fitting_share(slots: &ByRegion, fill: f64, needed: f64) -> f64 {
    fill * slots.values().sum::<f64>() / needed.max(f64::MIN_POSITIVE)
}

fn in_proportion(slots: &ByRegion, share: f64) -> ByRegion {
    let sum: f64 = slots.values().sum::<f64>().max(f64::MIN_POSITIVE);
    let part = |slots: &f64| share * slots / sum;
    slots
        .iter()
        .map(|(region, slots)| (region.clone(), part(slots)))
        .collect()
}

/// True where no region's part differs by more than this.
pub(crate) fn is_close(one: &ByRegion, other: &ByRegion, tolerance: f64) -> bool {
    one.keys().eq(other.keys())
        && one
            .iter()
            .zip(other)
            .all(|((_, one), (_, other))| (one - other).abs() <= tolerance)
}
