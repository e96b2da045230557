//! What one proxy sent to an upstream in the last second, and what allowed it: the evidence for the moment when the
//! upstream turns out to be cold.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// How long a send is remembered.
const RETENTION: Duration = Duration::from_secs(1);
/// Most sends that are remembered of one upstream.
const MAX_REMEMBERED: usize = 64;

/// What allowed a request to be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBasis {
    /// The last heartbeat that the view holds says that it is warm.
    Heartbeat,
    /// A recent answer of its own says that it is warm.
    HealthAnswer,
    /// None; a health check went out with the request.
    AlongWithCheck,
    /// It is known to be cold: the request took a turn of its slow-start rate.
    SlowStart,
}

/// Counts of sends by what allowed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// On a heartbeat's word.
    pub heartbeat: u32,
    /// On an answer to a health check.
    pub health_answer: u32,
    /// Together with a health check.
    pub along_with_check: u32,
    /// On a turn of slow start.
    pub slow_start: u32,
}

impl SendCounts {
    fn add(&mut self, basis: SendBasis) {
        let counter = match basis {
            SendBasis::Heartbeat => &mut self.heartbeat,
            SendBasis::HealthAnswer => &mut self.health_answer,
            SendBasis::AlongWithCheck => &mut self.along_with_check,
            SendBasis::SlowStart => &mut self.slow_start,
        };
        *counter += 1;
    }

    /// All of them.
    pub fn total(&self) -> u32 {
        self.heartbeat + self.health_answer + self.along_with_check + self.slow_start
    }
}

impl fmt::Display for SendCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} on a heartbeat, {} on a health answer, {} along with a check, {} by slow start",
            self.heartbeat, self.health_answer, self.along_with_check, self.slow_start
        )
    }
}

/// The sends of the last second, oldest first.
#[derive(Clone, Default)]
pub(crate) struct RecentSends(VecDeque<(Duration, SendBasis)>);

impl RecentSends {
    pub(crate) fn record(&mut self, now: Duration, basis: SendBasis) {
        self.forget_old(now);
        if self.0.len() >= MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back((now, basis));
    }

    /// The sends of the last second, counted.
    pub(crate) fn counts(&mut self, now: Duration) -> SendCounts {
        self.forget_old(now);
        let mut counts = SendCounts::default();
        for (_, basis) in &self.0 {
            counts.add(*basis);
        }
        counts
    }

    fn forget_old(&mut self, now: Duration) {
        while self.0.front().is_some_and(|(at, _)| *at + RETENTION <= now) {
            self.0.pop_front();
        }
    }
}

/// How a proxy learned that an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdNews {
    /// The view says so, by the upstream's heartbeat.
    Heartbeat,
    /// The upstream said so in its answer to a health check.
    HealthAnswer,
}

/// An upstream that was sent requests as a warm one turns out to be cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdUpstream {
    /// Its service.
    pub service: String,
    /// Its instance id.
    pub instance: String,
    /// How that became known.
    pub news: ColdNews,
    /// What this proxy sent there in the second before.
    pub sends: SendCounts,
}

impl fmt::Display for ColdUpstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let news = match self.news {
            ColdNews::Heartbeat => "heartbeat",
            ColdNews::HealthAnswer => "health answer",
        };
        let ColdUpstream {
            service,
            instance,
            sends,
            ..
        } = self;
        write!(
            f,
            "{instance} of {service} is cold, by its {news}; sent there in the last second: {sends}"
        )
    }
}
