//! A state told as a difference comes out whole where it fits, and else not at all.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use protocol::{ClusterState, DecidedChange, Message, StateDelta, VersionedConfiguration};

const MAX_REMEMBERED: usize = 16;

/// A state that comes from this one by some orders more.
fn grown(
    state: &ClusterState,
    noise: &mut Unstructured,
) -> arbtest::arbitrary::Result<ClusterState> {
    let mut state = state.clone();
    for _ in 0..noise.int_in_range(0..=24)? {
        state.decided += 1;
        state.revision += u64::from(noise.arbitrary::<bool>()?);
        let id = format!("order {}", state.decided);
        state.submissions.push(DecidedChange {
            id,
            revision: state.revision,
            ..DecidedChange::default()
        });
        state.numbers.push(VersionedConfiguration {
            number: state.decided,
            ..VersionedConfiguration::default()
        });
        state
            .submissions
            .drain(..state.submissions.len().saturating_sub(MAX_REMEMBERED));
        state.numbers.drain(..state.numbers.len().saturating_sub(4));
    }
    Ok(state)
}

#[test]
fn what_comes_from_a_state_comes_out_whole_on_it_and_nothing_else_does() {
    let mut cut = 0;
    (1..200u64).for_each(|number| {
        arbtest(|noise| {
            let earlier = grown(&ClusterState::default(), noise)?;
            let later = grown(&earlier, noise)?;
            let Some(delta) = StateDelta::since(&later, earlier.decided) else {
                return Ok(());
            };
            cut += 1;
            let sent = StateDelta::decode(delta.encode_to_vec().as_slice()).expect("a message");
            assert_eq!(sent.apply_to(&earlier).as_ref(), Some(&later));
            // Whoever is further on can use it too, while it remembers enough.
            assert!(sent.apply_to(&later).is_none_or(|whole| whole == later));
            // Another history of the same length is not taken for it.
            let mut other = earlier.clone();
            other
                .submissions
                .iter_mut()
                .for_each(|submission| submission.id.push('x'));
            assert!(sent.apply_to(&other).is_none_or(|whole| whole == later));
            Ok(())
        })
        .seed(number << 32 | 2_000);
    });
    assert!(cut > 50, "hardly any was cut: {cut}");
}

#[test]
fn no_difference_makes_a_receiver_panic() {
    (1..200u64).for_each(|number| {
        arbtest(|noise| {
            let state = grown(&ClusterState::default(), noise)?;
            let mut told = grown(&state, noise)?;
            told.decided = noise.arbitrary()?;
            let delta = StateDelta {
                state: told,
                remembered: noise.arbitrary()?,
                digest: noise.arbitrary()?,
            };
            assert_eq!(delta.apply_to(&state), None);
            let mut odd = state.clone();
            odd.decided = noise.arbitrary()?;
            assert_eq!(delta.apply_to(&odd), None);
            Ok(())
        })
        .seed(number << 32 | 2_000);
    });
}
