//! The operators' setup: services, routes and aliases.

use crate::check::{Complaint, Fields, complain};
use crate::sheet::Sheet;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The largest setup that is read at all.
pub const MOST_SETUP_BYTES: usize = 2 * 1024 * 1024;
const MOST_ITEMS: usize = 20_000;
/// How many aliases may lead to one another.
const MOST_LINKS: usize = 8;

/// A kind of work that upstreams do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    /// True where a request may run more than once without harm.
    pub repeatable: bool,
    /// True where keys are divided among the upstreams.
    pub keyed: bool,
    /// First sends a second that one cold upstream may get, over all proxies together.
    pub warm_up_per_second: u64,
    /// The only regions where its work may go; empty means anywhere.
    pub home_regions: Vec<String>,
    /// The largest request body.
    pub most_bytes: u64,
    /// Requests that one proxy serves at a time for this service.
    pub concurrency: u64,
}

/// Ties a name and a path to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub id: String,
    pub name: String,
    pub path: String,
    pub service: String,
}

/// Another name, linked to a route's id (the id-form name) or to another alias.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alias {
    pub alias: String,
    pub to: String,
}

/// A whole, checked setup.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Setup {
    pub services: BTreeMap<String, Arc<Service>>,
    pub routes: BTreeMap<String, Route>,
    pub aliases: BTreeMap<String, Alias>,
    /// Route ids by name, then by path.
    places: BTreeMap<String, BTreeMap<String, String>>,
}

impl Setup {
    /// Reads and checks a setup; a bad one is denied whole, with every complaint at once.
    ///
    /// ```
    /// use tariff::Setup;
    /// let setup = Setup::read(br#"{
    ///   "services": [{"name": "slots", "work": "once", "warmUpPerSecond": 5}],
    ///   "routes": [{"id": "r1", "name": "book", "path": "/book", "service": "slots"}],
    ///   "aliases": [{"alias": "book.example", "to": "r1"}]
    /// }"#).unwrap();
    /// assert_eq!(setup.resolve("book.example"), Some("book"));
    /// let complaints = Setup::read(br#"{"routes": [{"id": "r1", "name": "a", "path": "b", "service": "c"}]}"#)
    ///     .unwrap_err();
    /// assert_eq!(complaints.len(), 2);
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Setup, Vec<Complaint>> {
        let whole = |text: String| vec![Complaint { path: "/".into(), text }];
        if bytes.len() > MOST_SETUP_BYTES {
            return Err(whole(format!("{} bytes; at most {MOST_SETUP_BYTES} are read", bytes.len())));
        }
        let sheet = std::str::from_utf8(bytes)
            .map_err(|_| "this is not UTF-8".to_owned())
            .and_then(Sheet::read)
            .map_err(whole)?;
        let mut complaints = Vec::new();
        let mut fields = Fields::open(&sheet, "", &mut complaints);
        let (services, routes, aliases) = (fields.list("services"), fields.list("routes"), fields.list("aliases"));
        fields.close();
        let most = [services.len(), routes.len(), aliases.len()].into_iter().max().unwrap_or(0);
        if most > MOST_ITEMS {
            complain(&mut complaints, "/", format!("a list of {most}; at most {MOST_ITEMS}"));
            return Err(complaints);
        }
        let mut setup = Setup::default();
        services.iter().enumerate().for_each(|(at, sheet)| setup.add_service(sheet, at, &mut complaints));
        routes.iter().enumerate().for_each(|(at, sheet)| setup.add_route(sheet, at, &mut complaints));
        aliases.iter().enumerate().for_each(|(at, sheet)| setup.add_alias(sheet, at, &mut complaints));
        setup.check_links(routes, aliases, &mut complaints);
        if complaints.is_empty() { Ok(setup) } else { Err(complaints) }
    }

    fn add_service(&mut self, sheet: &Sheet, at: usize, complaints: &mut Vec<Complaint>) {
        let path = format!("/services/{at}");
        let mut fields = Fields::open(sheet, &path, complaints);
        let name = fields.id("name");
        let work = fields.text("work");
        let keyed = fields.truth("keyed", false);
        let warm_up_per_second = fields.count("warmUpPerSecond", 1..=100_000, Some(5));
        let most_bytes = fields.count("mostBytes", 1..=1_048_576, Some(65_536));
        let concurrency = fields.count("concurrency", 1..=10_000, Some(256));
        let regions = fields.list("homeRegions");
        fields.close();
        let home_regions: Vec<String> = regions.iter().filter_map(region).collect();
        if home_regions.len() != regions.len() {
            complain(complaints, &format!("{path}/homeRegions"), "must be a list of region ids");
        }
        let repeatable = work.as_deref().and_then(|work| match work {
            "repeatable" => Some(true),
            "once" => Some(false),
            other => {
                let text = format!("'{other}' is neither 'repeatable' nor 'once'");
                complain(complaints, &format!("{path}/work"), text);
                None
            }
        });
        let service = name.zip(repeatable).zip(warm_up_per_second).zip(most_bytes.zip(concurrency));
        if let Some((((name, repeatable), warm_up_per_second), (most_bytes, concurrency))) = service {
            let known = name.clone();
            let service =
                Service { name, repeatable, keyed, warm_up_per_second, home_regions, most_bytes, concurrency };
            if self.services.insert(known.clone(), Arc::new(service)).is_some() {
                complain(complaints, &format!("{path}/name"), format!("service '{known}' comes twice"));
            }
        }
    }

