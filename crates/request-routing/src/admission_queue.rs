//! The admission queue of one service: requests wait for a free slot in the order they came, with a bound on all and
//! on one key.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Most requests queued for one service at one proxy.
const MAX_QUEUED: usize = 128;
/// Most of them for one key, so that a single key can't fill the queue.
const MAX_QUEUED_PER_KEY: usize = 16;

/// How a queued request is told that a slot may be free.
#[derive(Clone)]
pub struct WakeUp(Arc<dyn Fn() + Send + Sync>);

impl WakeUp {
    /// A wake-up that calls this function.
    ///
    /// ```
    /// request_routing::WakeUp::new(|| println!("a slot may be free")).wake();
    /// ```
    pub fn new(wake: impl Fn() + Send + Sync + 'static) -> Self {
        WakeUp(Arc::new(wake))
    }

    /// Calls the function.
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
        f.write_str("WakeUp")
    }
}

struct QueuedRequest {
    ticket: u64,
    key_hash: u64,
    /// The only upstream that will do, where the request's key is assigned to one.
    instance: Option<String>,
    wake_up: WakeUp,
}

/// Queued requests in the order they came.
#[derive(Default)]
pub struct AdmissionQueue {
    requests: VecDeque<QueuedRequest>,
    last_ticket: u64,
}

impl AdmissionQueue {
    /// Appends a request and gives its ticket; none where the queue, or this key's part of it, is full.
    ///
    /// ```
    /// let mut queue = request_routing::AdmissionQueue::default();
    /// let enqueue = |queue: &mut request_routing::AdmissionQueue, key| queue.enqueue(key, None, request_routing::WakeUp::default());
    /// (0..16).for_each(|_| assert!(enqueue(&mut queue, 7).is_some()));
    /// assert_eq!(enqueue(&mut queue, 7), None, "one key may not take the whole queue");
    /// assert!(enqueue(&mut queue, 8).is_some());
    /// ```
    pub fn enqueue(
        &mut self,
        key_hash: u64,
        instance: Option<&str>,
        wake_up: WakeUp,
    ) -> Option<u64> {
        let of_this_key = self
            .requests
            .iter()
            .filter(|request| request.key_hash == key_hash)
            .count();
        if self.requests.len() >= MAX_QUEUED || of_this_key >= MAX_QUEUED_PER_KEY {
            return None;
        }
        self.last_ticket += 1;
        self.requests.push_back(QueuedRequest {
            ticket: self.last_ticket,
            key_hash,
            instance: instance.map(str::to_owned),
            wake_up,
        });
        Some(self.last_ticket)
    }

    /// Removes a request.
    ///
    /// ```
    /// let mut queue = request_routing::AdmissionQueue::default();
    /// let ticket = queue.enqueue(1, None, request_routing::WakeUp::default()).unwrap();
    /// queue.dequeue(ticket);
    /// assert!(queue.is_empty());
    /// ```
    pub fn dequeue(&mut self, ticket: u64) {
        self.requests.retain(|request| request.ticket != ticket);
    }

    /// The wake-up of the first request that could use a slot freed at this instance, or at any.
    ///
    /// ```
    /// let mut queue = request_routing::AdmissionQueue::default();
    /// queue.enqueue(1, Some("a"), request_routing::WakeUp::default());
    /// assert!(queue.first_for(Some("b")).is_none(), "it needs a slot at a");
    /// assert!(queue.first_for(Some("a")).is_some());
    /// ```
    pub fn first_for(&self, freed_instance: Option<&str>) -> Option<WakeUp> {
        let can_use_it = |request: &&QueuedRequest| match (&request.instance, freed_instance) {
            (Some(needed), Some(freed)) => needed == freed,
            _ => true,
        };
        self.requests
            .iter()
            .find(can_use_it)
            .map(|request| request.wake_up.clone())
    }

    /// True where a request that needs the same instance is queued already: one that comes now goes behind it.
    ///
    /// ```
    /// let mut queue = request_routing::AdmissionQueue::default();
    /// queue.enqueue(1, Some("a"), request_routing::WakeUp::default());
    /// assert!(queue.has_queued(Some("a")));
    /// assert!(!queue.has_queued(Some("b")));
    /// ```
    pub fn has_queued(&self, instance: Option<&str>) -> bool {
        self.requests
            .iter()
            .any(|request| request.instance.as_deref() == instance)
    }

    /// How many requests are queued.
    ///
    /// ```
    /// assert_eq!(request_routing::AdmissionQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// True where none is queued.
    ///
    /// ```
    /// assert!(request_routing::AdmissionQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
