//! The dimensions of a modelled deployment, and the zone and region that each of its processes runs in.

/// The dimensions of a modelled deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Data-plane nodes.
    pub nodes: usize,
    /// Control-plane nodes that vote.
    pub control_nodes: usize,
    /// Upstream instances of all services together.
    pub upstreams: usize,
    /// Services that the upstreams are divided among evenly.
    pub services: usize,
    /// Routes of the configuration, each with a name of its own.
    pub routes: usize,
    /// Regions that the zones are divided among evenly.
    pub regions: usize,
    /// Zones of all regions together.
    pub zones: usize,
}

/// Roadwise's deployment as it is today.
pub const CURRENT_SIZE: Size = Size {
    nodes: 13,
    control_nodes: 6,
    upstreams: 36,
    services: 3,
    routes: 20,
    regions: 3,
    zones: 6,
};

/// The size that mothspindle is designed for.
pub const TARGET_SIZE: Size = Size {
    nodes: 1200,
    control_nodes: 6,
    upstreams: 8500,
    services: 390,
    routes: 1900,
    regions: 15,
    zones: 46,
};

impl Size {
    /// The target size scaled down in proportion to this number of data-plane nodes; no dimension falls below
    /// [`CURRENT_SIZE`].
    ///
    /// ```
    /// use scale_model::{Size, TARGET_SIZE};
    /// assert_eq!(Size::shrunk(1200), TARGET_SIZE);
    /// assert_eq!(Size::shrunk(300).upstreams, 2125);
    /// ```
    pub fn shrunk(nodes: usize) -> Size {
        let part = |target: usize, today: usize| (target * nodes / TARGET_SIZE.nodes).max(today);
        Size {
            nodes,
            control_nodes: TARGET_SIZE.control_nodes,
            upstreams: part(TARGET_SIZE.upstreams, CURRENT_SIZE.upstreams),
            services: part(TARGET_SIZE.services, CURRENT_SIZE.services),
            routes: part(TARGET_SIZE.routes, CURRENT_SIZE.routes),
            regions: part(TARGET_SIZE.regions, CURRENT_SIZE.regions),
            zones: part(TARGET_SIZE.zones, CURRENT_SIZE.zones),
        }
    }

    /// The zone of the process with index `at`.
    ///
    /// ```
    /// assert_eq!(scale_model::CURRENT_SIZE.zone(7), 1);
    /// ```
    pub fn zone(&self, at: usize) -> usize {
        at % self.zones.max(1)
    }

    /// The zone of the upstream with index `at`: a service's upstreams are spread over as many zones as possible.
    ///
    /// ```
    /// use scale_model::CURRENT_SIZE;
    /// let zones: std::collections::BTreeSet<usize> = (0..36).step_by(3).map(|at| CURRENT_SIZE.upstream_zone(at)).collect();
    /// assert_eq!(zones.len(), 6);
    /// ```
    pub fn upstream_zone(&self, at: usize) -> usize {
        let services = self.services.max(1);
        self.zone(at / services + 7 * (at % services))
    }

    /// The region that a zone lies in.
    ///
    /// ```
    /// assert_eq!(scale_model::CURRENT_SIZE.region(4), 1);
    /// ```
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions.max(1)
    }

    /// A zone's locality in text form.
    ///
    /// ```
    /// assert_eq!(scale_model::CURRENT_SIZE.locality(4), "region-1/zone-4");
    /// ```
    pub fn locality(&self, zone: usize) -> String {
        format!("region-{}/zone-{zone}", self.region(zone))
    }

    /// Whether each key of this service has exactly one owner: every third service, as in today's deployment.
    ///
    /// ```
    /// assert!(scale_model::CURRENT_SIZE.is_keyed(2));
    /// ```
    pub fn is_keyed(&self, service: usize) -> bool {
        service % 3 == 2
    }

    /// A configuration in JSON with a name for each route and `extra` further routes.
    ///
    /// ```
    /// let configuration = config::Configuration::parse(scale_model::CURRENT_SIZE.configuration(1).as_bytes()).unwrap();
    /// assert_eq!(configuration.routes.len(), 21);
    /// ```
    pub fn configuration(&self, extra: usize) -> String {
        let services = (0..self.services).map(|at| {
            let work = if at % 3 == 0 { "repeatable" } else { "once" };
            format!(
                r#"{{"name": "service-{at}", "work": "{work}", "keyed": {}, "warmUpPerSecond": 5}}"#,
                self.is_keyed(at)
            )
        });
        let routes = (0..self.routes + extra).map(|at| {
            let service = at % self.services.max(1);
            format!(r#"{{"id": "r{at}", "name": "name-{at}", "path": "/", "service": "service-{service}"}}"#)
        });
        let list = |items: Vec<String>| items.join(",\n");
        format!(
            "{{\"services\": [\n{}\n], \"routes\": [\n{}\n]}}\n",
            list(services.collect()),
            list(routes.collect())
        )
    }
}

impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Size {
            nodes,
            control_nodes,
            upstreams,
            services,
            routes,
            regions,
            zones,
        } = self;
        write!(
            f,
            "nodes={nodes} postmasters={control_nodes} upstreams={upstreams} services={services} routes={routes} \
             regions={regions} zones={zones}"
        )
    }
}
