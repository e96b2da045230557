//! Brings a site up on this machine, loads it, breaks it, and judges what was seen.

mod explore;
mod measure;
mod plans;
mod runs;

use simulator::{overload, seeds};
use std::time::Duration;
use test_harness::shapes::Shape;

const HELP: &str = "drill proves mothspindle on this one machine.

usage: drill fleet [--shape roadwise|kalam] [--seconds N] [--rate N] [--plan PLAN] [--keep FOLDER] [--untimed]

  --shape    the site to lay out (default roadwise)
  --seconds  how long to load it (default 20)
  --rate     requests a second (default: the site's own)
  --plan     what to break while it is loaded (default quiet); one of those below
  --untimed  tell of rules that hold within a span, but don't fail by them: for machines that others share
  --keep     lay data and logs out here and leave them; otherwise in a folder that is removed

       drill measure     what the path costs: latency, news, messages

       drill changes [--count N] [--routes R] [--nodes M]
                         what N changes (default 10000) of a setup with R routes (default 400) leave on a disk, and how
                         a node comes back over a slow link

       drill overload    a site asked for more than its upstreams can bear, simulated

       drill hollow      hollow nodes by the hundred: what they say and cost; has a --help of its own

       drill explore [--scenario NAME] [--voters N] [--depth N] [--states N] [--seconds N] [--strays N]
                     [--crashes N] [--wipes N] [--replay CHOICES]

  plays every order of deliveries, syncs, crashes and replacements over the register's and the lease's own steps,
  in every scenario or in the one named, and prints what was visited and the first trace that breaks an invariant;
  a number changes the scenario's own budget, --replay takes a trace's choices (of one scenario) again

       drill sim [--shape roadwise|kalam|ledger] [--seeds FROM..UNTIL] [--plan PLAN] [--show WHAT]

  --seeds    which seeds to run (default 1..50)
  --plan     one fault, or two with a + between; without it each seed draws its own; 'each' runs every
             fault alone, 'pairs' every pair
  --show     also print what was seen of tries, works or instances whose name holds this

  --help, --version

exit codes: 0 no rule broken, 1 a rule broken or the fleet not ready, 2 flags denied";

#[tokio::main]
async fn main() {
    if std::env::args().nth(1).is_some_and(|verb| verb == "hollow") {
        std::process::exit(test_harness::hollow::command());
    }
    let code = match read_flags() {
        Ok(None) => {
            println!("{HELP}\n\nplans for a fleet:");
            plans::PLANS
                .iter()
                .for_each(|(name, what)| println!("  {name:<9} {what}"));
            let faults: Vec<&str> = test_harness::sim::fault_names().collect();
            println!("\nfaults for sim: {}", faults.join(", "));
            0
        }
        Ok(Some(Wish::Fleet(run))) => i32::from(!runs::fleet(run).await),
        Ok(Some(Wish::Measure)) => measure::all().await.map_or_else(
            |text| {
                eprintln!("drill: {text}");
                1
            },
            |()| 0,
        ),
        Ok(Some(Wish::Changes(trial))) => {
            test_harness::changes::measure(trial);
            0
        }
        Ok(Some(Wish::Overload)) => {
            overload::all();
            0
        }
        Ok(Some(Wish::Explore(exploration))) => i32::from(!explore::run(&exploration)),
        Ok(Some(Wish::Sim(sim))) => i32::from(!seeds::run(&sim)),
        Err(text) => {
            eprintln!("drill: {text}; see --help");
            2
        }
    };
    std::process::exit(code);
}

enum Wish {
    Fleet(runs::Run),
    Sim(seeds::Sim),
    Explore(explore::Exploration),
    Measure,
    Overload,
    Changes(test_harness::changes::Trial),
}

fn read_flags() -> Result<Option<Wish>, String> {
    let mut sim = seeds::Sim {
        from: 1,
        until: 50,
        plan: None,
        show: None,
        shape: test_harness::shapes::ROADWISE,
    };
    let mut exploration = explore::Exploration::default();
    let mut run = runs::Run {
        shape: test_harness::shapes::ROADWISE,
        load: Duration::from_secs(20),
        per_second: None,
        plan: "quiet".into(),
        keep: None,
        untimed: false,
    };
    let folder = Some(std::env::temp_dir().join(format!("drill-changes-{}", std::process::id())));
    let gap = Duration::from_millis(120);
    let mut trial = test_harness::changes::Trial {
        nodes: 3,
        routes: 400,
        changes: 10_000,
        gap,
        folder,
    };
    let mut verb = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|failure| failure.to_string())? {
        use lexopt::Arg::{Long, Value};
        let name = match arg {
            Long("help") => return Ok(None),
            Long("untimed") => {
                run.untimed = true;
                continue;
            }
            Long("version") => {
                println!("drill {}", env!("CARGO_PKG_VERSION"));
                std::process::exit(0)
            }
            Long(name) => name.to_owned(),
            Value(word) if verb.is_none() => {
                verb = Some(word.to_string_lossy().into_owned());
                continue;
            }
            other => return Err(other.unexpected().to_string()),
        };
        let value = parser
            .value()
            .map_err(|failure| failure.to_string())?
            .to_string_lossy()
            .into_owned();
        let number = || {
            value
                .parse::<u64>()
                .ok()
                .filter(|n| (1..=100_000).contains(n))
                .ok_or(format!("--{name} '{value}'"))
        };
        match name.as_str() {
            name if verb.as_deref() == Some("explore") => exploration.read_flag(name, &value)?,
            "seeds" => {
                let ends = value
                    .split_once("..")
                    .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
                (sim.from, sim.until) = ends.ok_or(format!("--seeds '{value}': FROM..UNTIL"))?;
            }
            "count" => trial.changes = number()?.max(10) as usize,
            "routes" => trial.routes = number()?.min(4000) as usize,
            "nodes" => trial.nodes = number()?.clamp(1, 31) as usize,
            "show" => sim.show = Some(value),
            "plan" if verb.as_deref() == Some("sim") => sim.plan = Some(value),
            "shape" => {
                run.shape = Shape::named(&value).ok_or(format!(
                    "--shape '{value}': roadwise, kalam or, simulated, ledger"
                ))?;
                sim.shape = run.shape.clone();
            }
            "seconds" => run.load = Duration::from_secs(number()?),
            "rate" => run.per_second = Some(number()?),
            "plan" => {
                let known = plans::PLANS.iter().any(|(name, _)| *name == value);
                run.plan = Some(value.clone())
                    .filter(|_| known)
                    .ok_or(format!("--plan '{value}' is unknown"))?;
            }
            "keep" => run.keep = Some(value.into()),
            _ => return Err(format!("--{name} is unknown")),
        }
    }
    match verb.as_deref() {
        Some("changes") => Ok(Some(Wish::Changes(trial))),
        Some("overload") => Ok(Some(Wish::Overload)),
        Some("measure") => Ok(Some(Wish::Measure)),
        Some("fleet") => Ok(Some(Wish::Fleet(run))),
        Some("explore") => explore::check(&exploration).map(|()| Some(Wish::Explore(exploration))),
        Some("sim") => seeds::check(&sim).map(|()| Some(Wish::Sim(sim))),
        Some(other) => Err(format!("'{other}' is no verb of mine")),
        None => Ok(None),
    }
}
