//! The operators' command-line tool.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

mod cli;
mod command;
mod connection;
mod error;
mod output;

use std::process::ExitCode;

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
