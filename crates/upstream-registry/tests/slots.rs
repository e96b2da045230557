//! Whatever becomes of beats and answers, and whoever holds the duty, no slot has two upstreams.

use arbtest::arbtest;
use protocol::{KeyShare, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use upstream_registry::SlotAssigner;

const UNITS: usize = 4;
const MS: fn(u64) -> Duration = Duration::from_millis;

#[derive(Default)]
struct Unit {
    beat: u64,
    holder: u64,
    /// Until when it holds a slot, and under which epoch.
    holds: BTreeMap<u32, (u64, Duration)>,
}

/// A beat on its way, when it was sent, or its answer.
enum Envelope {
    Beat(usize, Duration, Upstream),
    Answer(usize, u64, Duration, Option<Vec<KeyShare>>, u64),
}

#[test]
fn no_slot_is_held_twice() {
    let (mut given, span) = (0usize, MS(3000));
    (1..80u64).for_each(|number| {
        arbtest(|noise| {
            let mut units: Vec<Unit> = (0..UNITS).map(|_| Unit::default()).collect();
            let (mut now, mut claim, mut wire) = (MS(1000), 1u64, Vec::new());
            let mut shares = SlotAssigner::new(now, span, claim);
            while !noise.is_empty() {
                let at = noise.int_in_range(0..=UNITS - 1)?;
                match noise.int_in_range(0..=99u8)? {
                    // Another holder, after the old one's claim ended; what it was sent late, it does not answer.
                    0 => {
                        now += MS(500);
                        claim += 1;
                        shares = SlotAssigner::new(now, span, claim);
                    }
                    1..=4 => {
                        units[at] = Unit {
                            beat: units[at].beat,
                            ..Unit::default()
                        }
                    }
                    5..=12 if !wire.is_empty() => {
                        let lost = noise.int_in_range(0..=wire.len() - 1)?;
                        wire.swap_remove(lost);
                    }
                    13..=30 => {
                        let unit = &mut units[at];
                        unit.beat += 1;
                        let held = unit.holds.iter().filter(|(_, (_, until))| now < *until);
                        let holds = held.map(|(slot, (epoch, _))| KeyShare {
                            from: *slot,
                            until: slot + 1,
                            epoch: *epoch,
                            ..KeyShare::default()
                        });
                        let upstream = Upstream {
                            instance: format!("u{at}"),
                            beat: unit.beat,
                            holder: unit.holder,
                            holds: holds.collect(),
                            ..Upstream::default()
                        };
                        wire.push(Envelope::Beat(at, now, upstream));
                    }
                    31..=75 if !wire.is_empty() => {
                        let next = noise.int_in_range(0..=wire.len().min(4) - 1)?;
                        match wire.remove(next) {
                            Envelope::Beat(at, sent_at, upstream) => {
                                let count = noise.int_in_range(1..=UNITS)?;
                                let ready: BTreeSet<String> =
                                    (0..count).map(|at| format!("u{at}")).collect();
                                let told = shares.handle_heartbeat(now, &upstream, &ready);
                                wire.push(Envelope::Answer(
                                    at,
                                    upstream.beat,
                                    sent_at,
                                    told,
                                    claim,
                                ));
                            }
                            Envelope::Answer(at, beat, sent_at, told, claim) => {
                                let unit = &mut units[at];
                                let latest = unit.beat == beat;
                                if latest {
                                    unit.holder = claim;
                                }
                                if let Some(told) = told.filter(|_| latest) {
                                    let until = sent_at + span;
                                    let slots = told.iter().flat_map(|run| {
                                        (run.from..run.until).map(|slot| (slot, (run.epoch, until)))
                                    });
                                    unit.holds = slots.collect();
                                    given += unit.holds.len();
                                }
                            }
                        }
                    }
                    _ => now += MS(noise.int_in_range(0..=150)?),
                }
                let mut owners: BTreeMap<u32, usize> = BTreeMap::new();
                units.iter().enumerate().for_each(|(at, unit)| {
                    unit.holds
                        .iter()
                        .filter(|(_, (_, until))| now < *until)
                        .for_each(|(slot, _)| {
                            let other = owners.insert(*slot, at);
                            assert!(
                                other.is_none(),
                                "slot {slot} is held by u{at} and u{other:?} at {now:?}"
                            );
                        });
                });
            }
            Ok(())
        })
        .seed(number << 32 | 6_000);
    });
    assert!(given > 10_000, "hardly any slot was given: {given}");
}
