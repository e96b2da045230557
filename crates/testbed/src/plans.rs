//! Faults in a run of real processes, and their end.

use crate::fleet::{Fleet, Process};
use crate::link_proxies::{LinkProxies, Partition};
use crate::runs::submit;
use crate::stand_in_upstreams::{ANY_PORT, StandInUpstream, UpstreamFault};
use bytes::Bytes;
use config::JsonValue;
use invariants::observations::{Observation, ObservationLog};
use simulator::shapes::Shape;
use std::sync::Arc;
use std::time::Duration;
use transport::{Clock, HttpClient};

const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// What to break, with a sentence for --help.
pub const PLANS: &[(&str, &str)] = &[
    ("quiet", "nothing"),
    (
        "wipe",
        "kill one disk machine, wipe its disk, start it again",
    ),
    ("kill", "kill three machines at once, start them again"),
    (
        "dark-zone",
        "a zone's machines and upstreams lose power, and come back",
    ),
    (
        "dark-region",
        "a region's machines and upstreams lose power, and come back",
    ),
    (
        "freeze",
        "stop two machines' processes for a quarter of the run, let them go on",
    ),
    (
        "rolling",
        "end every machine politely in turn and start it again",
    ),
    ("evacuate", "evacuate a zone, take it back"),
    (
        "release",
        "replace a third of the upstreams, each with notice",
    ),
    ("cold", "replace half the upstreams at once by cold ones"),
    (
        "crash",
        "crash a third of the upstreams without a word, bring new ones",
    ),
    ("cut-zone", "cut a zone's links for a quarter of the run"),
    (
        "cut-region",
        "cut a region's links for a quarter of the run",
    ),
    (
        "cut-machine",
        "cut one disk machine's links for a quarter of the run",
    ),
    ("evacuate-cut", "evacuate a zone whose links are cut"),
    ("storm", "submit 30 setups at once through many nodes"),
    (
        "race",
        "operators submit setups made from one edition, at the same moment, eight times",
    ),
    (
        "garble",
        "a third of the upstreams lose, cut, swap or garble 300 of 1000 verdicts",
    ),
    (
        "reuse",
        "upstreams vanish, and others of another service take their addresses",
    ),
    (
        "pause",
        "three upstreams stand still for a quarter of the run, then go on",
    ),
    (
        "deaf-units",
        "requests of one zone's proxies never come through to the upstreams of two",
    ),
    (
        "mute-units",
        "verdicts for one zone's proxies are lost by the upstreams of two",
    ),
    ("herd", "kill all postmasters at once, start them again"),
    ("split", "cut the three regions from one another"),
    (
        "holder",
        "kill the placement holder, four times, each started again",
    ),
    (
        "rescue",
        "kill all postmasters, lose three disks for good, and do what the operators' page says",
    ),
    (
        "founding",
        "kill postmasters and wipe a disk while the site founds itself",
    ),
];

/// What a plan acts on.
pub struct FaultInjection<'a> {
    /// The links that can be partitioned.
    pub link_proxies: Arc<LinkProxies>,
    /// The daemons.
    pub fleet: &'a mut Fleet,
    /// The stand-in upstreams.
    pub upstreams: &'a mut Vec<Arc<StandInUpstream>>,
    /// The site.
    pub shape: &'a Shape,
    /// Where faults and their ends are noted.
    pub record: &'a ObservationLog,
    /// The run's clock.
    pub clock: Clock,
    /// How long the site is loaded.
    pub span: Duration,
}

