//! Runs one measurement.

use std::{net::SocketAddr, process::ExitCode};

use elmstream_bench::{
    cli::{self, Command},
    experiment,
    sizes::{KLOOFSIG, LEOBENTAL},
    slope, trial,
};

fn main() -> ExitCode {
    let result = match cli::command().run() {
        Command::Trial => trial::run(),
        Command::Slope => {
            slope::run();
            Ok(())
        }
        Command::Latency => experiment::latency(),
        Command::Spread { hosts } => experiment::spread(hosts),
        Command::Sample { user } => sample(&user),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("elmstream_bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a configuration with addresses of one host per instance.
fn sample(user: &str) -> Result<(), String> {
    let user = match user {
        "leobental" => LEOBENTAL,
        "kloofsig" => KLOOFSIG,
        _ => return Err("the users are leobental and kloofsig".into()),
    };
    let mut number = 0u8;
    let configuration = user.configuration(|_| {
        number += 1;
        SocketAddr::from(([10, 9, 0, number], 8080))
    });
    println!("{}", configuration.to_text());
    Ok(())
}
