//! The command: one run, or a grid of them with their fits.

use super::figures::Figures;
use super::fit::fit;
use super::fleet::Load;
use super::request;
use super::size::{Size, TARGET, TODAY};
use super::trials::{Run, SETTLE, TRIALS, run};
use super::ways::ways;
use std::collections::BTreeMap;
use std::process::Command;
use std::time::Duration;

const HELP: &str = "drill hollow runs many hollow nodes, the daemons' own cores, in one process and in virtual time.

usage: drill hollow [--nodes N] [--postmasters P] [--upstreams U] [--services S] [--routes R] [--regions G]
                    [--zones Z] [--replicas N] [--seconds T] [--seed X] [--what WHAT] [--changing N] [--settle T] [--cold]
                    [--kinds]
                    [--grid nodes|postmasters|upstreams|routes|services|all --sizes A,B,C,D] [--jobs N]
                    [--recorded FILE]

  --nodes ...  the site's size (default: Roadwise as it is)
  --replicas   control nodes without a vote, beside the postmasters, which all have one (default 0)
  --seconds    how much virtual time is counted, once the site is up (default 10)
  --what       one of those below, 'request' for the path of requests, or 'ways' for
               what other ways of telling come to on the wire
  --changing   of a thousand beats, how many tell of other room (default 0)
  --settle     how long the site has been up before anything is done or counted (default 6)
  --cold       nodes find each other from their seeds; without it each is told of all others at its start
  --kinds      also print messages by kind and steps by cause
  --grid       run sizes in processes of their own, and fit how each figure grows; 'all' shrinks the target alike
  --sizes      what the gridded number is in each run
  --jobs       how many run at once (default 1)
  --recorded   run nothing: fit the lines of earlier runs in this file, by the gridded number

each line is one run. Rates are of one process of a role and a second; core% is processor time in step functions.
'zone', 'region' and 'far' are bytes in and out within a zone, between zones and between regions.";

struct Wish {
    run: Run,
    grid: Option<String>,
    sizes: Vec<usize>,
    jobs: usize,
    recorded: Option<String>,
    /// What each run of a grid is told beside its size.
    passed: Vec<String>,
}

/// Carries the command out; gives the exit code.
///
/// ```no_run
/// std::process::exit(scale_model::command());
/// ```
pub fn command() -> i32 {
    let done = read().and_then(|wish| wish.map_or(Ok(()), |wish| act(&wish)));
    done.map_or_else(
        |text| {
            eprintln!("drill: {text}; see drill hollow --help");
            2
        },
        |()| 0,
    )
}

fn act(wish: &Wish) -> Result<(), String> {
    match &wish.grid {
        Some(grid) if wish.recorded.is_some() => {
            recorded(grid, wish.recorded.as_deref().unwrap_or_default())
        }
        Some(grid) => gridded(grid, wish),
        None => {
            let figures = one(&wish.run)?;
            println!(
                "what={} seed={} {} {figures}",
                wish.run.what, wish.run.seed, wish.run.size
            );
            Ok(())
        }
    }
}

fn one(wish: &Run) -> Result<Figures, String> {
    match wish.what.as_str() {
        "request" => Ok(request::measured(&wish.size)),
        "ways" => Ok(ways(&wish.size)),
        _ => run(wish),
    }
}

/// Which number of the site a grid varies.
fn dimension(size: &mut Size, grid: &str) -> Result<Option<usize>, String> {
    let known: [(&str, &mut usize); 5] = [
        ("nodes", &mut size.nodes),
        ("postmasters", &mut size.postmasters),
        ("upstreams", &mut size.upstreams),
        ("routes", &mut size.routes),
        ("services", &mut size.services),
    ];
    let at = known
        .into_iter()
        .find(|(name, _)| *name == grid)
        .map(|(_, number)| *number);
    Some(at)
        .filter(|at| at.is_some() || grid == "all")
        .ok_or(format!("--grid '{grid}'"))
}

fn gridded(grid: &str, wish: &Wish) -> Result<(), String> {
    dimension(&mut wish.run.size.clone(), grid)?;
    let program = std::env::current_exe().map_err(|failure| failure.to_string())?;
    let flags = |n: usize| -> Vec<String> {
        if grid == "all" {
            let Size {
                nodes,
                postmasters,
                upstreams,
                services,
                routes,
                regions,
                zones,
            } = Size::shrunk(n);
            let all = [
                ("nodes", nodes),
                ("postmasters", postmasters),
                ("upstreams", upstreams),
                ("services", services),
                ("routes", routes),
                ("regions", regions),
                ("zones", zones),
            ];
            all.into_iter()
                .flat_map(|(name, number)| [format!("--{name}"), number.to_string()])
                .collect()
        } else {
            vec![format!("--{grid}"), n.to_string()]
        }
    };
    let mut lines = Vec::new();
    for sizes in wish.sizes.chunks(wish.jobs) {
        let started: Vec<_> = sizes
            .iter()
            .map(|n| {
                let mut command = Command::new(&program);
                command.arg("hollow").args(&wish.passed).args(flags(*n));
                (*n, command.stdout(std::process::Stdio::piped()).spawn())
            })
            .collect();
        for (n, child) in started {
            let output = child
                .and_then(|child| child.wait_with_output())
                .map_err(|failure| failure.to_string())?;
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            print!("{text}");
            let line = text
                .lines()
                .rfind(|line| line.starts_with("what="))
                .map(Figures::read);
            lines.extend(line.map(|line| (n as f64, line)));
        }
    }
    print_fits(grid, &lines);
    Ok(())
}

