//! How faults come about, and how they heal.

use super::connections::Manners;
use super::faults::{
    DISK_BROKEN_FOR, DISK_EVERY, Fault, MOVE_EVERY, RESTART_EVERY, RESTART_TAKES, REUSE_EVERY,
    STORM_GAP, STORM_SETTLES, SUCCESSOR_EARLIER, SUCCESSOR_LATER, Step,
};
use super::net::Cut;
use super::nodes::{Disk, Node};
use super::operators::What;
use super::world::{LOAD_FROM, World};
use invariants::facts::Fact;
use protocol::SurvivorState;
use std::time::Duration;

/// How long after its zone was taken back a node thaws that an order to evacuate it lies in.
const THAWS_AFTER: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn on_machine(&self, machine: usize) -> Vec<usize> {
        let machine = machine % self.shape.machines;
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].machine == machine)
            .collect()
    }

    fn in_place(&self, part: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].place.locality.starts_with(part))
            .collect()
    }

    fn unit(&self, at: usize) -> usize {
        at % self.units.len()
    }

    fn zone(&self, at: usize) -> String {
        self.shape.locality(at % 6)
    }

    fn region(&self, at: usize) -> String {
        self.shape.regions[at % 3].to_owned()
    }

    /// The postmaster that the others follow for placement.
    fn placement_holder(&self) -> Vec<usize> {
        let holds = |at: &usize| match &self.nodes[*at].core {
            super::nodes::Core::ControlNode(control) => {
                control.holds_placement(self.nodes[*at].local(self.now))
            }
            _ => false,
        };
        (0..self.nodes.len()).filter(holds).collect()
    }

    pub(super) fn break_it(&mut self, at: usize) {
        let fault = self.plan.steps[at].fault.clone();
        self.note(Fact::Fault {
            what: format!("{fault:?}"),
        });
        let fixed = match &fault {
            Fault::KillPlacement | Fault::FreezePlacement | Fault::JumpPlacement(_) => {
                self.placement_holder()
            }
            _ => Vec::new(),
        };
        match fault {
            Fault::KillMachine(machine) | Fault::RotSetups(machine) => {
                self.on_machine(machine)
                    .into_iter()
                    .for_each(|node| self.kill(node));
                if matches!(self.plan.steps[at].fault, Fault::RotSetups(_)) {
                    self.on_machine(machine)
                        .into_iter()
                        .for_each(|node| self.nodes[node].disk.configurations.clear());
                }
            }
            Fault::KillHerd(machines) => {
                let nodes: Vec<usize> = machines
                    .into_iter()
                    .flat_map(|machine| self.on_machine(machine))
                    .collect();
                nodes.into_iter().for_each(|node| self.kill(node));
            }
            Fault::WipeMachine(machine) => self.wipe(machine),
            Fault::Freeze(machine) => self
                .on_machine(machine)
                .into_iter()
                .for_each(|node| self.freeze(node)),
            Fault::SlowDisk(machine) => {
                self.set_disk(machine, |disk| disk.slowed = Duration::from_millis(900))
            }
            Fault::BreakDisk(machine) => self.set_disk(machine, |disk| disk.broken = true),
            Fault::HangDisk(machine) => self.set_disk(machine, |disk| disk.hung = true),
            Fault::TearState(machine) => self.on_machine(machine).into_iter().for_each(|node| {
                self.kill(node);
                self.nodes[node].disk.durable = Default::default();
            }),
            Fault::WipeTwo(machine) => {
                (0..8).for_each(|extra| self.submit_setup(extra, None));
                let (disks, first) = (self.shape.disks, machine % self.shape.disks);
                let both = [first, (first + 1 + machine / disks % (disks - 1)) % disks];
                both.into_iter().for_each(|machine| self.wipe(machine));
            }
            Fault::PowerAt {
                machine,
                write,
                synced,
                wiped,
            } => {
                if wiped {
                    self.wipe(machine);
                    self.on_machine(machine)
                        .into_iter()
                        .for_each(|node| self.start(node));
                }
                self.set_disk(machine, |disk| disk.power_at = Some((write, synced)));
                if self.operators.configurations() > 0 {
                    (0..4).for_each(|extra| self.submit_setup(extra, None));
                }
            }
            Fault::CutMachine(machine) => self.cut(Cut::Machine {
                machine: machine % self.shape.machines,
                hears: false,
                speaks: false,
            }),
            Fault::Mute(machine) => self.cut(Cut::Machine {
                machine: machine % self.shape.machines,
                hears: true,
                speaks: false,
            }),
            Fault::Deaf(machine) => self.cut(Cut::Machine {
                machine: machine % self.shape.machines,
                hears: false,
                speaks: true,
            }),
            Fault::CutZone(zone) => self.cut(Cut::Zone(self.zone(zone))),
            Fault::CutRegion(region) => self.cut(Cut::Region(self.region(region))),
            Fault::DarkZone(zone) => self.darken(&self.zone(zone)),
            Fault::DarkRegion(region) => self.darken(&self.region(region)),
            Fault::Loss(per_mille) => self.net.loss_per_mille = per_mille,
            Fault::RollingRestart => (0..self.shape.machines).for_each(|machine| {
                let from = self.now + RESTART_EVERY * machine as u32;
                self.push_step(from, from + RESTART_TAKES, Fault::StopMachine(machine));
            }),
            Fault::CrashUnits(units) => units
                .into_iter()
                .for_each(|unit| self.crash_unit(self.unit(unit))),
            Fault::Release(units) => units
                .into_iter()
                .for_each(|unit| self.leave(self.unit(unit))),
            Fault::SignOffFirst(units) => {
                units
                    .into_iter()
                    .for_each(|unit| self.sign_off_first(self.unit(unit)));
            }
            Fault::ReuseAddress(unit) => {
                let unit = self.unit(unit);
                self.crash_unit(unit);
                let other = self
                    .shape
                    .services
                    .iter()
                    .position(|work| work.service == self.units[unit].work.service);
                let work = self.shape.services[(other.unwrap_or(0) + 1) % 3];
                self.replace_unit(unit, work, false);
            }
            Fault::Connections(manners) => {
                self.connections.keeping += 1;
                self.turn_manners(manners, |now, wanted| now.max(wanted));
            }
            Fault::ReuseKept(units) => {
                self.connections.keeping += 1;
                units.into_iter().enumerate().for_each(|(number, unit)| {
                    let from = self.now + REUSE_EVERY * (number as u32 + 1);
                    self.push_step(from, from + REUSE_EVERY, Fault::ReuseAddress(unit));
                });
            }
            Fault::ColdHerd(every) => (0..self.units.len())
                .filter(|unit| unit % every == 0)
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|unit| {
                    self.crash_unit(unit);
                    let work = self.units[unit].work;
                    self.replace_unit(unit, work, false);
                }),
            Fault::LoseAnswers(unit) => {
                let unit = self.unit(unit);
                self.units[unit].loses_per_mille = 400;
            }
            Fault::Garble(unit) => {
                let unit = self.unit(unit);
                self.units[unit].garbles_per_mille = 400;
            }
            Fault::BadRelease => self.first_service_garbles(400),
            Fault::PauseUnit(unit) => {
                let (unit, until) = (self.unit(unit), self.plan.steps[at].until);
                self.units[unit].paused_until = until;
            }
            Fault::Evacuate(zone) => self.submit(What::Evacuate {
                locality: self.zone(zone),
                back: false,
            }),
            Fault::EvacuateCut(zone) => {
                self.cut(Cut::Zone(self.zone(zone)));
                self.submit(What::Evacuate {
                    locality: self.zone(zone),
                    back: false,
                });
            }
            Fault::SetupStorm => (0..40).for_each(|extra| self.submit_setup(extra * 10, None)),
            Fault::OperatorRace => (0..6).for_each(|_| {
                let base = Some(self.operators.revision);
                self.submit_setup(1, base);
            }),
            Fault::InterruptFounding(machines) => {
                machines
                    .into_iter()
                    .enumerate()
                    .for_each(|(order, machine)| {
                        self.on_machine(machine).into_iter().for_each(|node| {
                            self.kill(node);
                            if order == 0 {
                                self.nodes[node].disk = Default::default();
                            }
                        });
                    })
            }
            Fault::HotKey => self.hot_key = true,
            Fault::LongStorm(count) => self.storm_on(count),
            Fault::RefuseDisk(machine) => self.set_disk(machine, |disk| disk.refuses = true),
            Fault::DisksFullInTurn(count) => self.break_disks_in_turn(count, Fault::RefuseDisk),
            Fault::DisksStallInTurn(count) => self.break_disks_in_turn(count, Fault::HangDisk),
            Fault::ReplaceVoters {
                places,
                gap,
                planned,
            } => places.iter().enumerate().for_each(|(order, place)| {
                let from = self.now + gap * order as u32;
                let step = Fault::ReplaceOne {
                    place: *place,
                    planned,
                };
                self.push_step(
                    from,
                    from + if planned {
                        SUCCESSOR_EARLIER
                    } else {
                        SUCCESSOR_LATER
                    },
                    step,
                );
            }),
            Fault::ReplaceOne { place, planned } => {
                self.submit_setup(0, None);
                if planned {
                    self.add_machine(place);
                } else {
                    let lost = self.machine_in_place_of(place);
                    lost.into_iter()
                        .for_each(|machine| self.remove_machine(machine));
                }
            }
            Fault::NumberRace(times) => {
                self.race_numbers();
                let next = self.now + Duration::from_millis(150);
                if times > 1 {
                    self.push_step(next, next, Fault::NumberRace(times - 1));
                }
            }
            Fault::RestartPostmasters => {
                self.submit_setup(0, None);
                self.restart_due = true;
            }
            Fault::KillPostmasters => self
                .control_nodes()
                .into_iter()
                .for_each(|node| self.kill(node)),
            Fault::LateAnswers => self.late_answers = true,
            Fault::LoseOrderAnswers(per_mille) => {
                self.operators.delivery.lost_per_mille = per_mille
            }
            Fault::ScrambleOrders => self.operators.delivery.scrambled = true,
            Fault::OrderStorm(count) | Fault::OldOrders(count) => self.start_storm(count),
            Fault::EqualNumbers(times) => {
                self.race_equal_numbers();
                let next = self.now + Duration::from_millis(300);
                if times > 1 {
                    self.push_step(next, next, Fault::EqualNumbers(times - 1));
                }
            }
            Fault::LateEvacuation(zone) => self.evacuate_repeatedly(self.zone(zone)),
            Fault::FrozenEvacuation(zone) => {
                let (machine, thaws_at) = (
                    zone % self.shape.disks,
                    self.plan.steps[at].until + THAWS_AFTER,
                );
                self.push_step(self.now, thaws_at, Fault::Freeze(machine));
                let node = self
                    .on_machine(machine)
                    .into_iter()
                    .find(|node| self.nodes[*node].is_office());
                node.into_iter()
                    .for_each(|node| self.evacuate_through(node, self.zone(zone)));
            }
            Fault::HomesGone => {
                let bound = (0..self.units.len()).filter(|unit| self.units[*unit].work.homes > 0);
                bound
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|unit| self.crash_unit(unit));
            }
            Fault::Ambush { evacuate } => self.ambush = Some(evacuate),
            Fault::Grow(count) => {
                let grown: Vec<usize> = (0..count).map(|at| self.grow_unit(at)).collect();
                grown.into_iter().for_each(|unit| self.grown.push(unit));
            }
            Fault::MoveNames => (0..6).for_each(|zone| {
                let from = self.now + MOVE_EVERY * zone as u32;
                self.push_step(from, from + MOVE_EVERY, Fault::Evacuate(zone));
            }),
            Fault::JumpClock(machine, ahead) => {
                self.on_machine(machine)
                    .into_iter()
                    .for_each(|node| self.nodes[node].jumped += ahead);
            }
            Fault::JumpPlacement(ahead) => fixed
                .into_iter()
                .for_each(|node| self.nodes[node].jumped += ahead),
            Fault::LongCut { machine, how } => {
                self.plan_long_cut(machine, how, self.plan.steps[at].until)
            }
            Fault::CutPeers {
                machine,
                hears,
                speaks,
            } => self.cut_peers(machine, hears, speaks),
            Fault::AskThere(machine) => self.ask_there(machine),
            Fault::StopMachine(machine) => self
                .on_machine(machine)
                .into_iter()
                .for_each(|node| self.stop(node)),
            Fault::KillPlacement => fixed.into_iter().for_each(|node| self.kill(node)),
            Fault::FreezePlacement => fixed.into_iter().for_each(|node| self.freeze(node)),
        }
    }

    pub(super) fn heal(&mut self, at: usize) {
        self.note(Fact::Fault {
            what: format!("healed: {:?}", self.plan.steps[at].fault),
        });
        match self.plan.steps[at].fault.clone() {
            Fault::KillMachine(_)
            | Fault::KillHerd(_)
            | Fault::WipeMachine(_)
            | Fault::RotSetups(_)
            | Fault::DarkZone(_)
            | Fault::DarkRegion(_)
            | Fault::InterruptFounding(_)
            | Fault::StopMachine(_)
            | Fault::TearState(_)
            | Fault::WipeTwo(_)
            | Fault::PowerAt { .. }
            | Fault::KillPostmasters
            | Fault::KillPlacement => {
                self.nodes
                    .iter_mut()
                    .for_each(|node| node.disk.power_at = None);
                self.rescue();
                let down: Vec<usize> = (0..self.nodes.len())
                    .filter(|node| !self.nodes[*node].up)
                    .collect();
                down.into_iter().for_each(|node| self.start(node));
                self.raise_units();
            }
            Fault::BreakDisk(machine) => {
                self.set_disk(machine, |disk| disk.broken = false);
                self.on_machine(machine).into_iter().for_each(|node| {
                    self.kill(node);
                    self.start(node);
                });
            }
            Fault::ReplaceOne {
                place,
                planned: true,
            } => {
                let old = self.machine_in_place_of(place);
                old.into_iter()
                    .for_each(|machine| self.end_for_good(machine));
            }
            Fault::ReplaceOne {
                place,
                planned: false,
            } => self.add_machine(place),
            Fault::Freeze(_) | Fault::FreezePlacement | Fault::Ambush { .. } => {
                (0..self.nodes.len()).for_each(|node| self.thaw(node))
            }
            Fault::SlowDisk(machine) => self.set_disk(machine, |disk| disk.slowed = Duration::ZERO),
            Fault::HangDisk(machine) => self.set_disk(machine, |disk| disk.hung = false),
            Fault::RefuseDisk(machine) => self.set_disk(machine, |disk| disk.refuses = false),
            Fault::CutMachine(_)
            | Fault::Mute(_)
            | Fault::Deaf(_)
            | Fault::CutZone(_)
            | Fault::CutRegion(_) => self.net.cuts.clear(),
            Fault::Loss(_) => self.net.loss_per_mille = 0,
            Fault::HotKey => self.hot_key = false,
            Fault::LateAnswers => self.late_answers = false,
            Fault::LoseOrderAnswers(_) => self.operators.delivery.lost_per_mille = 0,
            Fault::ScrambleOrders => self.operators.delivery.scrambled = false,
            Fault::OrderStorm(_) => self.end_storm(),
            Fault::OldOrders(_) => {
                self.end_storm();
                self.resend_oldest();
            }
            Fault::LateEvacuation(zone) | Fault::FrozenEvacuation(zone) => {
                self.take_back(self.zone(zone))
            }
            Fault::CrashUnits(_) | Fault::HomesGone => self.raise_units(),
            Fault::Release(units) | Fault::SignOffFirst(units) => {
                units.into_iter().for_each(|unit| {
                    let unit = self.unit(unit);
                    if self.units[unit].condition == upstream_registry::DRAINING {
                        self.crash_unit(unit);
                        let work = self.units[unit].work;
                        self.replace_unit(unit, work, true);
                    }
                })
            }
            Fault::ColdHerd(_) | Fault::ReuseAddress(_) => {
                self.units.iter_mut().for_each(|unit| unit.warm = true);
            }
            Fault::LoseAnswers(unit) | Fault::Garble(unit) => {
                let unit = self.unit(unit);
                self.units[unit].loses_per_mille = 0;
                self.units[unit].garbles_per_mille = 0;
            }
            Fault::Grow(_) => std::mem::take(&mut self.grown)
                .into_iter()
                .for_each(|unit| self.leave(unit)),
            Fault::BadRelease => self.first_service_garbles(0),
            Fault::Evacuate(zone) => self.take_back(self.zone(zone)),
            Fault::EvacuateCut(zone) => {
                self.net.cuts.clear();
                self.take_back(self.zone(zone));
            }
            Fault::PauseUnit(unit) => {
                let step = &self.plan.steps[at];
                let span = step.until - step.at;
                if self.weak.stands_still {
                    self.hold_on(self.unit(unit), span);
                }
            }
            Fault::CutPeers { machine, .. } => self.join_peers(machine),
            Fault::AskThere(_) => self.replace_leavers(),
            Fault::Connections(manners) => {
                self.connections.keeping -= 1;
                self.turn_manners(manners, |now, wanted| if wanted > 0 { 0 } else { now });
            }
            Fault::ReuseKept(_) => self.connections.keeping -= 1,
            Fault::RollingRestart
            | Fault::LongCut { .. }
            | Fault::MoveNames
            | Fault::NumberRace(_)
            | Fault::EqualNumbers(_)
            | Fault::RestartPostmasters
            | Fault::SetupStorm
            | Fault::LongStorm(_)
            | Fault::DisksFullInTurn(_)
            | Fault::DisksStallInTurn(_)
            | Fault::ReplaceVoters { .. }
            | Fault::OperatorRace
            | Fault::JumpClock(..)
            | Fault::JumpPlacement(_) => {}
        }
    }

    /// What the operators' page says to do when too many disks are lost for the others to mend them: the survivors'
    /// survivors are settled, and every disk inherits.
    fn rescue(&mut self) {
        let control_nodes = self.control_nodes();
        let (survivors, lost): (Vec<usize>, Vec<usize>) = control_nodes
            .iter()
            .partition(|at| self.nodes[**at].disk.durable.disk != 0);
        // A founding that was interrupted is no loss.
        if lost
            .iter()
            .any(|at| !self.nodes[*at].disk.durable.bootstrap_vote.is_empty())
        {
            return;
        }
        let survivor = |at: &usize| {
            let Node { name, disk, .. } = &self.nodes[*at];
            let configuration = disk
                .configurations
                .get(&disk.durable.accepted.digest)
                .cloned()
                .unwrap_or_default();
            SurvivorState {
                node: name.clone(),
                durable: disk.durable.clone(),
                configuration,
            }
        };
        let survivors: Vec<SurvivorState> = survivors.iter().map(survivor).collect();
        let lost: Vec<String> = lost.iter().map(|at| self.nodes[*at].name.clone()).collect();
        quorum_register::recover_from_survivors(&survivors, &lost)
            .into_iter()
            .for_each(|inheritance| {
                self.note(Fact::Rescued);
                self.note(Fact::Fault {
                    what: format!("rescued from {} voters", survivors.len()),
                });
                let SurvivorState {
                    durable,
                    configuration,
                    ..
                } = inheritance;
                control_nodes.iter().for_each(|at| {
                    self.kill(*at);
                    let configurations = [(durable.accepted.digest.clone(), configuration.clone())]
                        .into_iter()
                        .collect();
                    self.nodes[*at].disk = Disk {
                        durable: durable.clone(),
                        configurations,
                        ..Disk::default()
                    };
                });
            });
    }

    fn turn_manners(&mut self, wanted: Manners, turn: fn(u64, u64) -> u64) {
        let now = &mut self.connections.manners;
        now.surplus_per_mille = turn(now.surplus_per_mille, wanted.surplus_per_mille);
        now.resets_per_mille = turn(now.resets_per_mille, wanted.resets_per_mille);
        now.hangs_per_mille = turn(now.hangs_per_mille, wanted.hangs_per_mille);
    }

    /// An upstream tells that it leaves.
    fn leave(&mut self, unit: usize) {
        self.units[unit].condition = if self.weak.leaves_quietly {
            upstream_registry::READY
        } else {
            upstream_registry::DRAINING
        };
        let instance = self.units[unit].instance.clone();
        self.note(Fact::Leaving { instance });
        self.beat_once(unit);
    }

    /// Power and disk of a machine are lost.
    fn wipe(&mut self, machine: usize) {
        self.on_machine(machine).into_iter().for_each(|node| {
            self.kill(node);
            self.nodes[node].disk = Default::default();
        });
    }

    /// A further step, found out while a fault comes about.
    pub(super) fn push_step(&mut self, at: Duration, until: Duration, fault: Fault) {
        self.plan.steps.push(Step { at, until, fault });
        let step = self.plan.steps.len() - 1;
        self.at(at, super::world::Action::Fault { at: step });
        self.at(until, super::world::Action::Heal { at: step });
    }

    /// A machine is told to end and never comes back.
    fn end_for_good(&mut self, machine: usize) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].machine == machine)
            .collect();
        nodes.into_iter().for_each(|at| {
            self.note_loss(at);
            self.nodes[at].removed = true;
            self.stop(at);
        });
    }

    /// One more setup of a storm; after the last, all control nodes are killed.
    fn storm_on(&mut self, left: u32) {
        let (next, slow_disk) = (self.now + STORM_GAP, Duration::from_millis(40));
        self.set_disk(0, |disk| disk.slowed = slow_disk);
        if left == 0 {
            self.set_disk(0, |disk| disk.slowed = Duration::ZERO);
            let killed_at = self.now + STORM_SETTLES;
            return self.push_step(
                killed_at,
                killed_at + Duration::from_millis(300),
                Fault::KillPostmasters,
            );
        }
        self.submit_setup(0, None);
        self.push_step(next, next, Fault::LongStorm(left - 1));
    }

    fn first_service_garbles(&mut self, per_mille: u64) {
        let service = self.shape.services[0].service;
        let bad = self
            .units
            .iter_mut()
            .filter(|unit| unit.work.service == service);
        bad.for_each(|unit| unit.garbles_per_mille = per_mille);
    }

    /// A proxy has just chosen this upstream and begun to connect: the moment an ambush waits for.
    pub(super) fn spring_ambush(&mut self, proxy: usize, instance: &str) {
        let unit = self
            .units
            .iter()
            .position(|unit| unit.instance == instance && unit.up);
        let sprung = unit
            .filter(|_| self.now >= LOAD_FROM)
            .and_then(|unit| self.ambush.take().map(|how| (unit, how)));
        sprung.into_iter().for_each(|(unit, evacuate)| {
            let machine = self.nodes[proxy].machine;
            self.on_machine(machine)
                .into_iter()
                .for_each(|node| self.freeze(node));
            if evacuate {
                let locality = self.units[unit].place.locality.clone();
                self.submit(What::Evacuate {
                    locality: locality.clone(),
                    back: false,
                });
            } else {
                self.leave(unit);
            }
        });
    }

    /// A postmaster has just accepted something, and told no carrier: the moment that a restart waits for.
    pub(super) fn spring_restart(&mut self) {
        if std::mem::take(&mut self.restart_due) {
            self.push_step(
                self.now,
                self.now + Duration::from_millis(300),
                Fault::KillPostmasters,
            );
        }
    }

    /// One disk after the other breaks and heals, two at once at most, while setups come; then all control nodes restart.
    fn break_disks_in_turn(&mut self, configurations: u32, fault: fn(usize) -> Fault) {
        (0..self.shape.disks).for_each(|machine| {
            let from = self.now + DISK_EVERY * machine as u32;
            self.push_step(from, from + DISK_BROKEN_FOR, fault(machine));
        });
        self.storm_on(configurations);
    }

    fn set_disk(&mut self, machine: usize, change: impl Fn(&mut super::nodes::Disk)) {
        self.on_machine(machine)
            .into_iter()
            .for_each(|node| change(&mut self.nodes[node].disk));
    }

    pub(super) fn cut(&mut self, cut: Cut) {
        self.net.cuts.push(cut);
    }

    fn darken(&mut self, part: &str) {
        self.in_place(part)
            .into_iter()
            .for_each(|node| self.kill(node));
        let units =
            (0..self.units.len()).filter(|unit| self.units[*unit].place.locality.starts_with(part));
        units
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|unit| self.crash_unit(unit));
    }

    /// Whatever upstream is down comes back as a new, warm instance.
    fn raise_units(&mut self) {
        (0..self.units.len()).for_each(|unit| {
            if !self.units[unit].up {
                let work = self.units[unit].work;
                self.replace_unit(unit, work, true);
            }
        });
    }
}
