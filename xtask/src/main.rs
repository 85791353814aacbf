//! Repository tasks.
//!
//! `cargo run -p xtask -- generate` generates the code of `proto/`; `check` fails
//! if the committed code differs from what would be generated.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

use std::{env, error::Error, fs, path::PathBuf, process::ExitCode};

/// Schema of the operator RPCs.
const SCHEMA: &str = "proto/operators.proto";
/// Folder of the committed generated code.
const GENERATED_DIR: &str = "elmstream_proto/src/generated";
/// Name of the generated file.
const GENERATED_FILE: &str = "elmstream.v1.rs";

fn main() -> ExitCode {
    let result = match env::args().nth(1).as_deref() {
        Some("generate") => generate(&PathBuf::from(GENERATED_DIR)),
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

/// Generates the code into folder `out`, which is created if needed.
fn generate(out: &PathBuf) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(out)?;
    let files = protox::compile([SCHEMA], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).out_dir(out).compile_fds(files)?;
    Ok(())
}

/// Returns an error if the committed code differs from newly generated code.
fn check() -> Result<(), Box<dyn Error>> {
    let check_dir = PathBuf::from("target/xtask");
    generate(&check_dir)?;
    let is_current = fs::read(check_dir.join(GENERATED_FILE))?
        == fs::read(PathBuf::from(GENERATED_DIR).join(GENERATED_FILE))?;
    if is_current {
        return Ok(());
    }
    Err("the generated code is outdated: run `cargo run -p xtask -- generate`".into())
}
