//! Errors of settings and configuration, with their numbers.

use std::path::PathBuf;

use elmstream::code::Code;
use snafu::Snafu;

/// A fault in settings or in a configuration.
///
/// A `path` is the JSON path of the faulty key.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("E3001 cannot read {}: {source}", path.display()))]
    SettingsUnreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A setting is unknown, missing or invalid.
    #[snafu(display("E3002 {path}: {reason}"))]
    SettingsInvalid {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// An address is malformed.
    #[snafu(display("E3003 {path}: {reason}"))]
    SettingsAddress {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// A file named in the settings cannot be opened.
    #[snafu(display("E3004 {path}: {reason}"))]
    SettingsFile {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// The configuration does not contain the host's failure domain.
    #[snafu(display("E3005 failure_domain: the configuration has no failure domain {name:?}"))]
    SettingsDomain {
        /// The failure domain of the settings.
        name: String,
    },
    /// The configuration is not JSON of the expected form.
    #[snafu(display("E3101 {path}: {reason}"))]
    Syntax {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// Two entities of one kind have the same name.
    #[snafu(display("E3102 {path}: duplicate name {name:?}"))]
    Duplicate {
        /// The path of the table.
        path: String,
        /// The name.
        name: String,
    },
    /// An entity refers to one that does not exist.
    #[snafu(display("E3103 {path}: {kind} {name:?} does not exist"))]
    Reference {
        /// The path of the key.
        path: String,
        /// Kind of the missing entity.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A value is out of its range.
    #[snafu(display("E3104 {path}: {reason}"))]
    Range {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// Two sites have the same block.
    #[snafu(display("E3105 {path}: block {block} already belongs to site {other:?}"))]
    Overlap {
        /// The path of the key.
        path: String,
        /// The block.
        block: String,
        /// Name of the other site.
        other: String,
    },
}

impl Error {
    /// Returns the result code, which holds the error's number.
    pub fn code(&self) -> Code {
        match self {
            Error::SettingsUnreadable { .. } => Code::SettingsUnreadable,
            Error::SettingsInvalid { .. } => Code::SettingsInvalid,
            Error::SettingsAddress { .. } => Code::SettingsAddress,
            Error::SettingsFile { .. } => Code::SettingsFile,
            Error::SettingsDomain { .. } => Code::SettingsDomain,
            Error::Syntax { .. } => Code::ConfigurationSyntax,
            Error::Duplicate { .. } => Code::ConfigurationDuplicate,
            Error::Reference { .. } => Code::ConfigurationReference,
            Error::Range { .. } => Code::ConfigurationRange,
            Error::Overlap { .. } => Code::ConfigurationOverlap,
        }
    }
}
