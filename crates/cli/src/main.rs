//! Entry point of `mothspindlectl`; the library of this package does the work.

use cli::arguments::{Arguments, Invocation};
use cli::{CliError, ExitCode, PROGRAM, commands, output};

#[tokio::main]
async fn main() {
    let exit_code = match run().await {
        Ok(exit_code) => exit_code,
        Err(error) => {
            output::print_error(&error);
            error.exit_code()
        }
    };
    std::process::exit(exit_code.number());
}

async fn run() -> Result<ExitCode, CliError> {
    match Arguments::from_command_line()? {
        Invocation::Help => output::print(cli::help::HELP),
        Invocation::Version => {
            output::print(format_args!("{PROGRAM} {}", env!("CARGO_PKG_VERSION")))
        }
        Invocation::Run(arguments) => return commands::run(&arguments).await,
    }
    Ok(ExitCode::Success)
}
