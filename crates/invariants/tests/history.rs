//! The checker of operators' histories, on small ones that are known to be good or bad.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use invariants::history::{Command, CommandCall, CommandResult, HistoryError, check};
use result_code::ResultCode;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn call(from: u64, command: Command, returned: Option<(u64, CommandResult)>) -> CommandCall {
    let returned = returned.map(|(at, reply)| (MS(at), reply));
    CommandCall {
        name: format!("call at {from}"),
        called_at: MS(from),
        command,
        returned,
    }
}

fn told(code: ResultCode, revision: u64) -> CommandResult {
    CommandResult::Decided {
        code,
        revision: Some(revision),
    }
}

fn configuration(
    from: u64,
    to: u64,
    number: u64,
    digest: &str,
    code: ResultCode,
    revision: u64,
) -> CommandCall {
    let command = Command::Configuration {
        number: Some(number),
        base: None,
        digest: digest.into(),
    };
    call(from, command, Some((to, told(code, revision))))
}

fn based(
    from: u64,
    to: u64,
    base: u64,
    digest: &str,
    code: ResultCode,
    revision: u64,
) -> CommandCall {
    let command = Command::Configuration {
        number: None,
        base: Some(base),
        digest: digest.into(),
    };
    call(from, command, Some((to, told(code, revision))))
}

fn unanswered(from: u64, number: u64, digest: &str) -> CommandCall {
    call(
        from,
        Command::Configuration {
            number: Some(number),
            base: None,
            digest: digest.into(),
        },
        None,
    )
}

fn evacuation(from: u64, to: u64, back: bool, revision: u64) -> CommandCall {
    call(
        from,
        Command::Evacuate {
            locality: "n1".into(),
            back,
        },
        Some((to, told(ResultCode::Success, revision))),
    )
}

fn read(from: u64, to: u64, revision: u64, digest: &str) -> CommandCall {
    call(
        from,
        Command::Read,
        Some((
            to,
            CommandResult::Read {
                revision,
                digest: digest.into(),
            },
        )),
    )
}