impl FaultInjection<'_> {
    fn note(&self, what: &str) {
        self.record
            .note(self.clock.now(), Observation::Fault { what: what.into() });
    }

    async fn wait(&self) {
        tokio::time::sleep(self.span / 4).await;
    }

    /// Injects the faults of a plan and heals them.
    pub async fn inject(mut self, plan: &str) -> Result<(), String> {
        self.wait().await;
        match plan {
            "wipe" => self.kill(&[2], true).await,
            "kill" => self.kill(&[1, 5, 8], false).await,
            "herd" => {
                let with_disk: Vec<usize> = (0..self.shape.disks).collect();
                self.kill(&with_disk, false).await
            }
            "dark-zone" => self.power_off(&self.shape.locality(0)).await,
            "dark-region" => self.power_off(self.shape.regions[1]).await,
            "freeze" => self.freeze().await,
            "rolling" => self.rolling().await,
            "cut-zone" | "cut-region" | "cut-machine" | "split" => {
                self.inject_partition(plan).await
            }
            "evacuate" => self.evacuate().await,
            "evacuate-cut" => self.evacuate_partitioned_zone().await,
            "release" => self.replace("release", |at| at % 3 == 0, true, true).await,
            "cold" => self.replace("cold", |at| at % 2 == 0, false, false).await,
            "crash" => self.replace("crash", |at| at % 3 == 0, false, true).await,
            "storm" => self.submit_many().await,
            "race" => self.race().await,
            "garble" | "pause" | "deaf-units" | "mute-units" => {
                self.inject_upstream_plan(plan).await
            }
            "reuse" => self.reuse().await,
            "holder" => self.kill_lease_holder().await,
            "rescue" => self.recover_from_survivors().await,
            _ => Ok(()),
        }
    }

    /// Partitions of a zone, a region, a machine, or of all regions from each other.
    async fn inject_partition(&mut self, plan: &str) -> Result<(), String> {
        let partitions = match plan {
            "cut-zone" => vec![Partition::Place(self.shape.locality(0))],
            "cut-region" => vec![Partition::Place(self.shape.regions[1].into())],
            "cut-machine" => vec![Partition::Machine(4)],
            _ => {
                let regions = self.shape.regions.iter();
                regions
                    .map(|region| Partition::Place((*region).into()))
                    .collect()
            }
        };
        self.partition_all(partitions).await
    }

    async fn evacuate_partitioned_zone(&mut self) -> Result<(), String> {
        let zone = self.shape.locality(0);
        self.link_proxies.partition(vec![Partition::Place(zone)]);
        self.evacuate().await?;
        self.link_proxies.partition(Vec::new());
        self.all_ready().await
    }

    /// Faults of upstreams that go on running.
    async fn inject_upstream_plan(&mut self, plan: &str) -> Result<(), String> {
        let none = UpstreamFault::default();
        match plan {
            "garble" => {
                let fault = UpstreamFault {
                    invalid_responses_per_mille: 300,
                    ..none
                };
                self.inject_upstream_fault(|at| at % 3 == 0, fault).await
            }
            "pause" => {
                let fault = UpstreamFault {
                    paused_until: self.clock.now() + self.span / 4,
                    ..none
                };
                self.inject_upstream_fault(|at| at % 13 == 0, fault).await
            }
            "deaf-units" => {
                let fault = UpstreamFault {
                    ignores_requests_of: self.proxies_of_first_zone(),
                    ..none
                };
                self.inject_upstream_fault(|at| at % 6 < 2, fault).await
            }
            _ => {
                let fault = UpstreamFault {
                    withholds_responses_to: self.proxies_of_first_zone(),
                    ..none
                };
                self.inject_upstream_fault(|at| at % 6 < 2, fault).await
            }
        }
    }

    fn proxies_of_first_zone(&self) -> Vec<String> {
        let zone = self.shape.locality(0);
        let data_nodes = self.fleet.data_nodes.iter();
        let proxies = data_nodes.filter(|process| self.shape.locality(process.machine) == zone);
        proxies.map(|process| process.node.clone()).collect()
    }

    async fn kill(&mut self, machines: &[usize], wipe: bool) -> Result<(), String> {
        self.note(&format!(
            "machines {machines:?} killed{}",
            if wipe { ", disk wiped" } else { "" }
        ));
        let is_affected = |machine: usize| machines.contains(&machine);
        self.fleet
            .all()
            .filter(|process| is_affected(process.machine))
            .for_each(|process| {
                process.kill();
                if wipe {
                    process.wipe();
                }
            });
        self.wait().await;
        self.note(&format!("machines {machines:?} started again"));
        let started_at = self.clock.now();
        let mut back = Vec::new();
        for process in self
            .fleet
            .all()
            .filter(|process| is_affected(process.machine))
        {
            process.start().map_err(|e| e.to_string())?;
            back.push(process.http.clone());
        }
        self.wait_until_ready(&back).await?;
        println!(
            "the killed machines were ready after {:?}",
            self.clock.now() - started_at
        );
        Ok(())
    }

    /// Some upstreams have a fault for a quarter of the run.
    async fn inject_upstream_fault(
        &mut self,
        is_chosen: impl Fn(usize) -> bool,
        fault: UpstreamFault,
    ) -> Result<(), String> {
        self.note("upstreams become unhealthy");
        for (at, upstream) in self.upstreams.iter().enumerate() {
            if is_chosen(at) {
                upstream.set_fault(fault.clone());
            }
        }
        self.wait().await;
        for upstream in self.upstreams.iter() {
            upstream.set_fault(UpstreamFault::default());
        }
        self.note("upstreams are healthy again");
        Ok(())
    }

    /// Upstreams vanish; others, of the next service, start at their addresses.
    async fn reuse(&mut self) -> Result<(), String> {
        self.note("addresses change hands");
        let nodes = Arc::new(self.fleet.nodes());
        for at in (0..self.upstreams.len()).filter(|at| at % 9 == 1) {
            let old = self.upstreams[at].clone();
            let services = self.shape.services;
            let known = services
                .iter()
                .position(|work| work.service == old.work.service)
                .unwrap_or(0);
            let (work, instance) = (services[(known + 1) % 3], format!("{}-heir", old.instance));
            old.crash();
            let mut heir = None;
            for _ in 0..100 {
                let (place, nodes, record) =
                    (old.locality.clone(), nodes.clone(), self.record.clone());
                let start = StandInUpstream::start(
                    &old.address,
                    work,
                    instance.clone(),
                    place,
                    true,
                    nodes,
                    self.clock,
                    record,
                );
                heir = start.await.ok();
                if heir.is_some() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            self.upstreams[at] = heir.ok_or("an address was not free again")?;
        }
        self.wait().await;
        Ok(())
    }

    /// Two operators from one revision, eight times: one success and one clear rejection.
    async fn race(&mut self) -> Result<(), String> {
        self.note("operators race");
        let nodes = self.fleet.nodes();
        for round in 0..8usize {
            let revision = self.revision().await?;
            let one = |at: usize| {
                let (node, shape) = (
                    nodes[(round * 3 + at * 7) % nodes.len()].clone(),
                    self.shape.clone(),
                );
                let (id, record, clock) = (
                    format!("race-{round}-{at}&base={revision}"),
                    self.record.clone(),
                    self.clock,
                );
                async move {
                    submit(
                        &HttpClient::default(),
                        &record,
                        &clock,
                        &node,
                        &id,
                        &shape,
                        round * 2 + at,
                    )
                    .await
                }
            };
            let done = futures::future::join_all((0..2).map(one)).await;
            let won = done.iter().filter(|done| done.is_ok()).count();
            if won != 1 {
                return Err(format!("of two operators that raced, {won} won: {done:?}"));
            }
        }
        Ok(())
    }

    async fn status(&self) -> Result<JsonValue, String> {
        for node in self.fleet.nodes() {
            let client = HttpClient::default();
            let called = client.call(
                &node,
                "GET",
                "/status",
                &[],
                Bytes::new(),
                Duration::from_secs(2),
                false,
            );
            let reply = called.await.ok().filter(|reply| reply.status == 200);
            let json = reply
                .and_then(|reply| JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok());
            if let Some(json) =
                json.filter(|json| json.get("current") == Some(&JsonValue::Bool(true)))
            {
                return Ok(json);
            }
        }
        Err("no node tells its status".into())
    }

    /// The revision that any node reads back at present.
    async fn revision(&self) -> Result<u64, String> {
        let client = HttpClient::default();
        for node in self.fleet.nodes() {
            let called = client.call(
                &node,
                "GET",
                "/setup",
                &[],
                Bytes::new(),
                Duration::from_secs(3),
                false,
            );
            if let Some(reply) = called.await.ok().filter(|reply| reply.status == 200) {
                return reply
                    .header("x-edition")
                    .parse()
                    .map_err(|_| "an edition that is no number".to_owned());
            }
        }
        Err("no node reads the setup back".into())
    }

    async fn kill_lease_holder(&mut self) -> Result<(), String> {
        for _ in 0..4 {
            let lease_holder = self
                .status()
                .await?
                .text("placement")
                .unwrap_or_default()
                .to_owned();
            self.note(&format!("placement holder {lease_holder} killed"));
            let process = self
                .fleet
                .control_nodes
                .iter_mut()
                .find(|process| process.node == lease_holder);
            let process = process.ok_or("nobody holds the placement")?;
            process.kill();
            tokio::time::sleep(self.span / 16).await;
            process.start().map_err(|e| e.to_string())?;
            let back = [process.http.clone()];
            self.wait_until_ready(&back).await?;
        }
        Ok(())
    }

    /// The operators' page, step by step, with the operator's own tool.
    async fn recover_from_survivors(&mut self) -> Result<(), String> {
        let revision = self.revision().await?;
        self.note("all postmasters killed, three disks lost for good");
        self.fleet.control_nodes.iter_mut().for_each(Process::kill);
        self.fleet
            .control_nodes
            .iter()
            .skip(3)
            .for_each(Process::wipe);
        let folder = |process: &Process| {
            process
                .data
                .clone()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned()
        };
        let file = |name: &str| self.fleet.folder.join(name).to_string_lossy().into_owned();
        let run_operator_tool = |args: &[&str]| self.fleet.run_operator_tool(args);
        let (inheritance, mut files, mut lost) = (file("inheritance"), Vec::new(), Vec::new());
        for (at, process) in self.fleet.control_nodes.iter().enumerate() {
            if at < 3 {
                let out = file(&format!("{}.testament", process.node));
                run_operator_tool(&["testament", &process.node, &folder(process), &out])?;
                files.push(out);
            } else {
                lost.push(process.node.clone());
            }
        }
        let settle = |lost: &str| {
            let words: Vec<&str> = ["settle", inheritance.as_str()].into_iter().collect();
            let words = words
                .into_iter()
                .chain(files.iter().map(String::as_str))
                .chain(["--lost", lost]);
            run_operator_tool(&words.collect::<Vec<_>>())
        };
        if settle(&lost[1..].join(",")).is_ok() {
            return Err("settled although a voter may live".into());
        }
        settle(&lost.join(","))?;
        for process in &self.fleet.control_nodes {
            process.wipe();
            run_operator_tool(&["inherit", &inheritance, &folder(process)])?;
        }
        for process in &mut self.fleet.control_nodes {
            process.start().map_err(|e| e.to_string())?;
        }
        self.all_ready().await?;
        let after = self.revision().await?;
        self.note("rescued");
        println!("edition {revision} before the loss, {after} after the rescue");
        (after > revision)
            .then_some(())
            .ok_or_else(|| "the edition did not rise".to_owned())
    }

    async fn partition_all(&mut self, partitions: Vec<Partition>) -> Result<(), String> {
        self.note(&format!("{partitions:?} cut off"));
        self.link_proxies.partition(partitions);
        self.wait().await;
        self.note("links mended");
        let mended_at = self.clock.now();
        self.link_proxies.partition(Vec::new());
        self.all_ready().await?;
        println!(
            "all were ready {:?} after the links were mended",
            self.clock.now() - mended_at
        );
        Ok(())
    }

    async fn all_ready(&self) -> Result<(), String> {
        self.wait_until_ready(&self.fleet.nodes()).await
    }

    /// Machines and upstreams of a locality lose power at once; both come back.
    async fn power_off(&mut self, place: &str) -> Result<(), String> {
        let is_affected = |locality: &str| locality.starts_with(place);
        self.upstreams
            .iter()
            .filter(|upstream| is_affected(&upstream.locality))
            .for_each(|upstream| upstream.crash());
        let machines: Vec<usize> = (0..self.shape.machines)
            .filter(|at| is_affected(&self.shape.locality(*at)))
            .collect();
        self.kill(&machines, false).await?;
        let nodes = Arc::new(self.fleet.nodes());
        let gone: Vec<usize> = (0..self.upstreams.len())
            .filter(|at| is_affected(&self.upstreams[*at].locality))
            .collect();
        for at in gone {
            self.replace_upstream(at, true, nodes.clone()).await?;
        }
        Ok(())
    }

    /// A new instance in the place of an upstream.
    async fn replace_upstream(
        &mut self,
        at: usize,
        warm: bool,
        nodes: Arc<Vec<String>>,
    ) -> Result<(), String> {
        let old = self.upstreams[at].clone();
        let (instance, place) = (format!("{}-again", old.instance), old.locality.clone());
        let upstream = StandInUpstream::start(
            ANY_PORT,
            old.work,
            instance,
            place,
            warm,
            nodes,
            self.clock,
            self.record.clone(),
        );
        self.upstreams[at] = upstream.await.map_err(|e| e.to_string())?;
        Ok(())
    }

    async fn wait_until_ready(&self, nodes: &[String]) -> Result<(), String> {
        let ready = Fleet::ready(nodes, RECOVERY_TIMEOUT).await;
        ready
            .then_some(())
            .ok_or_else(|| "what was broken did not come back".to_owned())
    }

    async fn freeze(&mut self) -> Result<(), String> {
        self.note("machines 0 and 9 frozen");
        let is_affected = |machine: usize| [0, 9].contains(&machine);
        self.fleet
            .all()
            .filter(|process| is_affected(process.machine))
            .for_each(|process| process.signal("STOP"));
        self.wait().await;
        self.note("machines 0 and 9 go on");
        self.fleet
            .all()
            .filter(|process| is_affected(process.machine))
            .for_each(|process| process.signal("CONT"));
        let back: Vec<String> = self
            .fleet
            .all()
            .filter(|process| is_affected(process.machine))
            .map(|process| process.http.clone())
            .collect();
        self.wait_until_ready(&back).await
    }

    /// Every machine shuts down gracefully, must exit with 0 before it would be killed, and starts again.
    async fn rolling(&mut self) -> Result<(), String> {
        for machine in 0..self.shape.machines {
            let asked = self.clock.now();
            self.note(&format!("machine {machine} ended politely"));
            self.fleet
                .all()
                .filter(|process| process.machine == machine)
                .for_each(|process| process.signal("TERM"));
            let mut back = Vec::new();
            for process in self
                .fleet
                .all()
                .filter(|process| process.machine == machine)
            {
                let code = tokio::task::block_in_place(|| process.wait());
                if code != Some(0) {
                    return Err(format!("{} ended with {code:?}", process.node));
                }
                back.push(process.http.clone());
            }
            let took = self.clock.now() - asked;
            if took > Duration::from_secs(6) {
                return Err(format!("machine {machine} took {took:?} to end"));
            }
            for process in self
                .fleet
                .all()
                .filter(|process| process.machine == machine)
            {
                process.start().map_err(|e| e.to_string())?;
            }
            self.wait_until_ready(&back).await?;
        }
        Ok(())
    }

    async fn evacuate(&mut self) -> Result<(), String> {
        let (place, client) = (self.shape.locality(0), HttpClient::default());
        for (id, back) in [("out", false), ("back", true)] {
            let path = format!(
                "/evacuations?id={id}&locality={}&back={back}",
                place.replace('/', "%2F")
            );
            let node = self.fleet.data_nodes[if back { 4 } else { 8 }].http.clone();
            if back {
                // Work may go there from the moment it is asked for.
                self.record.note(
                    self.clock.now(),
                    Observation::Evacuation {
                        locality: place.clone(),
                        back,
                    },
                );
            }
            let called = client
                .call(
                    &node,
                    "POST",
                    &path,
                    &[],
                    Bytes::new(),
                    Duration::from_secs(10),
                    false,
                )
                .await;
            let reply = called.map_err(|e| format!("evacuation: {e:?}"))?;
            let json = JsonValue::parse(&String::from_utf8_lossy(&reply.body))
                .map_err(|error| error.to_string())?;
            if reply.status != 200 {
                return Err(format!("evacuation: {json}"));
            }
            let (at, revision) = (self.clock.now(), json.count("edition").unwrap_or(0));
            if !back {
                self.record.note(
                    at,
                    Observation::Evacuation {
                        locality: place.clone(),
                        back,
                    },
                );
            }
            self.record
                .note(at, Observation::RevisionAccepted { revision });
            self.note(if back {
                "zone taken back"
            } else {
                "zone evacuated"
            });
            self.wait().await;
        }
        Ok(())
    }

    async fn replace(
        &mut self,
        what: &str,
        chosen: fn(usize) -> bool,
        notice: bool,
        warm: bool,
    ) -> Result<(), String> {
        self.note(&format!("{what} of upstreams"));
        let nodes = Arc::new(self.fleet.nodes());
        let client = HttpClient::default();
        for at in (0..self.upstreams.len()).filter(|at| chosen(*at)) {
            let old = self.upstreams[at].clone();
            if notice {
                old.start_draining();
                old.send_heartbeat(&client, &nodes[at % nodes.len()]).await;
            } else {
                old.crash();
            }
            self.replace_upstream(at, warm, nodes.clone()).await?;
            if notice {
                // It serves on while news of its leaving travels, and is then ended.
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(4)).await;
                    old.crash();
                });
            }
        }
        self.wait().await;
        self.upstreams
            .iter()
            .for_each(|upstream| upstream.set_warm(true));
        self.note("all upstreams warm");
        Ok(())
    }

    async fn submit_many(&mut self) -> Result<(), String> {
        self.note("a storm of 30 setups");
        let nodes = self.fleet.nodes();
        let one = |at: usize| {
            let (node, shape) = (nodes[at % nodes.len()].clone(), self.shape.clone());
            let (record, clock) = (self.record.clone(), self.clock);
            async move {
                submit(
                    &HttpClient::default(),
                    &record,
                    &clock,
                    &node,
                    &format!("storm-{at}"),
                    &shape,
                    at * 21,
                )
                .await
            }
        };
        let done = futures::future::join_all((1..=30).map(one)).await;
        done.into_iter()
            .collect::<Result<Vec<u64>, String>>()
            .map(drop)
    }
}
