//! One program over the packages that test the load balancer: the simulator, the model checker, the scale model and the
//! testbed of real processes.

mod arguments;
mod commands;
mod help;

use arguments::Command;

/// A rule was broken, or the fleet didn't get ready.
const FAILURE: i32 = 1;
/// The arguments were rejected.
const USAGE_ERROR: i32 = 2;

#[tokio::main]
async fn main() {
    // This one reads its own arguments.
    if std::env::args().nth(1).is_some_and(|name| name == "hollow") {
        std::process::exit(scale_model::command());
    }
    let succeeded = match arguments::read() {
        Ok(command) => run(command).await,
        Err(error) => {
            eprintln!("test-harness: {error}; see --help");
            std::process::exit(USAGE_ERROR);
        }
    };
    std::process::exit(if succeeded { 0 } else { FAILURE });
}

/// Runs a command; true where it succeeded and no rule was broken.
async fn run(command: Command) -> bool {
    match command {
        Command::Help => return help::print(),
        Command::Version => {
            return transport::print_line(&format!("test-harness {}", env!("CARGO_PKG_VERSION")));
        }
        Command::Overload => simulator::overload::all(),
        Command::Changes(trial) => scale_model::changes::measure(trial),
        Command::Fleet(run) => return testbed::runs::fleet(run).await,
        Command::Soak(options) => return testbed::soak::run(options).await,
        Command::Measure => return commands::measure::run().await,
        Command::Explore(exploration) => return commands::explore::run(&exploration),
        Command::Sim(sim) => return simulator::seeds::run(&sim),
    }
    true
}
