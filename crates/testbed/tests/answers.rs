//! The proxy's real HTTP client against upstreams of every bad manner: each answer belongs to its request.

mod scripts;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use scripts::{AMPLE, Client, SHORT, Waves, drawn_try, run, success};
use testbed::scripted::{
    Attempt, EventLog, Outcome, Peer, ResponseCheck, ResponseFault, SiteConventions, Step,
    Violation, check, request_without_checks,
};

const CASES: u64 = 1000;
const CASES_TO_CATCH: u64 = 60;

static CLIENT: Client = Client {
    conventions: &SiteConventions::OWN,
    instance_prefix: "u",
    draw_waves,
};

fn draw_waves(noise: &mut Unstructured) -> Drawn<Waves> {
    let mut number = 0;
    let waves = (0..noise.int_in_range(2..=6)?).map(|_| {
        let tries = (0..noise.int_in_range(1..=3)?).map(|_| {
            number += 1;
            drawn_try(noise, number)
        });
        tries.collect::<Drawn<Vec<Attempt>>>()
    });
    waves.collect()
}

#[test]
fn each_answer_belongs_to_its_request_whatever_upstreams_do() {
    CLIENT.assert_none_broken(CASES);
}

#[test]
fn a_proxy_that_takes_a_lost_answer_for_unsent_is_caught() {
    CLIENT.assert_caught(
        CASES_TO_CATCH,
        ResponseCheck::LostAsNotConnected,
        |violation| {
            matches!(
                violation,
                Violation::ExecutedTwice { .. } | Violation::FalselyRejected { .. }
            )
        },
    );
}

#[test]
fn a_proxy_that_believes_whatever_comes_is_caught() {
    CLIENT.assert_caught(CASES_TO_CATCH, ResponseCheck::AnyResponse, |violation| {
        matches!(violation, Violation::ForeignResponse { .. })
    });
}

#[test]
fn a_client_that_takes_the_next_answer_on_its_connection_is_caught() {
    let steps = [ResponseFault::ThenExtraResponse, ResponseFault::Complete]
        .map(|fault| Step { fault, yields: 0 });
    let events = run(async {
        let events = EventLog::default();
        let peer = Peer::start(
            &SiteConventions::OWN,
            "u-1",
            events.clone(),
            (steps.to_vec(), vec![]),
        )
        .await;
        let mut kept = None;
        for number in 0..4 {
            let asked = Attempt {
                id: format!("try-{number}"),
                at_most_once: true,
                body_bytes: 0,
            };
            request_without_checks(&mut kept, &peer, &SiteConventions::OWN, &events, &asked).await;
        }
        events.all()
    });
    let foreign = |violation: &Violation| matches!(violation, Violation::ForeignResponse { .. });
    assert!(check(&events).iter().any(foreign));
}

#[test]
fn an_answer_to_another_try_costs_the_request_behind_it_nothing() {
    CLIENT.assert_surplus_costs_nothing();
}

#[test]
fn what_comes_after_an_answer_costs_the_next_request_nothing() {
    use ResponseFault::*;
    [
        ThenExtraResponse,
        ThenLateExtraResponse,
        ThenGarbage,
        ThenClose,
        AnnouncesClose,
        InterimFirst,
        Early,
    ]
    .into_iter()
    .for_each(|fault| {
        // A reset may cross the next request, and then nobody can tell; these can't.
        let (outcome, _) = CLIENT.told_within(&[fault], false, 3, AMPLE);
        assert_eq!(
            outcome,
            (0..3).map(success).collect::<Vec<_>>(),
            "{fault:?}"
        );
    });
}

#[test]
fn what_belongs_to_nobody_is_no_answer() {
    use ResponseFault::*;
    let odd = [
        WithoutId,
        TwoIds,
        PartialWithoutLength,
        Partial,
        PartialChunked,
        Garbage,
        SwitchProtocols,
        RejectionWithoutId,
    ];
    odd.into_iter().for_each(|fault| {
        let (outcome, events) = CLIENT.told_within(&[Complete, fault], true, 2, AMPLE);
        assert_eq!(outcome, [success(0), Outcome::Unknown], "{fault:?}");
        assert_eq!(check(&events), vec![], "{fault:?}");
    });
}

/// Its own answer may follow, and is waited for as long as the request has time.
#[test]
fn a_rejection_of_another_try_denies_nothing() {
    let (outcome, events) = CLIENT.told_within(
        &[ResponseFault::Complete, ResponseFault::ForeignRejection],
        true,
        2,
        SHORT,
    );
    assert_eq!(
        (outcome, check(&events)),
        (vec![success(0), Outcome::Unknown], vec![])
    );
}
