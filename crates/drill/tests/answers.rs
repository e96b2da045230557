//! The proxy's real HTTP client against upstreams of every bad manner: each answer belongs to its request.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use drill::scripted::{
    ACTS, Act, Breach, Fact, Facts, Manner, OPENINGS, Opening, Peer, Proxy, Step, Takes, Told, Try, ask_naively, judge,
    work,
};
use std::time::Duration;

/// So long the fuzzer waits for an answer that never comes.
const SHORT: Duration = Duration::from_millis(25);
/// Ample on any machine.
const AMPLE: Duration = Duration::from_secs(20);
const LONG_BODY: usize = 1_000_000;
const CASES: u64 = 1000;
const THREADS: u64 = 12;

type Script = (Vec<Step>, Vec<Opening>);

fn drawn_script(noise: &mut Unstructured) -> Drawn<Script> {
    let steps = (0..noise.int_in_range(2..=9)?)
        .map(|_| Ok(Step { act: *noise.choose(ACTS)?, turns: noise.int_in_range(0..=6)? }));
    let steps = steps.collect::<Drawn<Vec<Step>>>()?;
    let openings = (0..noise.int_in_range(0..=4)?).map(|_| Ok(*noise.choose(OPENINGS)?));
    Ok((steps, openings.collect::<Drawn<Vec<Opening>>>()?))
}

/// Waves of tries, the tries of a wave at the same time.
fn drawn_tries(noise: &mut Unstructured) -> Drawn<Vec<Vec<Try>>> {
    let mut number = 0;
    let waves = (0..noise.int_in_range(2..=6)?).map(|_| {
        let tries = (0..noise.int_in_range(1..=3)?).map(|_| {
            number += 1;
            let long = noise.ratio(1u8, 10u8)?;
            let body_bytes = if long { LONG_BODY } else { noise.int_in_range(0..=40)? };
            Ok(Try { id: format!("try-{number}"), once: noise.arbitrary()?, body_bytes })
        });
        tries.collect::<Drawn<Vec<Try>>>()
    });
    waves.collect()
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

async fn play(scripts: Vec<Script>, waves: &[Vec<Try>], takes: Takes, within: Duration) -> Vec<Fact> {
    let facts = Facts::default();
    let mut peers = Vec::new();
    for (number, script) in scripts.into_iter().enumerate() {
        peers.push(Peer::start(&Manner::OWN, &format!("u-{number}"), facts.clone(), script).await);
    }
    let proxy = Proxy::start(&Manner::OWN, &peers, facts.clone(), takes);
    for wave in waves {
        futures::future::join_all(wave.iter().map(|asked| proxy.ask(asked, within))).await;
    }
    facts.all()
}

fn fuzz(seed: u64, takes: Takes) -> Vec<(Vec<Breach>, String)> {
    let mut broken = Vec::new();
    arbtest(|noise| {
        let scripts = (0..noise.int_in_range(1..=3)?).map(|_| drawn_script(noise));
        let scripts = scripts.collect::<Drawn<Vec<Script>>>()?;
        let waves = drawn_tries(noise)?;
        let facts = run(play(scripts.clone(), &waves, takes, SHORT));
        let breaches = judge(&facts);
        if !breaches.is_empty() {
            broken.push((breaches, format!("{scripts:?}\n{waves:?}\n{facts:#?}")));
        }
        Ok(())
    })
    .seed(seed << 32 | 4_000);
    broken
}

/// Cases on all processors, as many as CI has time for.
fn fuzz_all(cases: u64, takes: Takes) -> Vec<(Vec<Breach>, String)> {
    let part = |part: u64| -> Vec<(Vec<Breach>, String)> {
        (1..=cases).filter(|seed| seed % THREADS == part).flat_map(|seed| fuzz(seed, takes)).collect()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|number| scope.spawn(move || part(number))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no case panics")).collect()
    })
}

#[test]
fn each_answer_belongs_to_its_request_whatever_upstreams_do() {
    let broken = fuzz_all(CASES, Takes::ItsOwn);
    assert!(broken.is_empty(), "{} of {CASES} broken, the first: {:?}\n{}", broken.len(), broken[0].0, broken[0].1);
}

#[test]
fn a_proxy_that_takes_a_lost_answer_for_unsent_is_caught() {
    let broken = fuzz_all(60, Takes::LostForUnsent);
    let twice = |breach: &Breach| matches!(breach, Breach::RanTwice { .. } | Breach::FalselyRefused { .. });
    assert!(broken.iter().any(|(breaches, _)| breaches.iter().any(twice)));
}

