//! Starts, signals and watches the processes of a site: whatever ends is started again, and whatever ends by itself is
//! a finding.

use super::judgement::{Finding, Interruption, ResourceSample, overdue_shutdown};
use super::resources::resources_of;
use super::schedule::{ProcessId, Signal, Step};
use crate::fleet::{Fleet, Process};
use random::Random;
use std::collections::BTreeMap;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;
use transport::Clock;

/// A process that finds its port in use for a moment ends this soon after its start, and is started again.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// A frozen process is thawed within this after its time.
const THAW_DELAY: Duration = Duration::from_secs(1);
const MAX_START_RETRIES: u32 = 20;
const LOG_LINES: usize = 8;
const SIGNAL_KILL: i32 = 9;

/// What the soak did to a process, until it is over.
#[derive(Clone, Copy, Debug, Default)]
struct Treatment {
    /// When it was started last.
    started_at: Duration,
    start_retries: u32,
    /// When it was told to shut down.
    told_at: Option<Duration>,
    was_killed: bool,
    frozen_until: Option<Duration>,
    start_again_at: Option<Duration>,
}

/// All processes of the site under the soak.
pub(super) struct Processes {
    pub(super) fleet: Fleet,
    clock: Clock,
    treatments: BTreeMap<ProcessId, Treatment>,
    pub(super) interruptions: Vec<Interruption>,
    random: Random,
    pub(super) findings: Vec<Finding>,
    pub(super) samples: Vec<ResourceSample>,
    /// How many processes ended by the soak's signals.
    pub(super) ends: u64,
}

impl Processes {
    pub(super) fn new(fleet: Fleet, clock: Clock, seed: u64) -> Self {
        let control = (0..fleet.control_nodes.len()).map(ProcessId::Control);
        let data = (0..fleet.data_nodes.len()).map(ProcessId::Data);
        let treatments = control
            .chain(data)
            .map(|id| (id, Treatment::default()))
            .collect();
        Processes {
            fleet,
            clock,
            treatments,
            interruptions: Vec::new(),
            random: Random::new(seed),
            findings: Vec::new(),
            samples: Vec::new(),
            ends: 0,
        }
    }

    /// Starts all at once.
    pub(super) fn start_all(&mut self, now: Duration) -> std::io::Result<()> {
        for id in self.ids() {
            self.process(id).spawn()?;
            self.treatment(id).started_at = now;
        }
        Ok(())
    }

    fn ids(&self) -> Vec<ProcessId> {
        self.treatments.keys().copied().collect()
    }

    fn process(&mut self, id: ProcessId) -> &mut Process {
        match id {
            ProcessId::Control(at) => &mut self.fleet.control_nodes[at],
            ProcessId::Data(at) => &mut self.fleet.data_nodes[at],
        }
    }

    fn treatment(&mut self, id: ProcessId) -> &mut Treatment {
        self.treatments.entry(id).or_default()
    }

    /// Carries out those steps that concern processes.
    pub(super) fn carry_out(&mut self, now: Duration, step: &Step) {
        match step {
            Step::Signal(id, signal) => self.signal(now, *id, *signal),
            Step::SignalMany(ids, signal) => self.signal_many(now, ids, *signal),
            Step::Freeze(id, pause) => self.freeze(now, *id, *pause),
            Step::Wipe(at) => {
                self.signal(now, ProcessId::Control(*at), Signal::Kill);
                self.fleet.control_nodes[*at].wipe();
            }
            Step::Upstreams(..) | Step::Evacuate(..) | Step::Cut(..) => {}
        }
    }

    /// At the same moment: what is killed is waited for only once all are told.
    fn signal_many(&mut self, now: Duration, ids: &[ProcessId], signal: Signal) {
        let told_at = self.clock.now();
        if signal == Signal::Kill {
            for id in ids {
                self.process(*id).begin_kill();
            }
        }
        for id in ids {
            self.signal(now.min(told_at), *id, signal);
        }
    }

    fn signal(&mut self, now: Duration, id: ProcessId, signal: Signal) {
        let address = self.process(id).http.clone();
        if self.process(id).id().is_none() {
            return;
        }
        match signal {
            Signal::Hangup => self.process(id).signal(signal.name()),
            Signal::Term => {
                self.treatment(id).told_at.get_or_insert(now);
                self.process(id).signal(signal.name());
            }
            Signal::Kill => {
                // Reaps it too: its end is not looked for any more.
                self.process(id).kill();
                self.interruptions.push(Interruption {
                    address,
                    from: now,
                    until: self.clock.now(),
                });
                self.ends += 1;
                self.start_again_later(now, id);
            }
        }
    }

    fn freeze(&mut self, now: Duration, id: ProcessId, pause: Duration) {
        let address = self.process(id).http.clone();
        self.interruptions.push(Interruption {
            address,
            from: now,
            until: now + pause + THAW_DELAY,
        });
        let until = self.treatment(id).frozen_until.unwrap_or_default();
        self.treatment(id).frozen_until = Some(until.max(now + pause));
        self.process(id).signal("STOP");
    }

