//! How keys are divided: by capacity and load, with few moves, within the bounds.

use std::collections::BTreeMap;
use std::time::Duration;
use upstream_registry::{
    Grant, Heartbeat, HeldKeyRange, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram, MAX_RANGES,
    MAX_RANGES_PER_HEARTBEAT, ReleasedKeyRange,
};

const KEYS: u32 = 65536;
const MS: fn(u64) -> Duration = Duration::from_millis;

fn terms() -> KeyLeaseTerms {
    KeyLeaseTerms {
        lease_duration: MS(3000),
        response_timeout: MS(1000),
        margin: MS(50),
        rebalance_interval: MS(2000),
        accepts_late_responses: false,
    }
}

/// Upstreams without faults: each beats every half second, and lets go at once with a token.
struct Fleet {
    now: Duration,
    ranges: KeyRangeAssigner,
    ready: BTreeMap<String, u32>,
    holds: BTreeMap<String, Vec<Grant>>,
    sequence: u64,
    /// Keys that changed hands after their first grant, and how many of these came cold.
    moved: u32,
    cold: u32,
    had: BTreeMap<u32, String>,
}

impl Fleet {
    fn new(ready: &[(&str, u32)]) -> Self {
        let now = MS(1000);
        let ranges = KeyRangeAssigner::new(now, terms(), KEYS, 1, true);
        let ready = ready
            .iter()
            .map(|(name, capacity)| ((*name).to_owned(), *capacity))
            .collect();
        let (holds, had) = (BTreeMap::new(), BTreeMap::new());
        Fleet {
            now,
            ranges,
            ready,
            holds,
            sequence: 0,
            moved: 0,
            cold: 0,
            had,
        }
    }

    fn join(&mut self, name: &str, capacity: u32) {
        self.ready.insert(name.to_owned(), capacity);
    }

    fn round(&mut self, load: &LoadHistogram) {
        self.now += MS(500);
        let names: Vec<String> = self
            .ready
            .keys()
            .chain(self.holds.keys())
            .cloned()
            .collect();
        names.iter().for_each(|name| {
            let released = self.beat(name, Vec::new(), load);
            if !released.is_empty() {
                self.beat(name, released, load);
            }
        });
    }

    /// One heartbeat, and what was let go on its answer.
    fn beat(
        &mut self,
        name: &str,
        released: Vec<ReleasedKeyRange>,
        load: &LoadHistogram,
    ) -> Vec<ReleasedKeyRange> {
        self.sequence += 1;
        let held = self.holds.remove(name).unwrap_or_default();
        let holdings = held
            .iter()
            .map(|grant| HeldKeyRange {
                from: grant.from,
                to: grant.to,
                fence: grant.fence,
            })
            .collect();
        let beat = Heartbeat {
            instance: name.to_owned(),
            sequence: self.sequence,
            holdings,
            released,
        };
        let told = self
            .ranges
            .handle_heartbeat(self.now, &beat, &self.ready, load)
            .unwrap();
        let lists =
            |rows: &[Grant], key: u32| rows.iter().any(|row| (row.from..=row.to).contains(&key));
        told.iter().for_each(|grant| {
            (grant.from..=grant.to).for_each(|key| {
                let last = self.had.insert(key, name.to_owned());
                let moved = last.is_some_and(|last| last != name);
                self.moved += u32::from(moved);
                self.cold += u32::from(moved && grant.handover.is_empty());
            });
        });
        let gone = held
            .iter()
            .flat_map(|row| row.from..=row.to)
            .filter(|key| !lists(&told, *key));
        let gone: Vec<u32> = gone.collect();
        let runs = gone.chunk_by(|one, other| one + 1 == *other);
        let runs = runs.map(|run| ReleasedKeyRange {
            from: run[0],
            to: run[run.len() - 1],
            handover: format!("of {name}"),
        });
        let runs = runs.collect();
        self.holds.insert(name.to_owned(), told);
        runs
    }

    fn rounds(&mut self, count: usize, load: &LoadHistogram) {
        (0..count).for_each(|_| self.round(load));
    }

    fn weight(&self, name: &str, load: &LoadHistogram) -> f64 {
        let rows = self.holds.get(name).into_iter().flatten();
        rows.map(|row| load.weight(row.from, row.to)).sum::<f64>() / load.total_weight()
    }

    fn whole(&self) -> bool {
        let keys: u32 = self
            .holds
            .values()
            .flatten()
            .map(|row| row.to - row.from + 1)
            .sum();
        keys == KEYS
    }
}

#[test]
fn the_first_grant_is_by_capacity_and_in_one_piece_each() {
    let (mut fleet, load) = (
        Fleet::new(&[("a", 1), ("b", 2), ("c", 5)]),
        LoadHistogram::uniform(KEYS),
    );
    fleet.round(&load);
    assert!(fleet.whole());
    assert!(fleet.holds.values().all(|rows| rows.len() == 1));
    [("a", 0.125), ("b", 0.25), ("c", 0.625)]
        .iter()
        .for_each(|(name, part)| {
            assert!(
                (fleet.weight(name, &load) - part).abs() < 0.01,
                "{name}: {}",
                fleet.weight(name, &load)
            );
        });
    fleet.rounds(20, &load);
    assert_eq!(fleet.moved, 0);
    assert_eq!(fleet.ranges.assignments(fleet.now).len(), 3);
}

