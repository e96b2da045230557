//! What the requests of a carrier share: the published view, counters, and the pages it serves itself.

use crate::dialect::{Dialect, Door, Page};
use crate::traces::Traces;
use arc_swap::ArcSwap;
use bytes::Bytes;
use config::Sheet;
use dashmap::DashMap;
use http_body_util::Full;
use hyper::Response;
use locality::Locality;
use name_directory::View;
use protocol::KeyLoad;
use request_routing::{Board, Note, Order, Site};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use transport::{Caller, Clock, Enquiry, Pool};

#[derive(Default)]
pub(crate) struct Counters {
    pub forwarded: AtomicU64,
    listings: AtomicU64,
    codes: DashMap<u32, u64>,
}

/// How a node serves, beside its place and its dialect.
pub struct NodeTerms {
    pub clock: Clock,
    /// Whether connections to upstreams are reused.
    pub keeps_connections: bool,
    /// Its roles, with commas.
    pub roles: String,
    /// How long origins keep an address.
    pub lifetime: Duration,
}

/// What requests share. Control publishes views to it; requests only read them.
pub struct Node {
    pub(crate) site: Site,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    pub(crate) postmasters: ArcSwap<Vec<String>>,
    pub(crate) board: Board,
    pub(crate) caller: Caller,
    /// Connections to upstreams that wait for their next request.
    pub(crate) pool: Pool,
    pub(crate) keeps_connections: bool,
    pub(crate) dialect: Dialect,
    pub(crate) traces: Traces,
    pub(crate) counters: Counters,
    roles: String,
    lifetime: Duration,
    closing: AtomicBool,
    denying: AtomicBool,
}

impl Node {
    /// A node that knows nothing yet.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use std::{sync::Arc, time::Duration};
    /// use data_plane::{Dialect, Door, Node, NodeTerms};
    /// let site = request_routing::Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let terms = NodeTerms {
    ///     clock: transport::Clock::default(),
    ///     keeps_connections: true,
    ///     roles: "proxy".into(),
    ///     lifetime: Duration::from_secs(2),
    /// };
    /// let node = Arc::new(Node::new(site, Dialect::own(), terms));
    /// let enquiry = transport::Enquiry { path: "/ready".into(), ..Default::default() };
    /// assert_eq!(node.serve(Door::Front, enquiry).await.status(), 503, "it has no view yet");
    /// # });
    /// ```
    pub fn new(site: Site, dialect: Dialect, terms: NodeTerms) -> Node {
        let NodeTerms {
            clock,
            keeps_connections,
            roles,
            lifetime,
        } = terms;
        Node {
            site,
            clock,
            view: ArcSwap::default(),
            postmasters: ArcSwap::default(),
            board: Board::default(),
            caller: Caller::default(),
            pool: Pool::default(),
            keeps_connections,
            dialect,
            traces: Traces::default(),
            counters: Counters::default(),
            roles,
            lifetime,
            closing: AtomicBool::new(false),
            denying: AtomicBool::new(false),
        }
    }

