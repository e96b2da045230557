//! Whatever becomes of heartbeats and answers, and whoever holds the lease, no key has two live upstreams; and
//! once all is calm, every key has one.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use std::collections::BTreeMap;
use std::time::Duration;
use upstream_registry::{
    Grant, Heartbeat, HeldKeyRange, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram,
    ReleasedKeyRange,
};

const KEYS: u32 = 64;
const UNITS: usize = 4;
const TICK: u64 = 10;
const MS: fn(u64) -> Duration = Duration::from_millis;

fn terms(accepts_late_responses: bool) -> KeyLeaseTerms {
    KeyLeaseTerms {
        lease_duration: MS(3000),
        response_timeout: MS(1000),
        margin: MS(50),
        rebalance_interval: MS(400),
        accepts_late_responses,
    }
}

/// What is wrong with the world on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A new lease holder adopts without waiting for earlier answers to lose their effect.
    AdoptsAtOnce,
    /// A new lease holder takes the world for a new one.
    GivesAtOnce,
    /// Upstreams take late answers, and the holder counts on it that they don't.
    LateUnannounced,
    /// Upstreams count their holds by clocks a tenth slow.
    SlowClocks,
    /// What an upstream holds counts as let go once it signed off.
    FreesAtSignOff,
}

#[derive(Clone, Copy)]
struct Hold {
    fence: u64,
    until: Duration,
    /// When a key that was left out of an answer is let go.
    lets_go: Option<Duration>,
}

/// One upstream. Its clock runs at `rate` thousandths of the true one.
struct Unit {
    name: String,
    rate: u32,
    alive: bool,
    gone_at: Duration,
    draining: bool,
    /// It says no more, and serves on until its holds have run out.
    signed_off: bool,
    sequence: u64,
    next_beat: Duration,
    holds: BTreeMap<u32, Hold>,
    seen: BTreeMap<u32, u64>,
    /// Let go, and since which heartbeat it is told.
    released: Vec<(u64, ReleasedKeyRange)>,
}

enum Mail {
    Beat {
        unit: String,
        sent: Duration,
        beat: Heartbeat,
    },
    Answer {
        unit: String,
        sent: Duration,
        sequence: u64,
        grants: Option<Vec<Grant>>,
    },
}

struct World {
    fault: Fault,
    late: bool,
    now: Duration,
    units: Vec<Unit>,
    born: usize,
    mail: Vec<(Duration, Mail)>,
    ranges: Option<KeyRangeAssigner>,
    epoch: u64,
    next_lease: Duration,
    /// The lease holder's clock, in thousandths of the true one.
    clock: u32,
    load: LoadHistogram,
    given: usize,
    warm: usize,
    /// The first key that two held.
    blame: Option<String>,
}

fn unit(born: &mut usize, now: Duration, rate: u32) -> Unit {
    *born += 1;
    Unit {
        name: format!("u{born}"),
        rate,
        alive: true,
        gone_at: Duration::ZERO,
        draining: false,
        signed_off: false,
        sequence: 0,
        next_beat: now,
        holds: BTreeMap::new(),
        seen: BTreeMap::new(),
        released: Vec::new(),
    }
}

impl World {
    fn new(fault: Fault, late: bool) -> Self {
        let (now, mut born) = (MS(10_000), 0);
        let slowest = if fault == Fault::SlowClocks { 900 } else { 980 };
        let units = (0..UNITS)
            .map(|at| unit(&mut born, now, if at % 2 == 0 { slowest } else { 1000 }))
            .collect();
        let announced = late && fault != Fault::LateUnannounced;
        let ranges = Some(KeyRangeAssigner::new(now, terms(announced), KEYS, 1, true));
        let (mail, load, epoch, clock) = (Vec::new(), LoadHistogram::uniform(KEYS), 1, 1000);
        let (next_lease, given, warm) = (now, 0, 0);
        let blame = None;
        World {
            fault,
            late,
            now,
            units,
            born,
            mail,
            ranges,
            epoch,
            next_lease,
            clock,
            load,
            given,
            warm,
            blame,
        }
    }

