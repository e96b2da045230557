//! A delta gives the complete state where it applies, and nothing where it does not.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use protocol::{ClusterState, DecidedChange, Message, StateDelta, VersionedConfiguration};

const MAX_REMEMBERED: usize = 16;

/// A state that follows this one by some changes.
fn later_state(
    state: &ClusterState,
    noise: &mut Unstructured,
) -> arbtest::arbitrary::Result<ClusterState> {
    let mut state = state.clone();
    for _ in 0..noise.int_in_range(0..=24)? {
        state.decided += 1;
        state.revision += u64::from(noise.arbitrary::<bool>()?);
        let id = format!("change {}", state.decided);
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
fn a_delta_gives_the_complete_state_on_its_base_and_on_no_other() {
    let mut deltas = 0;
    (1..200u64).for_each(|number| {
        arbtest(|noise| {
            let earlier = later_state(&ClusterState::default(), noise)?;
            let later = later_state(&earlier, noise)?;
            let Some(delta) = StateDelta::since(&later, earlier.decided) else {
                return Ok(());
            };
            deltas += 1;
            let sent = StateDelta::decode(delta.encode_to_vec().as_slice()).expect("a message");
            assert_eq!(sent.apply_to(&earlier).as_ref(), Some(&later));
            // A receiver that is ahead can use it too, while it remembers enough.
            assert!(
                sent.apply_to(&later)
                    .is_none_or(|complete| complete == later)
            );
            // Another history of the same length does not match.
            let mut other = earlier.clone();
            other
                .submissions
                .iter_mut()
                .for_each(|submission| submission.id.push('x'));
            assert!(
                sent.apply_to(&other)
                    .is_none_or(|complete| complete == later)
            );
            Ok(())
        })
        .seed(number << 32 | 2_000);
    });
    assert!(deltas > 50, "hardly any delta was made: {deltas}");
}

#[test]
fn no_delta_makes_a_receiver_panic() {
    (1..200u64).for_each(|number| {
        arbtest(|noise| {
            let state = later_state(&ClusterState::default(), noise)?;
            let mut sent = later_state(&state, noise)?;
            sent.decided = noise.arbitrary()?;
            let delta = StateDelta {
                state: sent,
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
