//! Program `elmctl`: runs one command of the operators' command-line tool.

use std::process::ExitCode;

use elmctl::{cli, command};

#[compio::main]
async fn main() -> ExitCode {
    let options = cli::options().run();
    match command::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("elmctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