    fn start_again_later(&mut self, now: Duration, id: ProcessId) {
        let wait = Duration::from_millis(50 + self.random.below(900));
        *self.treatment(id) = Treatment {
            start_again_at: Some(now + wait),
            ..Treatment::default()
        };
    }

    /// Looks at every process: thaws, notices ends, starts again.
    pub(super) fn watch(&mut self, now: Duration) {
        for id in self.ids() {
            let treatment = *self.treatment(id);
            if treatment.frozen_until.is_some_and(|until| now >= until) {
                self.treatment(id).frozen_until = None;
                self.process(id).signal("CONT");
            }
            if treatment.start_again_at.is_some_and(|at| now >= at) {
                self.start(now, id);
                continue;
            }
            if let Some(status) = self.process(id).take_end() {
                self.handle_end(now, id, status);
                continue;
            }
            self.check_shutdown(now, id);
        }
    }

    fn start(&mut self, now: Duration, id: ProcessId) {
        let start_retries = self.treatment(id).start_retries;
        *self.treatment(id) = Treatment {
            started_at: now,
            start_retries,
            ..Treatment::default()
        };
        if let Err(error) = self.process(id).spawn() {
            let node = self.process(id).node.clone();
            self.findings.push(Finding::EndedByItself {
                node,
                status: error.to_string(),
                log: Vec::new(),
            });
        }
    }

    /// A process has ended: as it was told to, or by itself.
    fn handle_end(&mut self, now: Duration, id: ProcessId, status: ExitStatus) {
        let treatment = *self.treatment(id);
        let found_port_in_use = status.code() == Some(transport::exit::START_FAILED)
            && now < treatment.started_at + START_TIMEOUT
            && treatment.start_retries < MAX_START_RETRIES;
        if found_port_in_use {
            self.start_again_later(now, id);
            self.treatment(id).start_retries = treatment.start_retries + 1;
            return;
        }
        let was_told = treatment.told_at.is_some() || treatment.was_killed;
        let ended_well = status.success()
            || status.signal() == Some(SIGNAL_KILL) && treatment.was_killed
            // Told in its first moments, before it listens to signals.
            || status.signal() == Some(15) && now < treatment.started_at + START_TIMEOUT;
        self.ends += 1;
        if !(was_told && ended_well) {
            let process = self.process(id);
            let (node, log) = (process.node.clone(), process.log_tail(LOG_LINES));
            self.findings.push(Finding::EndedByItself {
                node,
                status: status.to_string(),
                log,
            });
        }
        self.start_again_later(now, id);
    }

    /// A process that was told to shut down and is not frozen has ended in time.
    fn check_shutdown(&mut self, now: Duration, id: ProcessId) {
        let treatment = *self.treatment(id);
        let Some(told_at) = treatment.told_at else {
            return;
        };
        if treatment.frozen_until.is_some() {
            // The time that it stands still is not counted.
            self.treatment(id).told_at = Some(now);
            return;
        }
        if treatment.was_killed {
            return;
        }
        let (node, address) = {
            let process = self.process(id);
            (process.node.clone(), process.http.clone())
        };
        let Some(finding) = overdue_shutdown(&node, told_at, now) else {
            return;
        };
        self.findings.push(finding);
        self.interruptions.push(Interruption {
            address,
            from: now,
            until: now + START_TIMEOUT,
        });
        self.process(id).signal(Signal::Kill.name());
        self.treatment(id).was_killed = true;
    }

    /// Ends all trouble: thaws what is frozen.
    pub(super) fn end_trouble(&mut self) {
        for id in self.ids() {
            if self.treatment(id).frozen_until.is_some() {
                self.treatment(id).frozen_until = Some(Duration::ZERO);
            }
        }
    }

    /// True once everything runs, and nothing is about to end.
    pub(super) fn all_run(&mut self) -> bool {
        self.ids().into_iter().all(|id| {
            let treatment = *self.treatment(id);
            let is_left_alone = treatment.told_at.is_none()
                && treatment.frozen_until.is_none()
                && treatment.start_again_at.is_none();
            is_left_alone && self.process(id).id().is_some()
        })
    }

    /// Kills everything at the same moment.
    pub(super) fn kill_all(&mut self, now: Duration) {
        let all = self.ids();
        self.signal_many(now, &all, Signal::Kill);
    }

    /// Looks at what each process holds.
    pub(super) fn sample(&mut self, changes: u64) {
        for id in self.ids() {
            let process = self.process(id);
            let Some(process_id) = process.id() else {
                continue;
            };
            let node = process.node.clone();
            if let Some(resources) = resources_of(process_id, process.data.as_deref()) {
                self.samples.push(ResourceSample {
                    node,
                    process: process_id,
                    changes,
                    resources,
                });
            }
        }
    }
}