#[test]
fn a_proxy_that_believes_whatever_comes_is_caught() {
    let broken = fuzz_all(60, Takes::Anything);
    let foreign = |breach: &Breach| matches!(breach, Breach::NotItsOwn { .. });
    assert!(broken.iter().any(|(breaches, _)| breaches.iter().any(foreign)));
}

#[test]
fn a_client_that_takes_the_next_answer_on_its_connection_is_caught() {
    let steps = [Act::ThenSurplus, Act::Whole].map(|act| Step { act, turns: 0 });
    let facts = run(async {
        let facts = Facts::default();
        let peer = Peer::start(&Manner::OWN, "u-1", facts.clone(), (steps.to_vec(), vec![])).await;
        let mut kept = None;
        for number in 0..4 {
            let asked = Try { id: format!("try-{number}"), once: true, body_bytes: 0 };
            ask_naively(&mut kept, &peer, &Manner::OWN, &facts, &asked).await;
        }
        facts.all()
    });
    let foreign = |breach: &Breach| matches!(breach, Breach::NotItsOwn { .. });
    assert!(judge(&facts).iter().any(foreign));
}

/// One upstream with this script; the try after the first is the one that meets what it says.
fn told(steps: &[Act], once: bool, tries: usize) -> (Vec<Told>, Vec<Fact>) {
    told_within(steps, once, tries, AMPLE)
}

/// The same, with less time for the last try.
fn told_within(steps: &[Act], once: bool, tries: usize, last: Duration) -> (Vec<Told>, Vec<Fact>) {
    let steps: Vec<Step> = steps.iter().map(|act| Step { act: *act, turns: 3 }).collect();
    run(async {
        let facts = Facts::default();
        let peer = Peer::start(&Manner::OWN, "u-1", facts.clone(), (steps, vec![])).await;
        let proxy = Proxy::start(&Manner::OWN, &[peer], facts.clone(), Takes::ItsOwn);
        let mut told = Vec::new();
        for number in 0..tries {
            let asked = Try { id: format!("try-{number}"), once, body_bytes: 5 };
            told.push(proxy.ask(&asked, if number + 1 < tries { AMPLE } else { last }).await);
        }
        (told, facts.all())
    })
}

fn success(number: usize) -> Told {
    Told::Success { body: work(&format!("try-{number}")).into() }
}

#[test]
fn an_answer_to_another_try_costs_the_request_behind_it_nothing() {
    [Act::SurplusFirst, Act::ChunkedSurplusFirst].into_iter().for_each(|act| {
        [true, false].into_iter().for_each(|once| {
            let (told, facts) = told(&[Act::Whole, act, Act::Whole], once, 3);
            assert_eq!(told, (0..3).map(success).collect::<Vec<_>>(), "{act:?}");
            let arrived = facts.iter().filter(|fact| matches!(fact, Fact::Arrived { .. })).count();
            assert_eq!(arrived, 3, "{act:?}: each was sent once");
        });
    });
}

#[test]
fn what_comes_after_an_answer_costs_the_next_request_nothing() {
    use Act::*;
    [ThenSurplus, ThenLateSurplus, ThenGarbage, ThenClose, Last, Interim, Early].into_iter().for_each(|act| {
        // A reset may cross the next request, and then nobody can tell; these can't.
        let (told, _) = told(&[act], false, 3);
        assert_eq!(told, (0..3).map(success).collect::<Vec<_>>(), "{act:?}");
    });
}

#[test]
fn what_belongs_to_nobody_is_no_answer() {
    use Act::*;
    let odd = [Nameless, TwoNames, HalfWithoutLength, Half, HalfChunked, Garbage, Switch, NamelessDenial];
    odd.into_iter().for_each(|act| {
        let (told, facts) = told(&[Whole, act], true, 2);
        assert_eq!(told, [success(0), Told::Unknown], "{act:?}");
        assert_eq!(judge(&facts), vec![], "{act:?}");
    });
}

/// Its own answer may follow, and is waited for as long as the request has time.
#[test]
fn a_denial_of_another_try_denies_nothing() {
    let (told, facts) = told_within(&[Act::Whole, Act::ForeignDenial], true, 2, SHORT);
    assert_eq!((told, judge(&facts)), (vec![success(0), Told::Unknown], vec![]));
}
