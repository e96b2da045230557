//! The capacity of the simulated upstreams.

use std::time::Duration;

/// The capacity of the upstreams, and how clients retry. The default has capacity for every request.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Requests that one upstream executes at once.
    pub slots: u32,
    /// The least and the most time that a request takes.
    pub takes: (Duration, Duration),
    /// Whether every sixth upstream is three times as slow.
    pub some_slow: bool,
    /// How long requests may wait for capacity.
    pub wait_for: Duration,
    /// Clients retry after this, whatever a response asks for.
    pub retry_after_for: Option<Duration>,
}

impl Default for LoadProfile {
    fn default() -> Self {
        let ms = Duration::from_millis;
        LoadProfile {
            slots: 16,
            takes: (ms(3), ms(7)),
            some_slow: false,
            wait_for: ms(150),
            retry_after_for: None,
        }
    }
}
