//! What is broken in a run of real processes, and how it heals.

use crate::fleet::{Fleet, Process};
use crate::runs::submit;
use crate::upstreams::{ANY, Ill, Unit};
use crate::wires::{Cut, Wires};
use bytes::Bytes;
use config::JsonValue;
use invariants::observations::{Observation, ObservationLog};
use simulator::shapes::Shape;
use std::sync::Arc;
use std::time::Duration;
use transport::{Clock, HttpClient};

const BACK_WITHIN: Duration = Duration::from_secs(60);

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

/// Everything that a plan may touch.
pub struct Scene<'a> {
    pub wires: Arc<Wires>,
    pub fleet: &'a mut Fleet,
    pub units: &'a mut Vec<Arc<Unit>>,
    pub shape: &'a Shape,
    pub record: &'a ObservationLog,
    pub clock: Clock,
    pub span: Duration,
}

impl Scene<'_> {
    fn note(&self, what: &str) {
        self.record
            .note(self.clock.now(), Observation::Fault { what: what.into() });
    }

    async fn wait(&self) {
        tokio::time::sleep(self.span / 4).await;
    }

    /// Breaks and heals by name.
    pub async fn play(mut self, plan: &str) -> Result<(), String> {
        self.wait().await;
        match plan {
            "wipe" => self.kill(&[2], true).await,
            "kill" => self.kill(&[1, 5, 8], false).await,
            "dark-zone" => self.darken(&self.shape.locality(0)).await,
            "dark-region" => self.darken(self.shape.regions[1]).await,
            "freeze" => self.freeze().await,
            "rolling" => self.rolling().await,
            "cut-zone" => self.cut(Cut::Place(self.shape.locality(0))).await,
            "cut-region" => self.cut(Cut::Place(self.shape.regions[1].into())).await,
            "cut-machine" => self.cut(Cut::Machine(4)).await,
            "evacuate" => self.evacuate().await,
            "evacuate-cut" => {
                self.wires.cut(vec![Cut::Place(self.shape.locality(0))]);
                self.evacuate().await?;
                self.wires.cut(Vec::new());
                self.all_ready().await
            }
            "release" => self.replace("release", |at| at % 3 == 0, true, true).await,
            "cold" => self.replace("cold", |at| at % 2 == 0, false, false).await,
            "crash" => self.replace("crash", |at| at % 3 == 0, false, true).await,
            "storm" => self.storm().await,
            "race" => self.race().await,
            "garble" => {
                self.sicken(
                    |at| at % 3 == 0,
                    |_| Ill {
                        garbles_per_mille: 300,
                        ..Ill::default()
                    },
                )
                .await
            }
            "pause" => {
                let until = self.clock.now() + self.span / 4;
                self.sicken(
                    |at| at % 13 == 0,
                    |_| Ill {
                        paused_until: until,
                        ..Ill::default()
                    },
                )
                .await
            }
            "deaf-units" | "mute-units" => {
                let here = |process: &&Process| {
                    self.shape.locality(process.machine) == self.shape.locality(0)
                };
                let zone = self
                    .fleet
                    .carriers
                    .iter()
                    .filter(here)
                    .map(|process| process.node.clone());
                let proxies: Vec<String> = zone.collect();
                let deaf = plan == "deaf-units";
                let ill = |_: usize| match deaf {
                    true => Ill {
                        deaf_to: proxies.clone(),
                        ..Ill::default()
                    },
                    false => Ill {
                        mute_to: proxies.clone(),
                        ..Ill::default()
                    },
                };
                self.sicken(|at| at % 6 < 2, ill).await
            }
            "reuse" => self.reuse().await,
            "herd" => {
                self.kill(&(0..self.shape.disks).collect::<Vec<_>>(), false)
                    .await
            }
            "split" => {
                self.cut_all(
                    self.shape
                        .regions
                        .map(|region| Cut::Place(region.into()))
                        .to_vec(),
                )
                .await
            }
            "holder" => self.kill_holder().await,
            "rescue" => self.rescue().await,
            _ => Ok(()),
        }
    }

    async fn kill(&mut self, machines: &[usize], wipe: bool) -> Result<(), String> {
        self.note(&format!(
            "machines {machines:?} killed{}",
            if wipe { ", disk wiped" } else { "" }
        ));
        let hit = |machine: usize| machines.contains(&machine);
        self.fleet
            .all()
            .filter(|process| hit(process.machine))
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
        for process in self.fleet.all().filter(|process| hit(process.machine)) {
            process.start().map_err(|e| e.to_string())?;
            back.push(process.http.clone());
        }
        self.must_be_ready(&back).await?;
        println!(
            "the killed machines were ready after {:?}",
            self.clock.now() - started_at
        );
        Ok(())
    }

    /// Some upstreams fall ill for a quarter of the run.
    async fn sicken(
        &mut self,
        chosen: impl Fn(usize) -> bool,
        ill: impl Fn(usize) -> Ill,
    ) -> Result<(), String> {
        self.note("upstreams fall ill");
        let hit = (0..self.units.len()).filter(|at| chosen(*at));
        hit.for_each(|at| self.units[at].fall_ill(ill(at)));
        self.wait().await;
        self.units
            .iter()
            .for_each(|unit| unit.fall_ill(Ill::default()));
        self.note("upstreams are well again");
        Ok(())
    }

    /// Upstreams vanish; others, of the next service, start at their addresses.
    async fn reuse(&mut self) -> Result<(), String> {
        self.note("addresses change hands");
        let nodes = Arc::new(self.fleet.nodes());
        for at in (0..self.units.len()).filter(|at| at % 9 == 1) {
            let old = self.units[at].clone();
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
                let start = Unit::start(
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
            self.units[at] = heir.ok_or("an address was not free again")?;
        }
        self.wait().await;
        Ok(())
    }

    /// Two operators from one edition, eight times: one yes and one clear denial.
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

    /// The edition that any node reads back at present.
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

    async fn kill_holder(&mut self) -> Result<(), String> {
        for _ in 0..4 {
            let holder = self
                .status()
                .await?
                .text("placement")
                .unwrap_or_default()
                .to_owned();
            self.note(&format!("placement holder {holder} killed"));
            let process = self
                .fleet
                .postmasters
                .iter_mut()
                .find(|process| process.node == holder);
            let process = process.ok_or("nobody holds the placement")?;
            process.kill();
            tokio::time::sleep(self.span / 16).await;
            process.start().map_err(|e| e.to_string())?;
            let back = [process.http.clone()];
            self.must_be_ready(&back).await?;
        }
        Ok(())
    }

    /// The operators' page, step by step, with the operator's own tool.
    async fn rescue(&mut self) -> Result<(), String> {
        let revision = self.revision().await?;
        self.note("all postmasters killed, three disks lost for good");
        self.fleet.postmasters.iter_mut().for_each(Process::kill);
        self.fleet
            .postmasters
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
        let clerk = |args: &[&str]| self.fleet.clerk(args);
        let (inheritance, mut files, mut lost) = (file("inheritance"), Vec::new(), Vec::new());
        for (at, process) in self.fleet.postmasters.iter().enumerate() {
            if at < 3 {
                let out = file(&format!("{}.testament", process.node));
                clerk(&["testament", &process.node, &folder(process), &out])?;
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
            clerk(&words.collect::<Vec<_>>())
        };
        if settle(&lost[1..].join(",")).is_ok() {
            return Err("settled although a voter may live".into());
        }
        settle(&lost.join(","))?;
        for process in &self.fleet.postmasters {
            process.wipe();
            clerk(&["inherit", &inheritance, &folder(process)])?;
        }
        for process in &mut self.fleet.postmasters {
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

    async fn cut(&mut self, cut: Cut) -> Result<(), String> {
        self.cut_all(vec![cut]).await
    }

    async fn cut_all(&mut self, cuts: Vec<Cut>) -> Result<(), String> {
        self.note(&format!("{cuts:?} cut off"));
        self.wires.cut(cuts);
        self.wait().await;
        self.note("links mended");
        let mended_at = self.clock.now();
        self.wires.cut(Vec::new());
        self.all_ready().await?;
        println!(
            "all were ready {:?} after the links were mended",
            self.clock.now() - mended_at
        );
        Ok(())
    }

    async fn all_ready(&self) -> Result<(), String> {
        self.must_be_ready(&self.fleet.nodes()).await
    }

    /// Machines and upstreams of a place go at once; both come back.
    async fn darken(&mut self, place: &str) -> Result<(), String> {
        let hit = |locality: &str| locality.starts_with(place);
        self.units
            .iter()
            .filter(|unit| hit(&unit.locality))
            .for_each(|unit| unit.crash());
        let machines: Vec<usize> = (0..self.shape.machines)
            .filter(|at| hit(&self.shape.locality(*at)))
            .collect();
        self.kill(&machines, false).await?;
        let nodes = Arc::new(self.fleet.nodes());
        let gone: Vec<usize> = (0..self.units.len())
            .filter(|at| hit(&self.units[*at].locality))
            .collect();
        for at in gone {
            self.renew(at, true, nodes.clone()).await?;
        }
        Ok(())
    }

    /// A new instance in the place of an upstream.
    async fn renew(
        &mut self,
        at: usize,
        warm: bool,
        nodes: Arc<Vec<String>>,
    ) -> Result<(), String> {
        let old = self.units[at].clone();
        let (instance, place) = (format!("{}-again", old.instance), old.locality.clone());
        let unit = Unit::start(
            ANY,
            old.work,
            instance,
            place,
            warm,
            nodes,
            self.clock,
            self.record.clone(),
        );
        self.units[at] = unit.await.map_err(|e| e.to_string())?;
        Ok(())
    }

    async fn must_be_ready(&self, nodes: &[String]) -> Result<(), String> {
        let ready = Fleet::ready(nodes, BACK_WITHIN).await;
        ready
            .then_some(())
            .ok_or_else(|| "what was broken did not come back".to_owned())
    }

    async fn freeze(&mut self) -> Result<(), String> {
        self.note("machines 0 and 9 frozen");
        let hit = |machine: usize| [0, 9].contains(&machine);
        self.fleet
            .all()
            .filter(|process| hit(process.machine))
            .for_each(|process| process.signal("STOP"));
        self.wait().await;
        self.note("machines 0 and 9 go on");
        self.fleet
            .all()
            .filter(|process| hit(process.machine))
            .for_each(|process| process.signal("CONT"));
        let back: Vec<String> = self
            .fleet
            .all()
            .filter(|process| hit(process.machine))
            .map(|process| process.http.clone())
            .collect();
        self.must_be_ready(&back).await
    }

    /// Every machine ends politely, must exit with 0 before it would be killed, and starts again.
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
            self.must_be_ready(&back).await?;
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
            let node = self.fleet.carriers[if back { 4 } else { 8 }].http.clone();
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
            let json = JsonValue::parse(&String::from_utf8_lossy(&reply.body))?;
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
        for at in (0..self.units.len()).filter(|at| chosen(*at)) {
            let old = self.units[at].clone();
            if notice {
                old.leave();
                old.beat_once(&client, &nodes[at % nodes.len()]).await;
            } else {
                old.crash();
            }
            self.renew(at, warm, nodes.clone()).await?;
            if notice {
                // It serves on while news of its leaving travels, and is then ended.
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(4)).await;
                    old.crash();
                });
            }
        }
        self.wait().await;
        self.units.iter().for_each(|unit| unit.set_warm(true));
        self.note("all upstreams warm");
        Ok(())
    }

    async fn storm(&mut self) -> Result<(), String> {
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
