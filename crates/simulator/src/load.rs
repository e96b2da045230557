//! The capacity of the simulated upstreams.

use std::time::Duration;

/// How much the upstreams can bear, and what is asked of the site. The default is room enough for everything.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Places at one upstream.
    pub slots: u32,
    /// Least and most that a piece of work takes; every sixth upstream is three times as slow.
    pub takes: (Duration, Duration),
    pub some_slow: bool,
    /// How long requests may wait for a seat.
    pub wait_for: Duration,
    /// Origins come back after this, whatever they are told.
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
