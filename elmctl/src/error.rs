//! Errors of the tool with their numbers, and exit statuses.

// The display texts of the variants explain their fields.
#![allow(missing_docs)]

use std::{io, path::PathBuf};

use elmstream::code::Code;
use snafu::Snafu;

/// Exit status for wrong usage or an invalid file.
const EXIT_USAGE: u8 = 2;
/// Exit status for a change that conflicts with another one.
const EXIT_CONFLICT: u8 = 3;
/// Exit status if it is unknown whether a change took effect.
const EXIT_UNKNOWN: u8 = 4;
/// Exit status for all other errors.
const EXIT_FAILURE: u8 = 1;

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("E4003 {}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    /// A configuration is invalid.
    #[snafu(display("{source}"))]
    Configuration { source: elmstream_config::Error },
    /// A required option is missing or has an unusable value.
    #[snafu(display("E4003 the option --{option} is required"))]
    Missing { option: &'static str },
    /// A key or certificate cannot be used.
    #[snafu(display("E4003 {source}"))]
    Identity { source: elmstream_proto::identity::Error },
    /// The entry host cannot be reached.
    #[snafu(display("E4001 the entry host cannot be reached: {reason}"))]
    Unreachable { reason: String },
    /// The daemon refused the call, or its reply was malformed.
    #[snafu(display("{reason}"))]
    Refused { reason: String },
    /// The daemon replied with an error code.
    #[snafu(display("E{} {message}", code.number()))]
    Coded { code: Code, message: String },
}

impl Error {
    /// Exit status of the process.
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

/// Builds the error for a code number; an unknown number becomes [`Code::OperatorReply`].
pub fn coded(number: u32, message: String) -> Error {
    let code = u16::try_from(number).ok().and_then(Code::from_number);
    Error::Coded { code: code.unwrap_or(Code::OperatorReply), message }
}
