//! Errors of the tool, each with its number, and the exit statuses.

// The variants' texts say what their fields are.
#![allow(missing_docs)]

use std::{io, path::PathBuf};

use elmstream::code::Code;
use snafu::Snafu;

/// Exit status for bad usage or a bad file.
const EXIT_USAGE: u8 = 2;
/// Exit status for a conflict with another change.
const EXIT_CONFLICT: u8 = 3;
/// Exit status where it is not known whether a change took effect.
const EXIT_UNKNOWN: u8 = 4;
/// Exit status for everything else.
const EXIT_FAILURE: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("E4003 {}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    /// A configuration does not pass its checks.
    #[snafu(display("{source}"))]
    Configuration { source: elmstream_config::Error },
    /// An option that the command needs is missing.
    #[snafu(display("E4003 the option --{option} is needed"))]
    Missing { option: &'static str },
    /// A key or certificate cannot be used.
    #[snafu(display("E4003 {source}"))]
    Identity { source: elmstream_proto::identity::Error },
    /// The entry host cannot be reached.
    #[snafu(display("E4001 the operators' address cannot be reached: {reason}"))]
    Unreachable { reason: String },
    /// The daemon refused the call or its reply was malformed.
    #[snafu(display("{reason}"))]
    Refused { reason: String },
    /// The daemon answered with a code.
    #[snafu(display("E{} {message}", code.number()))]
    Coded { code: Code, message: String },
}

impl Error {
    /// The process's exit status.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::File { .. } | Error::Configuration { .. } | Error::Missing { .. } => EXIT_USAGE,
            Error::Coded { code: Code::RevisionConflict, .. } => EXIT_CONFLICT,
            Error::Coded { code: Code::ChangeUnknown | Code::WaitTimeout, .. } => EXIT_UNKNOWN,
            Error::Coded { code, .. } if code.http_status() == 400 => EXIT_USAGE,
            _ => EXIT_FAILURE,
        }
    }
}

/// The code with this number, as an error with its message.
pub fn coded(number: u32, message: String) -> Error {
    let code = u16::try_from(number).ok().and_then(Code::from_number);
    Error::Coded { code: code.unwrap_or(Code::OperatorReply), message }
}