    /// Requests go by this view from now on.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        // Beats may have told of room.
        self.board.ring_all();
    }

    /// Control nodes, in the order in which they are to be called.
    pub fn learn_control_nodes(&self, addresses: Vec<String>) {
        self.postmasters.store(Arc::new(addresses));
    }

    /// It is not ready any more; where it denies, it takes no further request either.
    pub(crate) fn close(&self, denies: bool) {
        self.closing.store(true, Ordering::Release);
        self.denying.store(denies, Ordering::Release);
    }

    /// Forgets what is of no more use, and gives the requests by key since the last time.
    pub(crate) fn sweep(&self, now: Duration) -> Vec<KeyLoad> {
        let view = self.view.load();
        self.pool.sweep();
        self.board.sweep(now, |instance| {
            view.upstreams
                .values()
                .any(|known| known.contains_key(instance))
        });
        self.board.drain_keys()
    }

    /// Answers what came in at one of its doors.
    pub async fn serve(self: Arc<Self>, door: Door, enquiry: Enquiry) -> Response<Full<Bytes>> {
        let retry = Some(Duration::from_secs(1));
        let serves = |role: &str| self.roles.contains(role);
        match (self.dialect.page)(door, &enquiry) {
            Page::Request if serves("proxy") => self.carry(enquiry).await,
            Page::Listing { name, origin } if serves("directory") => self.list(&name, origin),
            Page::Live => transport::verdict(ResultCode::Fine, None),
            Page::Ready => {
                let code = self.ready();
                transport::verdict(code, retry.filter(|_| code != ResultCode::Fine))
            }
            Page::Counters => self.show_counters(),
            Page::Node => self.show_node(),
            Page::Trace { try_id } => self.show_trace(&try_id),
            Page::Supposed => self.show_supposed(&enquiry),
            Page::Relay => self.relay(enquiry).await,
            _ => transport::verdict(ResultCode::NoSuchPage, None),
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.denying.load(Ordering::Acquire)
    }

    pub(crate) fn count(&self, code: ResultCode) {
        *self.counters.codes.entry(code.number()).or_insert(0) += 1;
    }

    fn ready(&self) -> ResultCode {
        let fresh = self.site.may_use(&self.view.load(), self.clock.now());
        match (self.closing.load(Ordering::Acquire), fresh) {
            (true, _) => ResultCode::Closing,
            (false, false) => ResultCode::Stale,
            (false, true) => ResultCode::Fine,
        }
    }

    fn list(&self, name: &str, origin: Option<Locality>) -> Response<Full<Bytes>> {
        self.counters.listings.fetch_add(1, Ordering::Relaxed);
        let view = self.view.load();
        let Some(origin) = origin else {
            return self.deny(ResultCode::Malformed, None, "");
        };
        let listed = if self.site.may_use(&view, self.clock.now()) {
            name_directory::list(
                &view,
                name,
                &origin,
                self.lifetime,
                (self.site.owners, self.dialect.most_addresses),
            )
        } else {
            Err(ResultCode::Stale)
        };
        let salt = || format!("{name}{origin}");
        listed.map_or_else(
            |code| self.deny(code, request_routing::come_back(code, 0.0, &salt()), ""),
            |listing| (self.dialect.listing)(listing),
        )
    }

    fn show_counters(&self) -> Response<Full<Bytes>> {
        let count = |counter: &AtomicU64| Sheet::from(counter.load(Ordering::Relaxed));
        let mut codes: Vec<(String, Sheet)> = self
            .counters
            .codes
            .iter()
            .map(|entry| (entry.key().to_string(), (*entry.value()).into()))
            .collect();
        codes.sort_by(|a, b| a.0.cmp(&b.0));
        let now = self.clock.now();
        let services = self.board.tallies(now).into_iter().map(|tally| {
            Sheet::fields([
                ("service", tally.service.into()),
                ("serving", tally.serving.into()),
                ("waiting", tally.waiting.into()),
                ("firstsIn10s", tally.firsts.into()),
                ("resendsIn10s", tally.resends.into()),
                ("deniedIn10s", tally.denied.into()),
            ])
        });
        let age_ms = self
            .view
            .load()
            .as_of
            .map(|as_of| (now.saturating_sub(as_of).as_millis() as u64).into());
        let sheet = Sheet::fields([
            ("listings", count(&self.counters.listings)),
            ("forwarded", count(&self.counters.forwarded)),
            ("viewAgeMs", age_ms.unwrap_or(Sheet::Null)),
            ("services", services.collect()),
            (
                "setAside",
                self.board
                    .ejected(now)
                    .into_iter()
                    .map(Sheet::from)
                    .collect(),
            ),
            ("codes", Sheet::Fields(codes)),
        ]);
        transport::json(ResultCode::Fine, &sheet)
    }

    fn show_node(&self) -> Response<Full<Bytes>> {
        let view = self.view.load();
        let now = self.clock.now();
        let age_ms = view
            .as_of
            .map(|as_of| (now.saturating_sub(as_of).as_millis() as u64).into());
        let proxies = view
            .proxies
            .iter()
            .map(|proxy| Sheet::from(proxy.node.as_str()));
        let sheet = Sheet::fields([
            ("node", self.site.node.as_str().into()),
            ("locality", self.site.locality.to_string().into()),
            ("roles", self.roles.as_str().into()),
            ("edition", view.edition.into()),
            ("ageMs", age_ms.unwrap_or(Sheet::Null)),
            ("ready", (self.ready() == ResultCode::Fine).into()),
            ("proxies", proxies.collect()),
        ]);
        transport::json(ResultCode::Fine, &sheet)
    }

    /// What would be decided for such a request at this moment. Nothing is sent, and nothing is counted.
    fn show_supposed(&self, enquiry: &Enquiry) -> Response<Full<Bytes>> {
        let order = Order {
            try_id: "supposed".into(),
            name: enquiry.query("name").into(),
            path: enquiry.query("path").into(),
            key: Some(enquiry.query("key"))
                .filter(|key| !key.is_empty())
                .map(str::to_owned),
            arrived_at: self.clock.now(),
            remaining: Duration::from_secs(1),
            ..Order::default()
        };
        let notes = request_routing::suppose(
            order,
            &self.site,
            self.clock.now(),
            &self.view.load(),
            &self.board,
        );
        self.show_notes("supposed", notes.iter().map(Note::to_string).collect())
    }

    fn show_notes(&self, try_id: &str, notes: Vec<String>) -> Response<Full<Bytes>> {
        let sheet = Sheet::fields([
            ("code", u64::from(ResultCode::Fine.number()).into()),
            ("node", self.site.node.as_str().into()),
            ("tryId", try_id.into()),
            ("notes", notes.into_iter().map(Sheet::from).collect()),
        ]);
        transport::json(ResultCode::Fine, &sheet)
    }

    fn show_trace(&self, try_id: &str) -> Response<Full<Bytes>> {
        let notes = self.traces.find(try_id);
        notes.map_or_else(
            || transport::verdict(ResultCode::NoSuchTrace, None),
            |notes| self.show_notes(try_id, notes),
        )
    }
}
