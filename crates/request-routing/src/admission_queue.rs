//! Those who wait for a seat of one service: first come, first served, with a bound on all and on one key.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Most requests that wait for one service at one proxy, and most of them for one key.
const MAX_WAITING: usize = 128;
const MAX_OF_A_KEY: usize = 16;

/// What is done to tell a waiting request that a seat may be free.
#[derive(Clone)]
pub struct WakeUp(Arc<dyn Fn() + Send + Sync>);

impl WakeUp {
    /// A bell that does this when it rings.
    ///
    /// ```
    /// request_routing::WakeUp::new(|| println!("a seat may be free")).wake();
    /// ```
    pub fn new(wake: impl Fn() + Send + Sync + 'static) -> Self {
        WakeUp(Arc::new(wake))
    }

    /// Rings.
    ///
    /// ```
    /// request_routing::WakeUp::default().wake();
    /// ```
    pub fn wake(&self) {
        (self.0)()
    }
}

impl Default for WakeUp {
    fn default() -> Self {
        WakeUp::new(|| {})
    }
}

impl fmt::Debug for WakeUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Bell")
    }
}

struct Waiting {
    ticket: u64,
    key: u64,
    /// Only this upstream will do: it holds the key.
    wants: Option<String>,
    wake_up: WakeUp,
}

/// Waiting requests in the order they came.
#[derive(Default)]
pub struct AdmissionQueue {
    line: VecDeque<Waiting>,
    next: u64,
}

impl AdmissionQueue {
    /// Takes a place at the end; none where the list, or this key's part of it, is full.
    ///
    /// ```
    /// let mut list = request_routing::AdmissionQueue::default();
    /// let join = |list: &mut request_routing::AdmissionQueue, key| list.join(key, None, request_routing::WakeUp::default());
    /// (0..16).for_each(|_| assert!(join(&mut list, 7).is_some()));
    /// assert_eq!(join(&mut list, 7), None, "one key may not take the whole list");
    /// assert!(join(&mut list, 8).is_some());
    /// ```
    pub fn join(&mut self, key: u64, wants: Option<&str>, wake_up: WakeUp) -> Option<u64> {
        let of_key = self
            .line
            .iter()
            .filter(|waiting| waiting.key == key)
            .count();
        if self.line.len() >= MAX_WAITING || of_key >= MAX_OF_A_KEY {
            return None;
        }
        self.next += 1;
        self.line.push_back(Waiting {
            ticket: self.next,
            key,
            wants: wants.map(str::to_owned),
            wake_up,
        });
        Some(self.next)
    }

    /// Gives the place up.
    ///
    /// ```
    /// let mut list = request_routing::AdmissionQueue::default();
    /// let ticket = list.join(1, None, request_routing::WakeUp::default()).unwrap();
    /// list.leave(ticket);
    /// assert!(list.is_empty());
    /// ```
    pub fn leave(&mut self, ticket: u64) {
        self.line.retain(|waiting| waiting.ticket != ticket);
    }

    /// The bell of the first who would take a seat at this upstream, or anywhere.
    ///
    /// ```
    /// let mut list = request_routing::AdmissionQueue::default();
    /// list.join(1, Some("a"), request_routing::WakeUp::default());
    /// assert!(list.first(Some("b")).is_none(), "it wants a seat at a only");
    /// assert!(list.first(Some("a")).is_some());
    /// ```
    pub fn first(&self, freed: Option<&str>) -> Option<WakeUp> {
        let fits = |waiting: &&Waiting| {
            let wants = waiting.wants.as_deref();
            wants.zip(freed).is_none_or(|(wants, freed)| wants == freed)
        };
        self.line
            .iter()
            .find(fits)
            .map(|waiting| waiting.wake_up.clone())
    }

    /// True where one who wants the same is there already: who comes now goes behind.
    ///
    /// ```
    /// let mut list = request_routing::AdmissionQueue::default();
    /// list.join(1, Some("a"), request_routing::WakeUp::default());
    /// assert!(list.has(Some("a")));
    /// assert!(!list.has(Some("b")));
    /// ```
    pub fn has(&self, wants: Option<&str>) -> bool {
        self.line
            .iter()
            .any(|waiting| waiting.wants.as_deref() == wants)
    }

    /// How many wait.
    ///
    /// ```
    /// assert_eq!(request_routing::AdmissionQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.line.len()
    }

    /// True where nobody waits.
    ///
    /// ```
    /// assert!(request_routing::AdmissionQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }
}