#[test]
fn one_that_joins_takes_its_part_from_all_and_comes_warm() {
    let (mut fleet, load) = (
        Fleet::new(&[("a", 1), ("b", 1), ("c", 1)]),
        LoadHistogram::uniform(KEYS),
    );
    fleet.rounds(3, &load);
    fleet.join("d", 1);
    fleet.rounds(12, &load);
    assert!(fleet.whole());
    let parts: Vec<f64> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| fleet.weight(name, &load))
        .collect();
    println!("parts {parts:?}, {} keys moved", fleet.moved);
    assert!(
        parts
            .iter()
            .all(|part| (0.75 * 0.25..1.25 * 0.25).contains(part)),
        "{parts:?}"
    );
    assert!(fleet.moved <= KEYS * 3 / 10, "{} keys moved", fleet.moved);
    assert_eq!(fleet.cold, 0);
}

#[test]
fn one_that_leaves_hands_all_over_and_nothing_else_moves() {
    let (mut fleet, load) = (
        Fleet::new(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]),
        LoadHistogram::uniform(KEYS),
    );
    fleet.rounds(3, &load);
    fleet.ready.remove("b");
    fleet.rounds(4, &load);
    assert!(fleet.whole());
    assert_eq!(fleet.weight("b", &load), 0.0);
    assert_eq!((fleet.moved, fleet.cold), (KEYS / 4, 0));
    fleet.rounds(20, &load);
    assert_eq!(fleet.moved, KEYS / 4);
}

/// Wherever the round of heartbeats stands, and although capacities, told as free slots, change with each heartbeat.
#[test]
fn free_keys_have_a_holder_once_everybody_was_heard() {
    let names: Vec<String> = (0..12).map(|at| format!("u{at:02}")).collect();
    let counts: Vec<u64> = (0..1024u64)
        .map(|at| at * at % 61 + if at % 200 < 20 { 300 } else { 0 })
        .collect();
    let load = LoadHistogram::new(KEYS, &counts);
    let unheld = (0..12)
        .step_by(3)
        .flat_map(|leaver| (1..12).map(move |first| (leaver, first)))
        .filter(|(leaver, first)| {
            let ready: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 8)).collect();
            let mut fleet = Fleet::new(&ready);
            fleet.rounds(3, &load);
            fleet.ready.remove(&names[*leaver]);
            fleet.now += MS(500);
            let released = fleet.beat(&names[*leaver], Vec::new(), &load);
            fleet.beat(&names[*leaver], released, &load);
            (0..11).for_each(|at| {
                let name = &names[(leaver + 1 + (first + at) % 11) % 12];
                fleet.ready.insert(name.clone(), 5 + (at * 7 % 4) as u32);
                fleet.beat(name, Vec::new(), &load);
            });
            !fleet.whole()
        });
    assert_eq!(
        unheld.collect::<Vec<_>>(),
        vec![],
        "who left, and how far the round had come"
    );
}

