//! The proxy's real HTTP client against upstreams of every bad manner: each answer belongs to its request.

mod scripts;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use scripts::{AMPLE, Client, SHORT, Waves, drawn_try, run, success};
use testbed::scripted::{
    Act, Breach, Facts, Manner, Peer, Step, Takes, Told, Try, ask_naively, judge,
};

const CASES: u64 = 1000;
const CASES_TO_CATCH: u64 = 60;

static CLIENT: Client = Client {
    manner: &Manner::OWN,
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
        tries.collect::<Drawn<Vec<Try>>>()
    });
    waves.collect()
}

#[test]
fn each_answer_belongs_to_its_request_whatever_upstreams_do() {
    CLIENT.assert_none_broken(CASES);
}

#[test]
fn a_proxy_that_takes_a_lost_answer_for_unsent_is_caught() {
    CLIENT.assert_caught(CASES_TO_CATCH, Takes::LostForUnsent, |breach| {
        matches!(
            breach,
            Breach::RanTwice { .. } | Breach::FalselyRefused { .. }
        )
    });
}

#[test]
fn a_proxy_that_believes_whatever_comes_is_caught() {
    CLIENT.assert_caught(CASES_TO_CATCH, Takes::Anything, |breach| {
        matches!(breach, Breach::NotItsOwn { .. })
    });
}

#[test]
fn a_client_that_takes_the_next_answer_on_its_connection_is_caught() {
    let steps = [Act::ThenSurplus, Act::Whole].map(|act| Step { act, turns: 0 });
    let facts = run(async {
        let facts = Facts::default();
        let peer = Peer::start(&Manner::OWN, "u-1", facts.clone(), (steps.to_vec(), vec![])).await;
        let mut kept = None;
        for number in 0..4 {
            let asked = Try {
                id: format!("try-{number}"),
                once: true,
                body_bytes: 0,
            };
            ask_naively(&mut kept, &peer, &Manner::OWN, &facts, &asked).await;
        }
        facts.all()
    });
    let foreign = |breach: &Breach| matches!(breach, Breach::NotItsOwn { .. });
    assert!(judge(&facts).iter().any(foreign));
}

#[test]
fn an_answer_to_another_try_costs_the_request_behind_it_nothing() {
    CLIENT.assert_surplus_costs_nothing();
}

#[test]
fn what_comes_after_an_answer_costs_the_next_request_nothing() {
    use Act::*;
    [
        ThenSurplus,
        ThenLateSurplus,
        ThenGarbage,
        ThenClose,
        Last,
        Interim,
        Early,
    ]
    .into_iter()
    .for_each(|act| {
        // A reset may cross the next request, and then nobody can tell; these can't.
        let (told, _) = CLIENT.told_within(&[act], false, 3, AMPLE);
        assert_eq!(told, (0..3).map(success).collect::<Vec<_>>(), "{act:?}");
    });
}

#[test]
fn what_belongs_to_nobody_is_no_answer() {
    use Act::*;
    let odd = [
        Nameless,
        TwoNames,
        HalfWithoutLength,
        Half,
        HalfChunked,
        Garbage,
        Switch,
        NamelessDenial,
    ];
    odd.into_iter().for_each(|act| {
        let (told, facts) = CLIENT.told_within(&[Whole, act], true, 2, AMPLE);
        assert_eq!(told, [success(0), Told::Unknown], "{act:?}");
        assert_eq!(judge(&facts), vec![], "{act:?}");
    });
}

/// Its own answer may follow, and is waited for as long as the request has time.
#[test]
fn a_denial_of_another_try_denies_nothing() {
    let (told, facts) = CLIENT.told_within(&[Act::Whole, Act::ForeignDenial], true, 2, SHORT);
    assert_eq!(
        (told, judge(&facts)),
        (vec![success(0), Told::Unknown], vec![])
    );
}