    fn add_route(&mut self, sheet: &Sheet, at: usize, complaints: &mut Vec<Complaint>) {
        let path = format!("/routes/{at}");
        let mut fields = Fields::open(sheet, &path, complaints);
        let ids = fields.id("id").zip(fields.id("name"));
        let to = fields.text("path").zip(fields.id("service"));
        fields.close();
        ids.zip(to).into_iter().for_each(|((id, name), (route_path, service))| {
            if !is_path(&route_path) {
                let text = format!("'{route_path}' is no path; start it with / and leave out spaces, ? and #");
                complain(complaints, &format!("{path}/path"), text);
            }
            let by_path = self.places.entry(name.clone()).or_default();
            if by_path.insert(route_path.clone(), id.clone()).is_some() {
                complain(complaints, &path, format!("name '{name}' and path '{route_path}' come twice"));
            }
            let route = Route { id: id.clone(), name, path: route_path, service };
            if self.routes.insert(id.clone(), route).is_some() {
                complain(complaints, &format!("{path}/id"), format!("route '{id}' comes twice"));
            }
        });
    }

    fn add_alias(&mut self, sheet: &Sheet, at: usize, complaints: &mut Vec<Complaint>) {
        let path = format!("/aliases/{at}");
        let mut fields = Fields::open(sheet, &path, complaints);
        let link = fields.id("alias").zip(fields.id("to"));
        fields.close();
        link.into_iter().for_each(|(alias, to)| {
            if self.aliases.insert(alias.clone(), Alias { alias: alias.clone(), to }).is_some() {
                complain(complaints, &format!("{path}/alias"), format!("alias '{alias}' comes twice"));
            }
        });
    }

    /// What no single item shows: dangling links, names that clash, loops.
    fn check_links(&self, routes: &[Sheet], aliases: &[Sheet], complaints: &mut Vec<Complaint>) {
        routes.iter().enumerate().for_each(|(at, sheet)| {
            let service = sheet.text("service").unwrap_or_default();
            if address::is_id(service) && !self.services.contains_key(service) {
                complain(complaints, &format!("/routes/{at}/service"), format!("no service '{service}'"));
            }
            let id = sheet.text("id").unwrap_or_default();
            if self.places.contains_key(id) {
                complain(complaints, &format!("/routes/{at}/id"), format!("'{id}' is also a route's name"));
            }
        });
        aliases.iter().enumerate().for_each(|(at, sheet)| {
            let alias = sheet.text("alias").unwrap_or_default();
            if self.places.contains_key(alias) || self.routes.contains_key(alias) {
                let text = format!("'{alias}' is also a route's name or id");
                complain(complaints, &format!("/aliases/{at}/alias"), text);
            } else if self.aliases.contains_key(alias) && self.resolve(alias).is_none() {
                let text = format!("'{alias}' leads to no route (dangling, or a loop)");
                complain(complaints, &format!("/aliases/{at}/to"), text);
            }
        });
    }

    /// The route name behind a name, an id-form name or an alias. Aliases go through the id form.
    ///
    /// ```
    /// assert_eq!(tariff::Setup::default().resolve("x"), None);
    /// ```
    pub fn resolve<'a>(&'a self, asked: &'a str) -> Option<&'a str> {
        let link = |name: &&'a str| self.aliases.get(*name).map(|alias| alias.to.as_str());
        let id = std::iter::successors(Some(asked), link).take(MOST_LINKS + 1).last()?;
        let route = self.routes.get(id).map(|route| route.name.as_str());
        route.or_else(|| self.places.get_key_value(id).map(|(name, _)| name.as_str()))
    }

    /// The route that serves a path under a name.
    ///
    /// ```
    /// assert!(tariff::Setup::default().route("book", "/book").is_none());
    /// ```
    pub fn route(&self, name: &str, path: &str) -> Option<&Route> {
        self.places.get(name).and_then(|by_path| by_path.get(path)).and_then(|id| self.routes.get(id))
    }

    /// The services behind one name, once for each of its routes.
    ///
    /// ```
    /// assert_eq!(tariff::Setup::default().services_of("book").count(), 0);
    /// ```
    pub fn services_of(&self, name: &str) -> impl Iterator<Item = &Arc<Service>> {
        let ids = self.places.get(name).into_iter().flat_map(BTreeMap::values);
        ids.filter_map(|id| self.routes.get(id)).filter_map(|route| self.services.get(&route.service))
    }

    /// The services that a name's routes lead to, with its name, for each name.
    ///
    /// ```
    /// assert!(tariff::Setup::default().names().is_empty());
    /// ```
    pub fn names(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let service = |id: &String| self.routes.get(id).map(|route| route.service.as_str());
        self.places
            .iter()
            .map(|(name, by_path)| (name.as_str(), by_path.values().filter_map(service).collect()))
            .collect()
    }
}

fn region(sheet: &Sheet) -> Option<String> {
    match sheet {
        Sheet::Text(text) if address::is_id(text) => Some(text.clone()),
        _ => None,
    }
}

fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= 256
        && path.bytes().all(|b| b.is_ascii_graphic() && !matches!(b, b'?' | b'#'))
}