    fn lease_now(&self) -> Duration {
        self.now * self.clock / 1000
    }

    /// What the control nodes believe; a crash shows only after a while.
    fn ready(&self) -> BTreeMap<String, u32> {
        let believed = |unit: &&Unit| {
            !unit.draining && !unit.signed_off && (unit.alive || self.now < unit.gone_at + MS(1500))
        };
        let each = self
            .units
            .iter()
            .enumerate()
            .filter(|(_, unit)| believed(unit));
        each.map(|(at, unit)| (unit.name.clone(), 1 + at as u32))
            .collect()
    }

    fn start_lease(&mut self) {
        self.epoch += 1;
        self.clock = if self.epoch.is_multiple_of(2) {
            1005
        } else {
            1000
        };
        let terms = terms(self.late && self.fault != Fault::LateUnannounced);
        let now = self.lease_now();
        let start = if self.fault == Fault::AdoptsAtOnce {
            now - MS(1080)
        } else {
            now
        };
        self.ranges = Some(KeyRangeAssigner::new(
            start,
            terms,
            KEYS,
            self.epoch,
            self.fault == Fault::GivesAtOnce,
        ));
    }

    fn disturb(&mut self, noise: &mut Unstructured) -> Result<()> {
        let at = noise.int_in_range(0..=UNITS - 1)?;
        let rate = if self.fault == Fault::SlowClocks {
            900
        } else {
            980
        };
        match noise.int_in_range(0..=9u8)? {
            0 | 1 => {
                self.ranges = None;
                self.next_lease = self.now + MS(noise.int_in_range(0..=60u64)? * TICK);
            }
            2 if noise.ratio(1, 2u8)? => self.sign_off(at),
            2 => {
                let unit = &mut self.units[at];
                (unit.alive, unit.gone_at) = (false, self.now);
            }
            3 | 4 => self.units[at].draining ^= true,
            5 if !self.units[at].alive || self.units[at].holds.is_empty() => {
                self.units[at] = unit(&mut self.born, self.now, rate);
            }
            6 | 7 => {
                let counts: Vec<u64> = (0..16)
                    .map(|_| noise.int_in_range(0..=40u64))
                    .collect::<Result<_>>()?;
                self.load = LoadHistogram::new(KEYS, &counts);
            }
            // One stands still for a while.
            8 => self.units[at].next_beat = self.now + MS(noise.int_in_range(0..=250u64)? * 20),
            _ => {}
        }
        Ok(())
    }

    fn sign_off(&mut self, at: usize) {
        self.units[at].signed_off = true;
        if self.fault == Fault::FreesAtSignOff {
            let (now, ready) = (self.lease_now(), self.ready());
            let lets_all_go = Heartbeat {
                instance: self.units[at].name.clone(),
                sequence: u64::MAX,
                ..Heartbeat::default()
            };
            self.ranges.iter_mut().for_each(|ranges| {
                ranges.handle_heartbeat(now, &lets_all_go, &ready, &self.load);
            });
        }
    }

    /// Most mail is quick; some is late, and some gets lost.
    fn post(&mut self, noise: &mut Unstructured, mail: Mail) -> Result<()> {
        let delay = match noise.int_in_range(0..=19u8)? {
            0..=9 => 10,
            10..=14 => noise.int_in_range(0..=40u64)? * TICK,
            15..=17 => noise.int_in_range(0..=130u64)? * TICK,
            18 => noise.int_in_range(0..=250u64)? * 20,
            _ => return Ok(()),
        };
        self.mail.push((self.now + MS(delay), mail));
        Ok(())
    }

    fn tick(&mut self, noise: &mut Unstructured) -> Result<()> {
        self.now += MS(TICK);
        let now = self.now;
        if self.ranges.is_none() && now >= self.next_lease {
            self.start_lease();
        }
        let beats: Vec<Mail> = self
            .units
            .iter_mut()
            .filter_map(|unit| unit.tick(now))
            .collect();
        beats
            .into_iter()
            .try_for_each(|beat| self.post(noise, beat))?;
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.mail = later;
        let due: Vec<(Duration, Mail)> = due;
        due.into_iter()
            .try_for_each(|(_, mail)| self.deliver(noise, mail))?;
        self.check();
        Ok(())
    }

