//! Command line of the fault soak: runs a soak, or one of the hosts that a soak starts.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Parser, construct, long, positional, pure};
use compio::runtime::Runtime;
use elmstream_soak::{host, soak};

/// What the program was asked to run.
enum Command {
    Soak(soak::Options),
    Host(PathBuf, SocketAddr),
}

fn command() -> impl Parser<Command> {
    let settings = positional("SETTINGS");
    let store = positional("STORE");
    let host = construct!(Command::Host(settings, store)).to_options();
    let host = host.command("host").help("Runs one entry host; a soak starts these itself");
    let seed = long("seed").help("Seed of the random faults").argument("N").fallback(1);
    let seconds =
        long("seconds").help("Seconds during which faults are injected").argument("N").fallback(20);
    let processes = long("processes").help("Number of entry hosts").argument("N").fallback(5);
    let broken = long("break")
        .help(
            "Breaks a rule on purpose, to test that the checks detect it: once, back, mixed, lost, name, \
             key, limit, harm, exposure, rolled_back, completed, era, rest, need, leave, removed or home",
        )
        .argument("RULE")
        .optional();
    let program = pure(None);
    let soak =
        construct!(soak::Options { seed, seconds, processes, broken, program }).map(Command::Soak);
    construct!([host, soak])
}

fn main() -> ExitCode {
    let command = command()
        .to_options()
        .descr("Runs real entry hosts under random faults and checks their guarantees")
        .run();
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("elmstream_soak: {error}");
            return ExitCode::FAILURE;
        }
    };
    match command {
        Command::Host(settings, store) => match runtime.block_on(host::run(settings, store)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("elmstream_soak host: {error}");
                ExitCode::FAILURE
            }
        },
        Command::Soak(options) => {
            let report =
                runtime.block_on(soak::run(&options, Duration::from_secs(options.seconds)));
            println!("{report}");
            if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
    }
}
