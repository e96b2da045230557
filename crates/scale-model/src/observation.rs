//! Submissions to a modelled deployment from outside, and observations of its state.

use super::event_queue::ScheduledEvent;
use super::fleet::{Core, Fleet};
use super::traffic_stats::TrafficStats;
use control_plane::{ControlRequest, ControlResponse};
use name_directory::View;
use std::time::Duration;

const STALE_AFTER: Duration = Duration::from_secs(2);

/// A data node's view, and the node's own clock to judge its age by.
pub(crate) struct DataNodeView<'a> {
    pub(crate) local_time: Duration,
    pub(crate) view: &'a View,
}

/// The indices of the processes and of the upstreams in a zone.
pub(crate) struct ZoneContents {
    pub(crate) nodes: Vec<usize>,
    pub(crate) upstreams: Vec<usize>,
}

impl Fleet {
    /// An operator submits a configuration with so many further routes, and retries until it is accepted.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let mut fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// fleet.submit(0);
    /// assert_eq!(fleet.in_force(1), 0, "the register is not bootstrapped yet");
    /// ```
    pub fn submit(&mut self, extra: usize) {
        self.accepted = None;
        self.pending += 1;
        let bytes = self.size.configuration(extra).into_bytes();
        self.queue.push(
            self.now,
            ScheduledEvent::Submit {
                bytes,
                requested: self.pending,
            },
        );
    }

    pub(super) fn try_submit(&mut self, bytes: Vec<u8>, requested: u32) {
        if requested != self.pending || self.accepted.is_some() {
            return;
        }
        let Some(at) = self.some_control_node() else {
            return;
        };
        let request_id = self.request_id();
        self.submitted.insert(request_id, requested);
        let ask = ControlRequest::SubmitConfiguration {
            id: format!("setup-{requested}").into(),
            base: None,
            bytes: bytes.clone(),
            in_force: false,
        };
        self.queue.push(
            self.now + Duration::from_secs(3),
            ScheduledEvent::Submit { bytes, requested },
        );
        self.step_control(
            at,
            "submit",
            control_plane::Event::ControlRequest {
                request_id,
                request: ask,
            },
        );
    }

    pub(super) fn answered(&mut self, at: usize, request_id: u64, answer: ControlResponse) {
        if !self.answer_heartbeat(at, request_id, &answer) && !self.answer_call(request_id, &answer)
        {
            let requested = self.submitted.remove(&request_id);
            requested.into_iter().for_each(|requested| {
                self.queue.push(
                    self.now,
                    ScheduledEvent::Result {
                        requested,
                        answer: answer.clone(),
                    },
                );
            });
        }
    }

    pub(super) fn result(&mut self, requested: u32, answer: &ControlResponse) {
        if let ControlResponse::Outcome {
            code: result_code::ResultCode::Success,
            revision,
        } = answer
        {
            self.accepted = Some((*revision, self.now))
                .filter(|_| requested == self.pending)
                .or(self.accepted);
        }
    }

    /// The revision of the last configuration, once it was accepted.
    pub(crate) fn accepted(&self) -> Option<u64> {
        self.accepted.map(|(revision, _)| revision)
    }

    pub(super) fn look_up(&mut self, at: usize, book: &[(String, String)]) {
        if !self.watched.is_empty() {
            let lacks = !book.iter().any(|(node, _)| self.watched.contains(node));
            let now = self.now;
            let node = &mut self.nodes[at];
            node.lacks = Some(node.lacks.unwrap_or(now)).filter(|_| lacks);
        }
    }

    /// From now on it is recorded which nodes have removed all of these from their address books.
    pub(crate) fn watch(&mut self, nodes: &[usize]) {
        self.watched = nodes
            .iter()
            .map(|at| self.nodes[*at].name.clone())
            .collect();
        self.nodes.iter_mut().for_each(|node| node.lacks = None);
    }

    /// When each node that noticed the departure of all watched nodes did so, in ascending order.
    pub(crate) fn departure_noticed_at(&self) -> Vec<Duration> {
        let up = self
            .nodes
            .iter()
            .filter(|node| !matches!(node.core, Core::Down));
        let mut times: Vec<Duration> = up.filter_map(|node| node.lacks).collect();
        times.sort();
        times
    }

    /// Virtual time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// How many processes are up.
    pub(crate) fn up(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| !matches!(node.core, Core::Down))
            .count()
    }

    /// The views of the data nodes that are up.
    pub(crate) fn views(&self) -> impl Iterator<Item = DataNodeView<'_>> {
        self.nodes.iter().filter_map(|node| match &node.core {
            Core::DataNode(data_node, _) => Some(DataNodeView {
                local_time: self.now - node.started_at,
                view: data_node.view(),
            }),
            _ => None,
        })
    }

    /// How many data nodes serve by this revision or a later one.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// assert_eq!(fleet.in_force(0), 0, "no view is fresh yet");
    /// ```
    pub fn in_force(&self, revision: u64) -> usize {
        self.views()
            .filter(|node| {
                node.view.revision >= revision && node.view.is_fresh(node.local_time, STALE_AFTER)
            })
            .count()
    }

    /// How many data nodes could serve every name: a fresh view in which each has an owner that is served.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// assert_eq!(fleet.serving(), 0);
    /// ```
    pub fn serving(&self) -> usize {
        let routes = self.size.routes;
        let serves = |node: &DataNodeView| {
            node.view.is_fresh(node.local_time, STALE_AFTER)
                && node.view.reservations.len() >= routes
        };
        self.views().filter(serves).count()
    }

    /// The counts since the last call.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let mut fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// assert_eq!(fleet.take_stats().all().messages, 0, "nothing was sent yet");
    /// ```
    pub fn take_stats(&mut self) -> TrafficStats {
        std::mem::take(&mut self.stats)
    }

    /// The processes in a zone, and the upstreams there.
    pub(crate) fn in_zone(&self, zone: usize) -> ZoneContents {
        let nodes = (0..self.nodes.len()).filter(|at| self.nodes[*at].zone == zone);
        let upstreams = (0..self.upstreams.len()).filter(|at| self.upstreams[*at].zone == zone);
        ZoneContents {
            nodes: nodes.collect(),
            upstreams: upstreams.collect(),
        }
    }
}
