//! What the tests of answers share: scripts drawn for upstreams, attempts against them, and seeds run on all processors.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use std::time::Duration;
use testbed::scripted::{
    Attempt, CONNECTION_STARTS, ConnectionStart, Event, EventLog, Outcome, Peer, Proxy,
    RESPONSE_FAULTS, ResponseCheck, ResponseFault, SiteConventions, Step, Violation, check, work,
};

/// So long the fuzzer waits for an answer that never comes.
pub const SHORT: Duration = Duration::from_millis(25);
/// Ample on any machine.
pub const AMPLE: Duration = Duration::from_secs(20);
pub const LONG_BODY: usize = 1_000_000;
/// Seeds run at the same time.
const THREADS: u64 = 12;
/// How often a scripted upstream yields before it acts, where that isn't drawn.
const TURNS: u8 = 3;

pub type Script = (Vec<Step>, Vec<ConnectionStart>);
/// The attempts of a wave are sent at the same time.
pub type Waves = Vec<Vec<Attempt>>;

/// A case that broke a rule: how, and what was drawn and seen.
pub type Broken = (Vec<Violation>, String);

/// The client under test.
#[derive(Clone, Copy)]
pub struct Client {
    pub conventions: &'static SiteConventions,
    /// What its upstreams are called, a number after it.
    pub instance_prefix: &'static str,
    pub draw_waves: fn(&mut Unstructured) -> Drawn<Waves>,
}

/// One attempt, now and then with a long body.
pub fn drawn_try(noise: &mut Unstructured, number: usize) -> Drawn<Attempt> {
    let long = noise.ratio(1u8, 10u8)?;
    let body_bytes = if long {
        LONG_BODY
    } else {
        noise.int_in_range(0..=40)?
    };
    Ok(Attempt {
        id: format!("try-{number}"),
        at_most_once: noise.arbitrary()?,
        body_bytes,
    })
}

fn drawn_script(noise: &mut Unstructured) -> Drawn<Script> {
    let steps = (0..noise.int_in_range(2..=9)?).map(|_| {
        Ok(Step {
            fault: *noise.choose(RESPONSE_FAULTS)?,
            yields: noise.int_in_range(0..=6)?,
        })
    });
    let steps = steps.collect::<Drawn<Vec<Step>>>()?;
    let openings = (0..noise.int_in_range(0..=4)?).map(|_| Ok(*noise.choose(CONNECTION_STARTS)?));
    Ok((steps, openings.collect::<Drawn<Vec<ConnectionStart>>>()?))
}

/// Runs a future to its end on a runtime of its own.
pub fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

/// What a success says to the attempt of this number.
pub fn success(number: usize) -> Outcome {
    Outcome::Success {
        body: work(&format!("try-{number}")).into(),
    }
}

impl Client {
    async fn inject(
        &self,
        scripts: Vec<Script>,
        waves: &[Vec<Attempt>],
        response_check: ResponseCheck,
    ) -> Vec<Event> {
        let events = EventLog::default();
        let mut peers = Vec::new();
        for (number, script) in scripts.into_iter().enumerate() {
            let instance = format!("{}-{number}", self.instance_prefix);
            peers.push(Peer::start(self.conventions, &instance, events.clone(), script).await);
        }
        let proxy = Proxy::start(self.conventions, &peers, events.clone(), response_check);
        for wave in waves {
            futures::future::join_all(wave.iter().map(|asked| proxy.send_request(asked, SHORT)))
                .await;
        }
        events.all()
    }

    fn fuzz(&self, seed: u64, response_check: ResponseCheck) -> Vec<Broken> {
        let mut broken = Vec::new();
        arbtest(|noise| {
            let scripts = (0..noise.int_in_range(1..=3)?).map(|_| drawn_script(noise));
            let scripts = scripts.collect::<Drawn<Vec<Script>>>()?;
            let waves = (self.draw_waves)(noise)?;
            let events = run(self.inject(scripts.clone(), &waves, response_check));
            let violations = check(&events);
            if !violations.is_empty() {
                broken.push((violations, format!("{scripts:?}\n{waves:?}\n{events:#?}")));
            }
            Ok(())
        })
        .seed(seed << 32 | 4_000);
        broken
    }

    /// Cases on all processors, as many as CI has time for.
    pub fn fuzz_all(&self, cases: u64, response_check: ResponseCheck) -> Vec<Broken> {
        let part = |part: u64| -> Vec<Broken> {
            (1..=cases)
                .filter(|seed| seed % THREADS == part)
                .flat_map(|seed| self.fuzz(seed, response_check))
                .collect()
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..THREADS)
                .map(|number| scope.spawn(move || part(number)))
                .collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().expect("no case panics"))
                .collect()
        })
    }

    /// One upstream with this script, and so many attempts one after the other, with less time for the last.
    pub fn told_within(
        &self,
        steps: &[ResponseFault],
        at_most_once: bool,
        tries: usize,
        last: Duration,
    ) -> (Vec<Outcome>, Vec<Event>) {
        let steps: Vec<Step> = steps
            .iter()
            .map(|fault| Step {
                fault: *fault,
                yields: TURNS,
            })
            .collect();
        run(async {
            let events = EventLog::default();
            let instance = format!("{}-1", self.instance_prefix);
            let peer =
                Peer::start(self.conventions, &instance, events.clone(), (steps, vec![])).await;
            let proxy = Proxy::start(
                self.conventions,
                &[peer],
                events.clone(),
                ResponseCheck::MatchingResponse,
            );
            let mut outcome = Vec::new();
            for number in 0..tries {
                let asked = Attempt {
                    id: format!("try-{number}"),
                    at_most_once,
                    body_bytes: 5,
                };
                outcome.push(
                    proxy
                        .send_request(&asked, if number + 1 < tries { AMPLE } else { last })
                        .await,
                );
            }
            (outcome, events.all())
        })
    }

    /// None of so many cases breaks a rule.
    pub fn assert_none_broken(&self, cases: u64) {
        let broken = self.fuzz_all(cases, ResponseCheck::MatchingResponse);
        assert!(
            broken.is_empty(),
            "{} of {cases} broken, the first: {:?}\n{}",
            broken.len(),
            broken[0].0,
            broken[0].1
        );
    }

    /// Under this mistake some case is caught by a breach like that.
    pub fn assert_caught(
        &self,
        cases: u64,
        response_check: ResponseCheck,
        caught: fn(&Violation) -> bool,
    ) {
        let broken = self.fuzz_all(cases, response_check);
        assert!(
            broken
                .iter()
                .any(|(violations, _)| violations.iter().any(caught))
        );
    }

    /// Answers to other attempts are read past, and each request is sent once and answered.
    pub fn assert_surplus_costs_nothing(&self) {
        [
            ResponseFault::ExtraResponseFirst,
            ResponseFault::ChunkedExtraResponseFirst,
        ]
        .into_iter()
        .for_each(|fault| {
            [true, false].into_iter().for_each(|at_most_once| {
                let (outcome, events) = self.told_within(
                    &[ResponseFault::Complete, fault, ResponseFault::Complete],
                    at_most_once,
                    3,
                    AMPLE,
                );
                assert_eq!(
                    outcome,
                    (0..3).map(success).collect::<Vec<_>>(),
                    "{fault:?}"
                );
                let arrived = events
                    .iter()
                    .filter(|fact| matches!(fact, Event::Arrived { .. }))
                    .count();
                assert_eq!(arrived, 3, "{fault:?}: each was sent once");
            });
        });
    }
}
