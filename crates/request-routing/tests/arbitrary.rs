//! Counts kept in buckets and atomics, against the plain way of counting.

use arbtest::arbtest;
use request_routing::{ServiceStats, SlidingWindow};
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
fn resends_of_many_proxies_together_stay_within_a_fifth_and_ten() {
    (1..40u64).for_each(|number| {
        arbtest(|noise| {
            let desks: Vec<ServiceStats> = (0..13).map(|_| ServiceStats::default()).collect();
            let (mut now, mut sends) = (Duration::ZERO, Vec::new());
            while !noise.is_empty() {
                now += MS(noise.int_in_range(0..=40)?);
                let desk = &desks[noise.int_in_range(0..=12usize)?];
                if noise.ratio(1u8, 3u8)? {
                    desk.first_sends.add(now);
                    sends.push((now, false));
                } else if desk.take_retry(now, desks.len()) {
                    sends.push((now, true));
                }
                let recent = sends.iter().filter(|(at, _)| *at + MS(10_000) > now);
                let (first_sends, again) =
                    recent.fold((0u64, 0u64), |(first_sends, again), (_, resend)| {
                        if *resend {
                            (first_sends, again + 1)
                        } else {
                            (first_sends + 1, again)
                        }
                    });
                assert!(
                    again <= first_sends / 5 + 10,
                    "{again} resends on {first_sends} sends"
                );
            }
            Ok(())
        })
        .seed(number << 32 | 4_000);
    });
}
