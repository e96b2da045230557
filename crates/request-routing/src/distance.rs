//! How far apart two localities are, in the text form `region/zone`.

/// The distance between two localities, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    pub(crate) fn between(from: &str, to: &str) -> Distance {
        if from == to {
            Distance::SameZone
        } else if region(from) == region(to) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

fn region(locality: &str) -> &str {
    locality.split('/').next().unwrap_or_default()
}