    fn deliver(&mut self, noise: &mut Unstructured, mail: Mail) -> Result<()> {
        match mail {
            Mail::Beat { unit, sent, beat } => {
                let (now, ready) = (self.lease_now(), self.ready());
                let Some(ranges) = self.ranges.as_mut() else {
                    return Ok(());
                };
                let grants = ranges.handle_heartbeat(now, &beat, &ready, &self.load);
                self.post(
                    noise,
                    Mail::Answer {
                        unit,
                        sent,
                        sequence: beat.sequence,
                        grants,
                    },
                )
            }
            Mail::Answer {
                unit,
                sent,
                sequence,
                grants,
            } => {
                let (now, late) = (self.now, self.late);
                let unit = self
                    .units
                    .iter_mut()
                    .find(|other| other.name == unit && other.alive);
                let (Some(unit), Some(grants)) = (unit, grants) else {
                    return Ok(());
                };
                let in_time = (now - sent) * unit.rate / 1000 <= MS(1000);
                if in_time && (late || unit.sequence == sequence) {
                    self.given += grants
                        .iter()
                        .map(|grant| (grant.to - grant.from + 1) as usize)
                        .sum::<usize>();
                    self.warm += grants
                        .iter()
                        .filter(|grant| !grant.handover.is_empty())
                        .count();
                    unit.take(now, sent, sequence, &grants, noise.int_in_range(0..=30u64)?);
                }
                Ok(())
            }
        }
    }

    fn holders(&self, key: u32) -> Vec<&str> {
        let live = self.units.iter().filter(|unit| unit.alive);
        let holding = live.filter(|unit| {
            unit.holds
                .get(&key)
                .is_some_and(|hold| self.now < hold.until)
        });
        holding.map(|unit| unit.name.as_str()).collect()
    }

    fn check(&mut self) {
        let twice = (0..KEYS)
            .map(|key| (key, self.holders(key)))
            .find(|(_, holders)| holders.len() > 1);
        let blame = twice.map(|(key, holders)| {
            format!(
                "key {key}, {holders:?}, {:?}, epoch {}",
                self.now, self.epoch
            )
        });
        self.blame = self.blame.take().or(blame);
    }
}

impl Unit {
    /// Lets go what is due, and beats when it is time.
    fn tick(&mut self, now: Duration) -> Option<Mail> {
        if !self.alive {
            return None;
        }
        self.holds.retain(|_, hold| now < hold.until);
        let (sequence, name) = (self.sequence + 1, self.name.clone());
        let released = &mut self.released;
        self.holds.retain(|key, hold| {
            let kept = hold.lets_go.is_none_or(|at| now < at);
            if !kept {
                released.push((
                    sequence,
                    ReleasedKeyRange {
                        from: *key,
                        to: *key,
                        handover: format!("{name}/{sequence}"),
                    },
                ));
            }
            kept
        });
        if self.signed_off {
            self.alive = !self.holds.is_empty();
            return None;
        }
        if now < self.next_beat {
            return None;
        }
        let letting_go = self.holds.values().any(|hold| hold.lets_go.is_some());
        self.next_beat = now + MS(if letting_go { 100 } else { 300 });
        self.sequence = sequence;
        let holdings = self
            .holds
            .iter()
            .map(|(key, hold)| HeldKeyRange {
                from: *key,
                to: *key,
                fence: hold.fence,
            })
            .collect();
        let released = self.released.iter().map(|(_, row)| row.clone()).collect();
        let beat = Heartbeat {
            instance: name.clone(),
            sequence,
            holdings,
            released,
        };
        Some(Mail::Beat {
            unit: name,
            sent: now,
            beat,
        })
    }

