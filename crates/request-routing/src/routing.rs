//! The first decision on a request: deny it, forward it to the locality that owns its name, or serve it here.

use crate::board::Board;
use crate::choosing::region;
use crate::journey::Journey;
use crate::notes::Note;
use crate::steps::{Move, Stage};
use config::{Route, Service};
use name_directory::{Owners, View, is_home, is_within};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a try id is remembered beyond its deadline.
const TRY_LIFE: Duration = Duration::from_secs(10);

impl Journey {
    /// The first decision: deny, forward by a mark, or call.
    ///
    /// ```
    /// # use request_routing::{Journey, Move, Order, Site};
    /// # use std::time::Duration;
    /// # let site = Site::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use result_code::ResultCode;
    /// let mut journey = Journey::new(Order::default(), site);
    /// let first = journey.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(first, Move::Answer { code: ResultCode::Stale, .. }), "a view that was never confirmed");
    /// ```
    pub fn start(&mut self, now: Duration, view: &View, board: &Board) -> Move {
        if !self.site.may_use(view, now) {
            return self.answer(now, ResultCode::Stale);
        }
        let name = view.setup.resolve(&self.order.name);
        let route = name.and_then(|name| view.setup.route(name, &self.order.path));
        let service = |route: &Arc<Route>| view.setup.services.get(route.pick(&self.order.try_id));
        let found = route.and_then(|route| service(route).map(|service| (route, service)));
        let Some((route, service)) = found else {
            return self.answer(now, ResultCode::NoSuchName);
        };
        self.edition = view.edition;
        self.notes.push(Note::Asked {
            name: self.order.name.clone(),
            route: route.clone(),
            edition: view.edition,
        });
        self.route = Some(route.clone());
        if self.order.body_bytes > service.most_bytes {
            return self.answer(now, ResultCode::TooLarge);
        }
        if service.keyed && self.order.key.is_none() {
            return self.answer(now, ResultCode::MissingKey);
        }
        match self.site.owners {
            Owners::ByCaller => self.serve(now, view, board, service),
            Owners::One => self.serve_or_forward(now, view, board, route, service),
        }
    }

    /// Where one locality owns the name for everybody: served there, and forwarded from where it was left.
    fn serve_or_forward(
        &mut self,
        now: Duration,
        view: &View,
        board: &Board,
        route: &Route,
        service: &Arc<Service>,
    ) -> Move {
        let here = self.site.here.clone();
        let reservation = view.reservations.get(&route.name);
        let Some(reservation) =
            reservation.filter(|owned| !view.evacuated.contains(&owned.locality))
        else {
            return self.answer(now, ResultCode::NoOwner);
        };
        self.notes.push(Note::Owner {
            locality: reservation.locality.clone(),
            epoch: reservation.epoch,
        });
        let home = self.is_home(service, &here) && !view.evacuated.contains(&here);
        let mark = view.marks.get(&(route.name.clone(), here.clone()));
        self.notes.extend(mark.map(|mark| Note::Mark {
            to: mark.to.clone(),
            epoch: mark.epoch,
        }));
        let away = reservation.locality != here && (mark.is_some() || !home);
        if away {
            return self.forward(now, view, service, &reservation.locality);
        }
        self.serve(now, view, board, service)
    }

    /// True where its work may go there: both its service's and its route's home regions bind.
    pub(crate) fn is_home(&self, service: &Service, place: &str) -> bool {
        let route = self
            .route
            .as_ref()
            .is_none_or(|route| is_within(&route.terms.home_regions, place));
        route && is_home(service, place)
    }

    /// Served by this proxy.
    fn serve(&mut self, now: Duration, view: &View, board: &Board, service: &Arc<Service>) -> Move {
        let desk = board.desk(&service.name);
        if desk.serving.fetch_add(1, Ordering::AcqRel) >= service.concurrency {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
            return self.answer(now, ResultCode::Busy);
        }
        self.leave_desk();
        self.desk = Some(desk);
        self.service = Some(service.clone());
        if !self.opened && !board.open_try(&self.order.try_id, now, self.left(now) + TRY_LIFE) {
            return self.answer(now, ResultCode::Duplicate);
        }
        if !self.opened && service.numbered {
            let key = self.order.key.as_deref().and_then(|key| service.place(key));
            key.zip(self.desk.as_ref())
                .into_iter()
                .for_each(|(key, desk)| desk.count_key(key));
        }
        self.opened = true;
        self.choose(now, view, board)
    }

    /// This locality does not own the name any more, or may not carry it: one hop to one that does.
    fn forward(&mut self, now: Duration, view: &View, service: &Service, owner: &str) -> Move {
        // A denial by the next proxy would be passed on, and may not be once this one has sent it somewhere.
        if self.order.forwarded || self.doubt.is_some() {
            return self.answer(now, ResultCode::NotMine);
        }
        let able = |place: &str| self.is_home(service, place) && !view.evacuated.contains(place);
        let places = view.proxies.iter().map(|proxy| {
            (
                proxy.locality.to_string(),
                proxy.address.clone(),
                proxy.suspect,
            )
        });
        let region = region(owner);
        let mut able: Vec<(bool, u8, u64, String)> = places
            .filter(|(place, ..)| able(place))
            .map(|(place, address, suspect)| {
                let near = if place == owner {
                    0
                } else {
                    1 + u8::from(self::region(&place) != region)
                };
                (
                    suspect,
                    near,
                    random::stable_hash_parts([self.order.try_id.as_str(), address.as_str()]),
                    address,
                )
            })
            .collect();
        able.sort();
        let within = self.left(now);
        let proxies: Vec<String> = able
            .into_iter()
            .take(2)
            .map(|(.., address)| address)
            .collect();
        if proxies.is_empty() {
            return self.answer(now, ResultCode::NoOwner);
        }
        if within.is_zero() {
            return self.answer(now, ResultCode::Expired);
        }
        self.notes.push(Note::Forwarded {
            to: owner.to_owned(),
        });
        self.turn(Stage::Sent {
            instance: owner.to_owned(),
        });
        Move::Forward { proxies, within }
    }
}
