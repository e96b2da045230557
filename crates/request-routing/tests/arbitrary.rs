//! Arbitrary sequences of events: counts kept in buckets and atomics agree with the plain way of counting.

use arbtest::arbtest;
use request_routing::{RetryBudget, SlidingWindow};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_window_counts_the_last_ten_seconds_to_a_bucket() {
    (1..60u64).for_each(|number| {
        arbtest(|noise| {
            let (window, mut now, mut all) = (SlidingWindow::default(), Duration::ZERO, Vec::new());
            while !noise.is_empty() {
                now += MS(noise.int_in_range(0..=700)?);
                window.add(now);
                all.push(now);
                let within =
                    |span: Duration| all.iter().filter(|at| **at + span > now).count() as u64;
                let sum = window.sum(now);
                assert!(
                    (within(MS(10_000))..=within(MS(10_100))).contains(&sum),
                    "{sum} at {now:?}"
                );
            }
            Ok(())
        })
        .seed(number << 32 | 2_000);
    });
}

#[test]
fn retries_of_many_proxies_together_stay_within_a_fifth_and_ten() {
    (1..40u64).for_each(|number| {
        arbtest(|noise| {
            let budgets: Vec<RetryBudget> = (0..13).map(|_| RetryBudget::default()).collect();
            let (mut now, mut sends) = (Duration::ZERO, Vec::new());
            while !noise.is_empty() {
                now += MS(noise.int_in_range(0..=40)?);
                let budget = &budgets[noise.int_in_range(0..=12usize)?];
                if noise.ratio(1u8, 3u8)? {
                    budget.record_first_send(now);
                    sends.push((now, false));
                } else if budget.try_take(now, budgets.len()) {
                    sends.push((now, true));
                }
                let recent = sends.iter().filter(|(at, _)| *at + MS(10_000) > now);
                let (first_sends, retries) =
                    recent.fold((0u64, 0u64), |(first_sends, retries), (_, is_retry)| {
                        if *is_retry {
                            (first_sends, retries + 1)
                        } else {
                            (first_sends + 1, retries)
                        }
                    });
                assert!(
                    retries <= first_sends / 5 + 10,
                    "{retries} retries on {first_sends} sends"
                );
            }
            Ok(())
        })
        .seed(number << 32 | 4_000);
    });
}
