//! Program `elmstreamd`: runs the daemon of one entry host.

use std::process::ExitCode;

use elmstream_config::Settings;
use elmstreamd::{cli, lifecycle, logging};

/// Exit status if the settings file cannot be read or is invalid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = cli::options().run();
    let settings = match Settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("elmstreamd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("elmstreamd: the settings are valid");
        return ExitCode::SUCCESS;
    }
    logging::start(&settings.logging.level);
    match lifecycle::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("elmstreamd: {error}");
            ExitCode::FAILURE
        }
    }
}
