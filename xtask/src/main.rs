//! Tasks of the repository.
//!
//! `cargo run -p xtask -- generate` writes the code for `proto/`; `check` only
//! tells whether the committed code is current.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

use std::{env, error::Error, fs, path::PathBuf, process::ExitCode};

/// The schema.
const SCHEMA: &str = "proto/operators.proto";
/// Where the generated code is kept.
const GENERATED: &str = "elmstream_proto/src/generated";
/// The generated file.
const FILE: &str = "elmstream.v1.rs";

fn main() -> ExitCode {
    let result = match env::args().nth(1).as_deref() {
        Some("generate") => generate(&PathBuf::from(GENERATED)),
        Some("check") => check(),
        _ => Err("usage: xtask generate | check".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Generates the code into a folder.
fn generate(out: &PathBuf) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(out)?;
    let files = protox::compile([SCHEMA], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).out_dir(out).compile_fds(files)?;
    Ok(())
}

/// Compares the committed code with what the schema gives.
fn check() -> Result<(), Box<dyn Error>> {
    let fresh = PathBuf::from("target/xtask");
    generate(&fresh)?;
    let same = fs::read(fresh.join(FILE))? == fs::read(PathBuf::from(GENERATED).join(FILE))?;
    if same {
        return Ok(());
    }
    Err("the generated code is not current: run `cargo run -p xtask -- generate`".into())
}
