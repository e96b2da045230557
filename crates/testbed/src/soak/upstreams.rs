//! The stand-in upstreams of a soak: they crash, drain, and cold ones take their places.

use super::schedule::UpstreamStep;
use crate::stand_in_upstreams::StandInUpstream;
use invariants::observations::ObservationLog;
use std::sync::Arc;
use std::time::Duration;
use transport::{Clock, HttpClient};

/// How long a place stays empty after a crash.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(700);
/// How long a draining upstream serves on.
const DRAIN: Duration = Duration::from_secs(4);
/// Stands between an instance's first name and the number of its successor.
const GENERATION: &str = ".g";
/// How long a new upstream is cold.
const WARM_UP: Duration = Duration::from_secs(2);

/// One place for an upstream, and how many held it before.
struct Place {
    upstream: Arc<StandInUpstream>,
    generation: u32,
    /// It crashed, and is replaced then.
    replace_at: Option<Duration>,
    warm_at: Option<Duration>,
}

/// All upstreams of a site under the soak.
pub(super) struct SoakUpstreams {
    places: Vec<Place>,
    nodes: Arc<Vec<String>>,
    clock: Clock,
    record: ObservationLog,
    client: HttpClient,
}

impl SoakUpstreams {
    pub(super) fn new(
        upstreams: Vec<Arc<StandInUpstream>>,
        nodes: Arc<Vec<String>>,
        clock: Clock,
        record: ObservationLog,
    ) -> Self {
        let places = upstreams.into_iter().map(|upstream| Place {
            upstream,
            generation: 0,
            replace_at: None,
            warm_at: None,
        });
        SoakUpstreams {
            places: places.collect(),
            nodes,
            clock,
            record,
            client: HttpClient::default(),
        }
    }

    pub(super) async fn carry_out(&mut self, chosen: &[usize], step: UpstreamStep) {
        for at in chosen {
            match step {
                UpstreamStep::Crash => self.crash(*at),
                UpstreamStep::Drain => self.drain(*at).await,
            }
        }
    }

    fn crash(&mut self, at: usize) {
        let now = self.clock.now();
        let Some(place) = self.places.get_mut(at) else {
            return;
        };
        if place.replace_at.is_none() {
            place.upstream.crash();
            place.replace_at = Some(now + REPLACEMENT_DELAY);
        }
    }

    /// The successor starts first; the old one tells any node that it drains, serves on, and ends.
    async fn drain(&mut self, at: usize) {
        if self
            .places
            .get(at)
            .is_none_or(|place| place.replace_at.is_some())
        {
            return;
        }
        let old = self.places[at].upstream.clone();
        old.start_draining();
        let node = self.nodes[at % self.nodes.len()].clone();
        let client = self.client.clone();
        self.replace(at).await;
        tokio::spawn(async move {
            old.send_heartbeat(&client, &node).await;
            tokio::time::sleep(DRAIN).await;
            old.crash();
        });
    }

    /// Fills places that are empty, and warms up what is cold.
    pub(super) async fn watch(&mut self) {
        let now = self.clock.now();
        for at in 0..self.places.len() {
            if self.places[at].replace_at.is_some_and(|then| now >= then) {
                self.replace(at).await;
            }
            if self.places[at].warm_at.is_some_and(|then| now >= then) {
                self.places[at].warm_at = None;
                self.places[at].upstream.set_warm(true);
            }
        }
    }

    async fn replace(&mut self, at: usize) {
        let place = &self.places[at];
        let generation = place.generation + 1;
        let old = place.upstream.clone();
        let first_name = old.instance.split(GENERATION).next().unwrap_or_default();
        let address = own_address(at, generation);
        let started = StandInUpstream::start(
            &address,
            old.work,
            format!("{first_name}{GENERATION}{generation}"),
            old.locality.clone(),
            false,
            self.nodes.clone(),
            self.clock,
            self.record.clone(),
        );
        // Where no port is free for a moment, the next look tries again.
        if let Ok(upstream) = started.await {
            self.places[at] = Place {
                upstream,
                generation,
                replace_at: None,
                warm_at: Some(self.clock.now() + WARM_UP),
            };
        }
    }

    /// Ends them all.
    pub(super) fn end(&self) {
        for place in &self.places {
            place.upstream.crash();
        }
    }
}

/// Any port of a loopback number of its own: the kernel may give a port that was just closed to the next upstream, and a request to
/// the old one would reach it.
fn own_address(place: usize, generation: u32) -> String {
    format!(
        "127.{}.{}.{}:0",
        130 + generation % 100,
        generation / 100 % 250,
        1 + place % 250
    )
}