    fn take(&mut self, now: Duration, sent: Duration, sequence: u64, grants: &[Grant], work: u64) {
        self.released.retain(|(since, _)| *since > sequence);
        let until = sent + terms(false).lease_duration * 1000 / self.rate;
        let lets_go = Some(now + MS(work * TICK));
        self.holds
            .values_mut()
            .for_each(|hold| hold.lets_go = hold.lets_go.or(lets_go));
        grants
            .iter()
            .flat_map(|grant| (grant.from..=grant.to).map(|key| (key, grant.fence)))
            .for_each(|(key, fence)| {
                let seen = self.seen.entry(key).or_default();
                if fence >= *seen && now < until {
                    *seen = fence;
                    self.holds.insert(
                        key,
                        Hold {
                            fence,
                            until,
                            lets_go: None,
                        },
                    );
                }
            });
    }
}

#[derive(Default)]
struct Tally {
    given: usize,
    warm: usize,
    leases: u64,
    /// Worlds in which a key was held twice, and the first such.
    twice: usize,
    blame: Option<String>,
    slowest: Duration,
}

/// One world from its founding through disturbances to calm.
fn run(fault: Fault, late: bool, noise: &mut Unstructured, tally: &mut Tally) -> Result<()> {
    let mut world = World::new(fault, late);
    while !noise.is_empty() {
        if noise.ratio(1, 40u8)? {
            world.disturb(noise)?;
        }
        world.tick(noise)?;
    }
    // Calm: mail is quick, someone is ready, and the lease is held.
    world.units[0].draining = false;
    if !world.units[0].alive {
        world.units[0] = unit(&mut world.born, world.now, 980);
    } else if world.units[0].signed_off {
        // It may hold keys still: another one comes beside it.
        world.units.push(unit(&mut world.born, world.now, 980));
    }
    if world.ranges.is_none() {
        world.start_lease();
    }
    let calm = world.now;
    let mut whole = false;
    // The longest: a heartbeat put off, a hold, and what was late on its way; then a step of letting go.
    while !whole && world.now < calm + MS(12_000) {
        world.tick(noise)?;
        whole = (0..KEYS).all(|key| !world.holders(key).is_empty());
    }
    tally.twice += usize::from(world.blame.is_some());
    tally.blame = tally.blame.take().or(world.blame);
    // A broken world owes nothing.
    assert!(
        whole || fault != Fault::None,
        "some keys have no holder {:?} after the last disturbance",
        world.now - calm
    );
    tally.slowest = tally.slowest.max(world.now - calm);
    tally.given += world.given;
    tally.warm += world.warm;
    tally.leases += world.epoch;
    Ok(())
}

fn world(fault: Fault, late: bool, number: u64, tally: &mut Tally) {
    arbtest(|noise| run(fault, late, noise, tally)).seed(number << 32 | 6_000);
}

fn sound(late: bool) {
    let mut tally = Tally::default();
    (1..=400).for_each(|number| world(Fault::None, late, number, &mut tally));
    println!(
        "{} given, {} warm, {} leases, {:?} to whole",
        tally.given, tally.warm, tally.leases, tally.slowest
    );
    assert_eq!(tally.blame, None);
    assert!(tally.given > 100_000 && tally.warm > 100 && tally.leases > 1_000);
    assert!(tally.slowest < MS(7000), "{:?}", tally.slowest);
}

#[test]
fn no_key_is_held_twice() {
    sound(false);
}

#[test]
fn nor_where_overtaken_answers_count() {
    sound(true);
}

#[test]
fn the_check_can_fail() {
    let broken = [
        ("gives at once", Fault::GivesAtOnce, false),
        ("late answers unannounced", Fault::LateUnannounced, true),
        ("slow clocks", Fault::SlowClocks, false),
        ("frees at a sign-off", Fault::FreesAtSignOff, false),
        ("adopts at once", Fault::AdoptsAtOnce, false),
        ("adopts at once, late answers", Fault::AdoptsAtOnce, true),
    ];
    broken.into_iter().for_each(|(name, fault, late)| {
        let caught = (1..=400).find(|number| {
            let mut tally = Tally::default();
            world(fault, late, *number, &mut tally);
            tally.twice > 0
        });
        println!("{name}: caught in world {caught:?}");
        assert!(caught.is_some(), "{name}: not caught");
    });
}
