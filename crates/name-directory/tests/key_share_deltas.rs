//! A delta of key shares turns the old shares into the new ones, whatever they are.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use name_directory::{apply_share_delta, latest_grants, share_delta, uncovered};
use protocol::KeyShare;
use std::time::{Duration, Instant};

/// Rows in order that don't overlap.
fn disjoint_rows(noise: &mut Unstructured) -> arbtest::arbitrary::Result<Vec<KeyShare>> {
    let (mut at, mut rows) = (0u32, Vec::new());
    while at < 60 && noise.ratio(9u8, 10u8)? {
        let from = at + noise.int_in_range(0..=4u32)?;
        let until = from + noise.int_in_range(1..=9u32)?;
        let instance = ["a", "b", "c"][noise.int_in_range(0..=2usize)?].to_owned();
        rows.push(KeyShare {
            from,
            until,
            epoch: noise.int_in_range(1..=3u64)?,
            instance,
            ..KeyShare::default()
        });
        at = until;
    }
    Ok(rows)
}

#[test]
fn a_delta_turns_the_old_shares_into_the_new() {
    (1..400u64).for_each(|number| {
        arbtest(|noise| {
            let (old, new) = (disjoint_rows(noise)?, disjoint_rows(noise)?);
            assert_eq!(
                apply_share_delta(&old, &share_delta(&old, &new)),
                new,
                "{old:?}"
            );
            assert!(share_delta(&new, &new).is_empty(), "nothing changed");
            Ok(())
        })
        .seed(number << 32 | 400);
    });
}

/// What is left of each row when the others are cut out of it one by one.
fn subtract_one_by_one(shares: &[KeyShare], by: &[KeyShare]) -> Vec<KeyShare> {
    let subtract = |shares: Vec<KeyShare>, by: &KeyShare| {
        let parts = shares.into_iter().flat_map(|share| {
            let before = KeyShare {
                until: share.until.min(by.from),
                ..share.clone()
            };
            let after = KeyShare {
                from: share.from.max(by.until),
                ..share
            };
            [before, after]
                .into_iter()
                .filter(|share| share.from < share.until)
        });
        parts.collect()
    };
    by.iter().fold(shares.to_vec(), subtract)
}

/// Rows in any order, some of which overlap.
fn overlapping_rows(noise: &mut Unstructured) -> arbtest::arbitrary::Result<Vec<KeyShare>> {
    let count = noise.int_in_range(0..=9usize)?;
    (0..count)
        .map(|_| {
            let from = noise.int_in_range(0..=30u32)?;
            let until = from + noise.int_in_range(1..=12u32)?;
            Ok(KeyShare {
                from,
                until,
                epoch: noise.int_in_range(1..=3u64)?,
                ..KeyShare::default()
            })
        })
        .collect()
}

#[test]
fn uncovered_equals_subtraction_one_by_one() {
    (1..400u64).for_each(|number| {
        arbtest(|noise| {
            let (shares, by) = (overlapping_rows(noise)?, overlapping_rows(noise)?);
            assert_eq!(
                uncovered(&shares, &by),
                subtract_one_by_one(&shares, &by),
                "{shares:?} by {by:?}"
            );
            Ok(())
        })
        .seed(number << 32 | 400);
    });
}

/// A control node works out a change of all keys several times a second. With each row cut by each other this took a
/// quarter of a core's whole time, and leases ran out meanwhile.
#[test]
fn a_delta_of_many_rows_takes_little_time() {
    let row = |at: u32, instance: &str| KeyShare {
        from: at * 8,
        until: at * 8 + 8,
        epoch: 3,
        instance: instance.into(),
        ..KeyShare::default()
    };
    let (old, new): (Vec<KeyShare>, Vec<KeyShare>) = (0..8192)
        .map(|at| (row(at, "one"), row(at, "another")))
        .unzip();
    let started_at = Instant::now();
    assert_eq!(apply_share_delta(&old, &share_delta(&old, &new)), new);
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        started_at.elapsed()
    );
}

/// Each row cut by all of higher epochs, one after the other.
fn latest_one_by_one(mut rows: Vec<KeyShare>) -> Vec<KeyShare> {
    rows.sort_by_key(|share| std::cmp::Reverse(share.epoch));
    let mut shares = rows
        .iter()
        .fold(Vec::new(), |mut known: Vec<KeyShare>, row| {
            known.extend(subtract_one_by_one(std::slice::from_ref(row), &known));
            known
        });
    shares.sort_by_key(|share| share.from);
    shares
}

#[test]
fn latest_grants_equal_subtraction_one_by_one() {
    (1..400u64).for_each(|number| {
        arbtest(|noise| {
            let rows = overlapping_rows(noise)?;
            assert_eq!(
                latest_grants(rows.clone()),
                latest_one_by_one(rows.clone()),
                "{rows:?}"
            );
            Ok(())
        })
        .seed(number << 32 | 400);
    });
}

/// A control node that knows no lease holder does this many times a second. With the covered keys gathered anew for each row
/// it took its whole processor, and no lease could be won meanwhile.
#[test]
fn the_latest_of_many_grants_take_little_time() {
    let row = |at: u32| KeyShare {
        from: at * 5 % 8192 * 8,
        until: at * 5 % 8192 * 8 + 8,
        epoch: 3,
        ..KeyShare::default()
    };
    let rows: Vec<KeyShare> = (0..8192).map(row).collect();
    let started_at = Instant::now();
    assert_eq!(latest_grants(rows).len(), 8192);
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        started_at.elapsed()
    );
}
