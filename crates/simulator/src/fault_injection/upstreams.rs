//! Faults of upstreams, and of the load on them.

use super::category::Category;
use crate::faults::Fault;
use crate::world::World;
use std::time::Duration;

/// How many of a thousand responses a faulty upstream loses or garbles.
const FAULTY_PER_MILLE: u64 = 400;

impl World {
    pub(super) fn inject_upstream_fault(&mut self, fault: Fault, until: Duration) {
        match fault {
            Fault::CrashUpstreams(upstreams) => {
                for upstream in upstreams {
                    self.crash_upstream(self.upstream_index(upstream));
                }
            }
            Fault::RestartUpstreams(upstreams) => {
                for upstream in upstreams {
                    self.drain_upstream(self.upstream_index(upstream));
                }
            }
            Fault::DeregisterBeforeDraining(upstreams) => {
                for upstream in upstreams {
                    self.deregister_before_draining(self.upstream_index(upstream));
                }
            }
            Fault::ReuseAddress(upstream) => self.reuse_address(self.upstream_index(upstream)),
            Fault::RestartCold(every) => self.restart_cold(every),
            Fault::LoseResponses(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].loses_per_mille = FAULTY_PER_MILLE;
            }
            Fault::GarbleResponses(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].garbles_per_mille = FAULTY_PER_MILLE;
            }
            Fault::BadRelease => self.set_first_service_garbling(FAULTY_PER_MILLE),
            Fault::PauseUpstream(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].paused_until = until;
            }
            Fault::HotKey => self.hot_key = true,
            Fault::CrashHomeUpstreams => self.crash_home_upstreams(),
            Fault::AddUpstreams(count) => {
                for number in 0..count {
                    let upstream = self.add_upstream(number);
                    self.added_upstreams.push(upstream);
                }
            }
            Fault::DelayGrants => self.delays_grants = true,
            other => Category::Upstream.cannot_handle(&other),
        }
    }

    /// `lasted` is how long the fault was in force.
    pub(super) fn heal_upstream_fault(&mut self, fault: Fault, lasted: Duration) {
        match fault {
            Fault::CrashUpstreams(_) | Fault::CrashHomeUpstreams => {
                self.restart_crashed_upstreams();
            }
            Fault::RestartUpstreams(upstreams) | Fault::DeregisterBeforeDraining(upstreams) => {
                for upstream in upstreams {
                    self.replace_if_draining(self.upstream_index(upstream));
                }
            }
            Fault::RestartCold(_) | Fault::ReuseAddress(_) => {
                for upstream in &mut self.upstreams {
                    upstream.warm = true;
                }
            }
            Fault::LoseResponses(upstream) | Fault::GarbleResponses(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].loses_per_mille = 0;
                self.upstreams[upstream].garbles_per_mille = 0;
            }
            Fault::BadRelease => self.set_first_service_garbling(0),
            Fault::PauseUpstream(upstream) if self.defects.clock_stops_while_suspended => {
                self.extend_leases(self.upstream_index(upstream), lasted);
            }
            Fault::HotKey => self.hot_key = false,
            Fault::AddUpstreams(_) => {
                for upstream in std::mem::take(&mut self.added_upstreams) {
                    self.drain_upstream(upstream);
                }
            }
            Fault::DelayGrants => self.delays_grants = false,
            Fault::PauseUpstream(_) => {}
            other => Category::Upstream.cannot_handle(&other),
        }
    }

    /// An upstream announces that it drains.
    pub(super) fn drain_upstream(&mut self, upstream: usize) {
        self.upstreams[upstream].state = if self.defects.drains_unannounced {
            protocol::UpstreamState::Ready
        } else {
            protocol::UpstreamState::Draining
        };
        let instance = self.upstreams[upstream].instance.clone();
        self.note(invariants::observations::Observation::UpstreamDraining { instance });
        self.send_heartbeat(upstream);
    }

    /// Starts a new, warm instance in the place of each upstream that is down.
    pub(super) fn restart_crashed_upstreams(&mut self) {
        for upstream in 0..self.upstreams.len() {
            if !self.upstreams[upstream].up {
                let profile = self.upstreams[upstream].profile;
                self.replace_upstream(upstream, profile, true);
            }
        }
    }

    fn replace_if_draining(&mut self, upstream: usize) {
        if self.upstreams[upstream].state == protocol::UpstreamState::Draining {
            self.crash_upstream(upstream);
            let profile = self.upstreams[upstream].profile;
            self.replace_upstream(upstream, profile, true);
        }
    }

    /// An upstream vanishes, and one of the next service takes its address.
    fn reuse_address(&mut self, upstream: usize) {
        self.crash_upstream(upstream);
        let services = self.shape.services;
        let service = self.upstreams[upstream].profile.service;
        let known = services
            .iter()
            .position(|profile| profile.service == service);
        let next = services[(known.unwrap_or(0) + 1) % services.len()];
        self.replace_upstream(upstream, next, false);
    }

    /// Every so-many-th upstream restarts cold.
    fn restart_cold(&mut self, every: usize) {
        for upstream in (0..self.upstreams.len()).step_by(every) {
            self.crash_upstream(upstream);
            let profile = self.upstreams[upstream].profile;
            self.replace_upstream(upstream, profile, false);
        }
    }

    fn crash_home_upstreams(&mut self) {
        for upstream in 0..self.upstreams.len() {
            if !self.upstreams[upstream].profile.homes.is_empty() {
                self.crash_upstream(upstream);
            }
        }
    }

    fn set_first_service_garbling(&mut self, per_mille: u64) {
        let service = self.shape.services[0].service;
        for upstream in &mut self.upstreams {
            if upstream.profile.service == service {
                upstream.garbles_per_mille = per_mille;
            }
        }
    }
}