/// Fits the lines of earlier runs; of two of one size the later counts.
fn recorded(grid: &str, file: &str) -> Result<(), String> {
    dimension(&mut TODAY.clone(), grid)?;
    let text = std::fs::read_to_string(file).map_err(|failure| format!("{file}: {failure}"))?;
    let number = if grid == "all" { "nodes" } else { grid };
    let runs = text
        .lines()
        .filter(|line| line.starts_with("what="))
        .map(Figures::read);
    let by_size: BTreeMap<u64, Figures> = runs
        .filter_map(|run| Some((run.get(number)? as u64, run)))
        .collect();
    print_fits(
        grid,
        &by_size
            .into_iter()
            .map(|(n, run)| (n as f64, run))
            .collect::<Vec<_>>(),
    );
    Ok(())
}

/// How each figure grows, where there are points enough.
fn print_fits(grid: &str, lines: &[(f64, Figures)]) {
    let target = match grid {
        "upstreams" => TARGET.upstreams,
        "routes" => TARGET.routes,
        "services" => TARGET.services,
        "postmasters" => TARGET.postmasters,
        _ => TARGET.nodes,
    } as f64;
    let (Some((_, first)), true) = (lines.first(), lines.len() >= 4) else {
        return println!("no fits: {} runs of at least 4", lines.len());
    };
    let sized = [
        "seed",
        "nodes",
        "postmasters",
        "upstreams",
        "services",
        "routes",
        "regions",
        "zones",
    ];
    first
        .0
        .iter()
        .filter(|(name, _)| !sized.contains(&name.as_str()))
        .for_each(|(name, _)| {
            let points: Vec<(f64, f64)> = lines
                .iter()
                .filter_map(|(n, line)| Some((*n, line.get(name)?)))
                .collect();
            let fine = points.len() >= 4
                && points.iter().all(|(_, y)| y.is_finite())
                && points.iter().any(|(_, y)| *y != 0.0);
            if fine {
                let fits = fit(&points);
                println!(
                    "fit {name} over {grid}: best {}; at {target}: {:.4}; {}",
                    fits[0],
                    fits[0].at(target),
                    others(&fits)
                );
            }
        });
}

fn others(fits: &[super::fit::Fit]) -> String {
    let others = fits
        .iter()
        .skip(1)
        .map(|fit| format!("{} off by {:.1} %", fit.growth, fit.residual * 100.0));
    others.collect::<Vec<_>>().join(", ")
}

fn read() -> Result<Option<Wish>, String> {
    let run = Run {
        size: TODAY,
        window: Duration::from_secs(10),
        seed: 1,
        what: "idle".into(),
        load: Load::default(),
        settle: SETTLE,
        replicas: 0,
        kinds: false,
    };
    let mut wish = Wish {
        run,
        grid: None,
        sizes: Vec::new(),
        jobs: 1,
        recorded: None,
        passed: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|failure| failure.to_string())? {
        use lexopt::Arg::{Long, Value};
        let name = match arg {
            Long("help") => {
                println!("{HELP}\n");
                TRIALS
                    .iter()
                    .for_each(|(name, what)| println!("  {name:<10} {what}"));
                return Ok(None);
            }
            Value(word) if word == "hollow" => continue,
            Long("cold") => {
                wish.run.load.cold = true;
                wish.passed.push("--cold".into());
                continue;
            }
            Long("kinds") => {
                wish.run.kinds = true;
                wish.passed.push("--kinds".into());
                continue;
            }
            Long(name) => name.to_owned(),
            other => return Err(other.unexpected().to_string()),
        };
        let value = parser
            .value()
            .map_err(|failure| failure.to_string())?
            .to_string_lossy()
            .into_owned();
        take(&mut wish, &name, value)?;
    }
    Ok(Some(wish))
}

fn take(wish: &mut Wish, name: &str, value: String) -> Result<(), String> {
    let number = |value: &str| {
        value
            .parse::<usize>()
            .map_err(|_| format!("--{name} '{value}'"))
    };
    let some = |value: &str| {
        number(value).and_then(|n| Some(n).filter(|n| *n > 0).ok_or(format!("--{name} 0")))
    };
    match name {
        "grid" => wish.grid = Some(value),
        "sizes" => wish.sizes = value.split(',').map(some).collect::<Result<_, _>>()?,
        "recorded" => wish.recorded = Some(value),
        "jobs" => wish.jobs = some(&value)?,
        _ => {
            wish.passed.extend([format!("--{name}"), value.clone()]);
            let size = &mut wish.run.size;
            match name {
                "nodes" => size.nodes = some(&value)?,
                "postmasters" => size.postmasters = some(&value)?,
                "upstreams" => size.upstreams = some(&value)?,
                "services" => size.services = some(&value)?,
                "routes" => size.routes = some(&value)?,
                "regions" => size.regions = some(&value)?,
                "zones" => size.zones = some(&value)?,
                "seconds" => wish.run.window = Duration::from_secs(some(&value)? as u64),
                "settle" => wish.run.settle = Duration::from_secs(some(&value)? as u64),
                "seed" => wish.run.seed = number(&value)? as u64,
                "replicas" => wish.run.replicas = number(&value)?,
                "changing" => wish.run.load.changing_per_mille = number(&value)? as u64,
                "what" => wish.run.what = value,
                _ => return Err(format!("--{name} is unknown")),
            }
        }
    }
    Ok(())
}