const FINE: ResultCode = ResultCode::Success;

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn good_histories_pass() {
    let cases = [
        ("nothing", vec![]),
        ("a read of nothing", vec![read(0, 1, 0, "")]),
        (
            "a write and a read",
            vec![configuration(0, 1, 7, "a", FINE, 1), read(2, 3, 1, "a")],
        ),
        (
            "a read beside a write sees it",
            vec![configuration(0, 9, 7, "a", FINE, 1), read(1, 2, 1, "a")],
        ),
        (
            "a read beside a write misses it",
            vec![configuration(0, 9, 7, "a", FINE, 1), read(1, 2, 0, "")],
        ),
        (
            "an order without an answer is in force",
            vec![unanswered(0, 7, "a"), read(5, 6, 1, "a")],
        ),
        (
            "an order without an answer is not",
            vec![unanswered(0, 7, "a"), read(5, 6, 0, "")],
        ),
        (
            "it comes in force late",
            vec![unanswered(0, 7, "a"), read(5, 6, 0, ""), read(7, 8, 1, "a")],
        ),
        (
            "the same again",
            vec![
                configuration(0, 1, 7, "a", FINE, 1),
                configuration(2, 3, 7, "a", FINE, 1),
            ],
        ),
        (
            "one number, one winner",
            vec![
                configuration(0, 9, 7, "a", FINE, 1),
                configuration(0, 9, 7, "b", ResultCode::VersionConflict, 1),
            ],
        ),
        (
            "the highest holds",
            vec![
                configuration(0, 1, 9, "a", FINE, 1),
                configuration(2, 3, 7, "b", ResultCode::Superseded, 1),
            ],
        ),
        (
            "one base, one winner",
            vec![
                based(0, 9, 0, "a", FINE, 1),
                based(0, 9, 0, "b", ResultCode::RevisionConflict, 1),
            ],
        ),
        (
            "there and back",
            vec![
                evacuation(0, 1, false, 1),
                evacuation(2, 3, true, 2),
                read(4, 5, 2, ""),
            ],
        ),
        (
            "evacuated already",
            vec![evacuation(0, 1, false, 1), evacuation(2, 3, false, 1)],
        ),
        (
            "after a rescue",
            vec![
                configuration(0, 1, 7, "a", FINE, 1),
                call(2, Command::Rescue, None),
                read(5, 6, 1001, "a"),
                read(7, 8, 1001, "a"),
            ],
        ),
    ];
    cases
        .into_iter()
        .for_each(|(name, calls)| assert_eq!(check(&calls), Ok(()), "{name}"));
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn bad_histories_are_caught() {
    let cases = [
        ("nobody wrote it", vec![read(0, 1, 1, "a")]),
        (
            "a read of old",
            vec![configuration(0, 1, 7, "a", FINE, 1), read(2, 3, 0, "")],
        ),
        (
            "back and forth",
            vec![
                configuration(0, 9, 7, "a", FINE, 1),
                read(1, 2, 1, "a"),
                read(3, 4, 0, ""),
            ],
        ),
        (
            "both confirmed",
            vec![
                configuration(0, 9, 7, "a", FINE, 1),
                configuration(0, 9, 7, "b", FINE, 1),
            ],
        ),
        (
            "both confirmed, two editions",
            vec![
                configuration(0, 9, 7, "a", FINE, 1),
                configuration(0, 9, 7, "b", FINE, 2),
            ],
        ),
        (
            "both confirmed, one after the other",
            vec![
                configuration(0, 1, 7, "a", FINE, 1),
                configuration(2, 3, 7, "b", FINE, 1),
            ],
        ),
        (
            "done twice",
            vec![configuration(0, 1, 7, "a", FINE, 1), read(2, 3, 2, "a")],
        ),
        (
            "done twice, seen by the next",
            vec![
                configuration(0, 1, 7, "a", FINE, 1),
                configuration(2, 3, 8, "b", FINE, 3),
            ],
        ),
        (
            "a lower number came into force",
            vec![
                configuration(0, 1, 9, "a", FINE, 1),
                configuration(2, 3, 7, "b", FINE, 2),
            ],
        ),
        (
            "taken by nobody",
            vec![configuration(0, 1, 7, "b", ResultCode::VersionConflict, 0)],
        ),
        (
            "overtaken by nobody",
            vec![configuration(0, 1, 7, "b", ResultCode::Superseded, 0)],
        ),
        (
            "an own order refused",
            vec![
                configuration(0, 1, 7, "a", FINE, 1),
                configuration(2, 3, 7, "a", ResultCode::VersionConflict, 1),
            ],
        ),
        (
            "both from one base",
            vec![based(0, 9, 0, "a", FINE, 1), based(0, 9, 0, "b", FINE, 2)],
        ),
        (
            "refused for nothing",
            vec![based(0, 1, 0, "a", ResultCode::RevisionConflict, 0)],
        ),
        (
            "evacuated anew",
            vec![
                evacuation(0, 1, false, 1),
                evacuation(2, 3, true, 2),
                read(4, 5, 3, ""),
            ],
        ),
        (
            "an unanswered order in force twice",
            vec![
                unanswered(0, 7, "a"),
                read(1, 2, 1, "a"),
                read(3, 4, 2, "a"),
            ],
        ),
        (
            "lost in a rescue",
            vec![
                configuration(0, 1, 7, "a", FINE, 1),
                call(2, Command::Rescue, None),
                read(5, 6, 1001, ""),
            ],
        ),
    ];
    cases.into_iter().for_each(|(name, calls)| {
        assert!(
            matches!(check(&calls), Err(HistoryError::NotLinearizable { .. })),
            "{name}: {:?}",
            check(&calls)
        );
    });
}

/// A history of a register that is written one after the other, with each call's start and answer drawn around the
/// moment at which it took effect: it is good, however the calls overlap.
fn drawn(noise: &mut Unstructured) -> arbtest::arbitrary::Result<Vec<CommandCall>> {
    let (mut revision, mut digest, mut calls) = (0, String::new(), Vec::new());
    for at in 1..=noise.int_in_range(1..=40u64)? {
        let (moment, early, late) = (
            at * 10,
            noise.int_in_range(0..=60)?,
            noise.int_in_range(0..=60)?,
        );
        let (from, to) = (moment.saturating_sub(early), moment + late);
        if noise.ratio(1, 2)? {
            revision += 1;
            digest = format!("d{at}");
            let lost = noise.ratio(1, 4)?;
            let command = Command::Configuration {
                number: Some(at),
                base: None,
                digest: digest.clone(),
            };
            calls.push(call(
                from,
                command,
                Some((to, told(FINE, revision))).filter(|_| !lost),
            ));
        } else {
            calls.push(read(from, to, revision, &digest));
        }
    }
    Ok(calls)
}

#[test]
fn drawn_good_histories_pass_and_a_spoilt_answer_is_caught() {
    arbtest(|noise| {
        let calls = drawn(noise)?;
        assert_eq!(check(&calls), Ok(()), "{calls:?}");
        // A read of a revision that never was.
        let last = calls
            .iter()
            .filter_map(|call| call.returned.as_ref())
            .map(|(at, _)| at.as_millis() as u64)
            .max();
        let spoilt: Vec<CommandCall> = calls
            .into_iter()
            .chain([read(0, last.unwrap_or(0) + 1, 99, "d1")])
            .collect();
        assert!(check(&spoilt).is_err(), "{spoilt:?}");
        Ok(())
    });
}

/// Whether some order of the calls explains them: by trying them all.
fn explained(calls: &[CommandCall]) -> bool {
    fn orders(count: usize) -> Vec<Vec<usize>> {
        if count == 0 {
            return vec![vec![]];
        }
        let shorter = orders(count - 1);
        shorter
            .iter()
            .flat_map(|command| {
                (0..count).map(|at| [&command[..at], &[count - 1], &command[at..]].concat())
            })
            .collect()
    }
    let fits = |command: &Vec<usize>| {
        let keeps_time = command.iter().enumerate().all(|(at, later)| {
            command[..at].iter().all(|earlier| {
                let ended = calls[*later].returned.as_ref().map(|(ended, _)| *ended);
                ended.is_none_or(|ended| ended >= calls[*earlier].called_at)
            })
        });
        let (mut revision, mut digest) = (0, String::new());
        keeps_time
            && command
                .iter()
                .all(|at| match (&calls[*at].command, &calls[*at].returned) {
                    (
                        Command::Configuration { digest: new, .. },
                        Some((_, CommandResult::Decided { revision: told, .. })),
                    ) => {
                        revision += 1;
                        digest.clone_from(new);
                        *told == Some(revision)
                    }
                    (
                        _,
                        Some((
                            _,
                            CommandResult::Read {
                                revision: told,
                                digest: seen,
                            },
                        )),
                    ) => (*told, seen) == (revision, &digest),
                    _ => false,
                })
    };
    orders(calls.len()).iter().any(fits)
}

/// How many small histories are judged, and from how many bytes of chance each is drawn: always the same ones, however
/// busy the machine is.
const SMALL_HISTORIES: u64 = 2000;
const BYTES_OF_CHANCE: u64 = 128;

/// Good and bad small histories, judged as by trying every order.
#[test]
fn it_judges_small_histories_as_trying_every_order_does() {
    let (mut good, mut bad) = (0, 0);
    (1..=SMALL_HISTORIES).for_each(|number| {
        arbtest(|noise| {
            let mut calls = Vec::new();
            for at in 0..noise.int_in_range(1..=5u64)? {
                let from = noise.int_in_range(0..=20)?;
                let to = from + noise.int_in_range(0..=15)?;
                let revision = noise.int_in_range(0..=3)?;
                if noise.arbitrary()? {
                    let command = Command::Configuration {
                        number: None,
                        base: None,
                        digest: format!("d{at}"),
                    };
                    calls.push(call(from, command, Some((to, told(FINE, revision)))));
                } else {
                    let of = noise.int_in_range(0..=4u64)?;
                    let digest = if revision == 0 {
                        String::new()
                    } else {
                        format!("d{of}")
                    };
                    calls.push(read(from, to, revision, &digest));
                }
            }
            let expected = explained(&calls);
            assert_eq!(check(&calls).is_ok(), expected, "{calls:?}");
            *if expected { &mut good } else { &mut bad } += 1;
            Ok(())
        })
        .seed(number << 32 | BYTES_OF_CHANCE);
    });
    assert!(good > 20 && bad > 20, "{good} good and {bad} bad histories");
}
