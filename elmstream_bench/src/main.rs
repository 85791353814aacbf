//! Program `elmstream_bench`: runs the measurement of elmstream that the command line selects.

use std::{net::SocketAddr, process::ExitCode};

use elmstream_bench::{
    analyze,
    cli::{self, Command},
    experiment,
    sizes::{KLOOFSIG, LEOBENTAL, User},
    slope, steering, trial,
};

fn main() -> ExitCode {
    let result = match cli::command().run() {
        Command::Trial => trial::run(),
        Command::Analyze { files } => analyze::read_files(&files)
            .map(|report| print!("{}", report.text()))
            .map_err(|error| error.to_string()),
        Command::Slope => {
            slope::run();
            Ok(())
        }
        Command::Latency => experiment::latency(),
        Command::Spread { hosts } => experiment::spread(hosts),
        Command::Steering { user, part } => {
            user_named(&user).and_then(|user| steering::run(user, part))
        }
        Command::Sample { user } => user_named(&user).map(print_sample),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("elmstream_bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn user_named(name: &str) -> Result<User, String> {
    match name {
        "leobental" => Ok(LEOBENTAL),
        "kloofsig" => Ok(KLOOFSIG),
        _ => Err("the users are leobental and kloofsig".into()),
    }
}

/// Prints a user's configuration, with an address of its own for each instance.
fn print_sample(user: User) {
    let mut number = 0u8;
    let configuration = user.configuration(|_| {
        number += 1;
        SocketAddr::from(([10, 9, 0, number], 8080))
    });
    println!("{}", configuration.to_text());
}