#[test]
fn close_busy_keys_are_divided_again_when_they_lie_elsewhere() {
    let mut fleet = Fleet::new(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    fleet.rounds(3, &LoadHistogram::uniform(KEYS));
    [1000, 3000].iter().for_each(|busy| {
        // Nine tenths of all on one part in 64.
        let counts: Vec<u64> = (0..4096u64)
            .map(|at| {
                if (*busy..busy + 64).contains(&at) {
                    600
                } else {
                    1
                }
            })
            .collect();
        let (load, before) = (LoadHistogram::new(KEYS, &counts), fleet.moved);
        fleet.rounds(60, &load);
        let parts: Vec<f64> = ["a", "b", "c", "d"]
            .iter()
            .map(|name| fleet.weight(name, &load))
            .collect();
        println!("parts {parts:?}, {} keys moved", fleet.moved - before);
        assert!(fleet.whole());
        assert!(
            parts
                .iter()
                .all(|part| (0.7 * 0.25..1.3 * 0.25).contains(part)),
            "{parts:?}"
        );
        assert!(
            fleet.moved - before < KEYS / 4,
            "{} keys moved",
            fleet.moved - before
        );
    });
}

#[test]
fn the_holder_of_one_hot_key_is_rid_of_the_others() {
    let mut fleet = Fleet::new(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    fleet.rounds(3, &LoadHistogram::uniform(KEYS));
    let counts: Vec<u64> = (0..4096)
        .map(|at| if at == 500 { 6000 } else { 1 })
        .collect();
    let load = LoadHistogram::new(KEYS, &counts);
    fleet.rounds(60, &load);
    let parts: Vec<f64> = ["a", "b", "c", "d"]
        .iter()
        .map(|name| fleet.weight(name, &load))
        .collect();
    println!("parts {parts:?}, {} keys moved", fleet.moved);
    assert!(fleet.whole());
    let hot = load.weight(500 * 16, 500 * 16 + 15) / load.total_weight();
    assert!(parts[0] < hot + 0.03, "{parts:?}, {hot} of it hot");
    let moved = fleet.moved;
    fleet.rounds(60, &load);
    assert_eq!(fleet.moved, moved, "what can't be divided is let be");
}

#[test]
fn a_load_that_flutters_moves_nothing() {
    let mut fleet = Fleet::new(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    (0..100u64).for_each(|round| {
        let counts: Vec<u64> = (0..512u64)
            .map(|at| 100 + (at / 128 * 7 + round * 5) % 31)
            .collect();
        fleet.round(&LoadHistogram::new(KEYS, &counts));
    });
    assert!(fleet.whole());
    assert_eq!(fleet.moved, 0);
}

#[test]
fn a_new_lease_holder_keeps_everything_where_it_is() {
    let (mut fleet, load) = (
        Fleet::new(&[("a", 1), ("b", 1), ("c", 2)]),
        LoadHistogram::uniform(KEYS),
    );
    fleet.rounds(3, &load);
    let before = fleet.holds.clone();
    fleet.ranges = KeyRangeAssigner::new(fleet.now - MS(600), terms(), KEYS, 2, false);
    fleet.rounds(30, &load);
    assert_eq!(fleet.holds, before);
    assert_eq!(fleet.moved, 0);
}

#[test]
fn the_later_of_two_listed_grants_counts() {
    let mut ranges = KeyRangeAssigner::new(MS(1000), terms(), KEYS, 3, false);
    let (load, ready) = (
        LoadHistogram::uniform(KEYS),
        [("a".to_owned(), 1), ("b".to_owned(), 1)].into(),
    );
    let beat = |name: &str, sequence, fence| {
        let holdings = vec![HeldKeyRange {
            from: 10,
            to: 20,
            fence,
        }];
        Heartbeat {
            instance: name.to_owned(),
            sequence,
            holdings,
            released: Vec::new(),
        }
    };
    assert_eq!(
        ranges
            .handle_heartbeat(MS(2500), &beat("a", 1, 5), &ready, &load)
            .unwrap()
            .len(),
        1
    );
    assert_eq!(
        ranges
            .handle_heartbeat(MS(2510), &beat("b", 1, 6), &ready, &load)
            .unwrap()
            .len(),
        1
    );
    assert_eq!(
        ranges
            .handle_heartbeat(MS(2520), &beat("a", 2, 5), &ready, &load)
            .unwrap(),
        []
    );
}

#[test]
fn rows_beyond_the_bounds_do_nothing() {
    let (load, ready) = (LoadHistogram::uniform(KEYS), [("a".to_owned(), 1)].into());
    let mut ranges = KeyRangeAssigner::new(MS(1000), terms(), KEYS, 3, false);
    let own = 3 << 24;
    let rows = [
        (7, 3, 1),
        (70_000, 70_001, 1),
        (0, KEYS, 1),
        (5, u32::MAX, 1),
        (40, 50, own),
        (60, 70, u64::MAX),
    ];
    let holdings: Vec<HeldKeyRange> = rows
        .iter()
        .map(|(from, to, fence)| HeldKeyRange {
            from: *from,
            to: *to,
            fence: *fence,
        })
        .collect();
    let released = rows.iter().map(|(from, to, _)| ReleasedKeyRange {
        from: *from,
        to: *to,
        handover: "x".repeat(9999),
    });
    let beat = |sequence, holdings| Heartbeat {
        instance: "a".into(),
        sequence,
        holdings,
        released: Vec::new(),
    };
    let bad = Heartbeat {
        released: released.collect(),
        ..beat(1, holdings)
    };
    assert_eq!(
        ranges.handle_heartbeat(MS(2500), &bad, &ready, &load),
        Some(vec![])
    );
    let many = vec![
        HeldKeyRange {
            from: 0,
            to: 0,
            fence: 1
        };
        MAX_RANGES_PER_HEARTBEAT + 1
    ];
    assert_eq!(
        ranges.handle_heartbeat(MS(2600), &beat(2, many), &ready, &load),
        None
    );
    (0..60).for_each(|at| {
        let holdings = (0..MAX_RANGES_PER_HEARTBEAT as u32).map(|row| row * 64 + at);
        let holdings = holdings.map(|key| HeldKeyRange {
            from: key,
            to: key,
            fence: u64::from(at),
        });
        ranges.handle_heartbeat(
            MS(2700),
            &beat(3 + u64::from(at), holdings.collect()),
            &ready,
            &load,
        );
        assert!(ranges.assignments(MS(2700)).len() <= MAX_RANGES);
    });
}
