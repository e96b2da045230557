//! A patch makes the new shares of the old, whatever they are.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use gazetteer::{patch, patched};
use protocol::Share;

/// Rows in order that don't overlap.
fn rows(noise: &mut Unstructured) -> arbtest::arbitrary::Result<Vec<Share>> {
    let (mut at, mut rows) = (0u32, Vec::new());
    while at < 60 && noise.ratio(9u8, 10u8)? {
        let from = at + noise.int_in_range(0..=4u32)?;
        let until = from + noise.int_in_range(1..=9u32)?;
        let instance = ["a", "b", "c"][noise.int_in_range(0..=2usize)?].to_owned();
        rows.push(Share { from, until, epoch: noise.int_in_range(1..=3u64)?, instance, ..Share::default() });
        at = until;
    }
    Ok(rows)
}

#[test]
fn a_patch_makes_the_new_of_the_old() {
    (1..400u64).for_each(|number| {
        arbtest(|noise| {
            let (old, new) = (rows(noise)?, rows(noise)?);
            assert_eq!(patched(&old, &patch(&old, &new)), new, "{old:?}");
            assert!(patch(&new, &new).is_empty(), "nothing changed");
            Ok(())
        })
        .seed(number << 32 | 400);
    });
}
