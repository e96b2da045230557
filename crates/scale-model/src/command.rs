//! The command: one run, or a grid of them with their fits.

use super::encoded_sizes::encoded_sizes;
use super::figures::Figures;
use super::fit::fit;
use super::fleet::Load;
use super::request;
use super::size::{CURRENT_SIZE, Size, TARGET_SIZE};
use super::trials::{Run, SETTLING_TIME, TRIALS, run};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::Duration;

const HELP: &str = "test-harness hollow runs many hollow nodes, the daemons' own cores, in one process and in virtual time.

usage: test-harness hollow [--nodes N] [--postmasters P] [--upstreams U] [--services S] [--routes R] [--regions G]
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

struct Arguments {
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
    let done = read().and_then(|arguments| arguments.map_or(Ok(()), |arguments| act(&arguments)));
    done.map_or_else(
        |text| {
            eprintln!("test-harness: {text}; see test-harness hollow --help");
            2
        },
        |()| 0,
    )
}

fn act(arguments: &Arguments) -> Result<(), String> {
    match &arguments.grid {
        Some(grid) if arguments.recorded.is_some() => {
            recorded(grid, arguments.recorded.as_deref().unwrap_or_default())
        }
        Some(grid) => run_grid(grid, arguments),
        None => {
            let figures = one(&arguments.run)?;
            println!(
                "what={} seed={} {} {figures}",
                arguments.run.what, arguments.run.seed, arguments.run.size
            );
            Ok(())
        }
    }
}

fn one(arguments: &Run) -> Result<Figures, String> {
    match arguments.what.as_str() {
        "request" => Ok(request::measure_request_path(&arguments.size)),
        "ways" => Ok(encoded_sizes(&arguments.size)),
        _ => run(arguments),
    }
}

/// Which number of the site a grid varies.
fn dimension(size: &mut Size, grid: &str) -> Result<Option<usize>, String> {
    let known: [(&str, &mut usize); 5] = [
        ("nodes", &mut size.nodes),
        ("postmasters", &mut size.control_nodes),
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

fn run_grid(grid: &str, arguments: &Arguments) -> Result<(), String> {
    dimension(&mut arguments.run.size.clone(), grid)?;
    let program = std::env::current_exe().map_err(|failure| failure.to_string())?;
    let flags = |n: usize| -> Vec<String> {
        if grid == "all" {
            let Size {
                nodes,
                control_nodes,
                upstreams,
                services,
                routes,
                regions,
                zones,
            } = Size::shrunk(n);
            let all = [
                ("nodes", nodes),
                ("postmasters", control_nodes),
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
    for sizes in arguments.sizes.chunks(arguments.jobs) {
        let started: Vec<_> = sizes
            .iter()
            .map(|n| {
                let mut command = Command::new(&program);
                command
                    .arg("hollow")
                    .args(&arguments.passed)
                    .args(flags(*n));
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
    dimension(&mut CURRENT_SIZE.clone(), grid)?;
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
        "upstreams" => TARGET_SIZE.upstreams,
        "routes" => TARGET_SIZE.routes,
        "services" => TARGET_SIZE.services,
        "postmasters" => TARGET_SIZE.control_nodes,
        _ => TARGET_SIZE.nodes,
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

fn read() -> Result<Option<Arguments>, String> {
    let run = Run {
        size: CURRENT_SIZE,
        window: Duration::from_secs(10),
        seed: 1,
        what: "idle".into(),
        load: Load::default(),
        settle: SETTLING_TIME,
        replicas: 0,
        kinds: false,
    };
    let mut arguments = Arguments {
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
                arguments.run.load.cold = true;
                arguments.passed.push("--cold".into());
                continue;
            }
            Long("kinds") => {
                arguments.run.kinds = true;
                arguments.passed.push("--kinds".into());
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
        take(&mut arguments, &name, value)?;
    }
    Ok(Some(arguments))
}

fn take(arguments: &mut Arguments, name: &str, value: String) -> Result<(), String> {
    let number = |value: &str| {
        value
            .parse::<usize>()
            .map_err(|_| format!("--{name} '{value}'"))
    };
    let some = |value: &str| {
        number(value).and_then(|n| Some(n).filter(|n| *n > 0).ok_or(format!("--{name} 0")))
    };
    match name {
        "grid" => arguments.grid = Some(value),
        "sizes" => arguments.sizes = value.split(',').map(some).collect::<Result<_, _>>()?,
        "recorded" => arguments.recorded = Some(value),
        "jobs" => arguments.jobs = some(&value)?,
        _ => {
            arguments
                .passed
                .extend([format!("--{name}"), value.clone()]);
            let size = &mut arguments.run.size;
            match name {
                "nodes" => size.nodes = some(&value)?,
                "postmasters" => size.control_nodes = some(&value)?,
                "upstreams" => size.upstreams = some(&value)?,
                "services" => size.services = some(&value)?,
                "routes" => size.routes = some(&value)?,
                "regions" => size.regions = some(&value)?,
                "zones" => size.zones = some(&value)?,
                "seconds" => arguments.run.window = Duration::from_secs(some(&value)? as u64),
                "settle" => arguments.run.settle = Duration::from_secs(some(&value)? as u64),
                "seed" => arguments.run.seed = number(&value)? as u64,
                "replicas" => arguments.run.replicas = number(&value)?,
                "changing" => arguments.run.load.changing_per_mille = number(&value)? as u64,
                "what" => arguments.run.what = value,
                _ => return Err(format!("--{name} is unknown")),
            }
        }
    }
    Ok(())
}
