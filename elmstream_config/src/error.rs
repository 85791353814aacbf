//! Errors of settings and configuration, each with its number.

use std::path::PathBuf;

use elmstream::code::Code;
use snafu::Snafu;

/// What is wrong with settings or a configuration.
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
    /// A setting is unknown, missing or of the wrong form.
    #[snafu(display("E3002 {path}: {reason}"))]
    SettingsInvalid {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// An address cannot be used.
    #[snafu(display("E3003 {path}: {reason}"))]
    SettingsAddress {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// A file named in the settings cannot be used.
    #[snafu(display("E3004 {path}: {reason}"))]
    SettingsFile {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// The configuration does not know the failure domain of the settings.
    #[snafu(display("E3005 failure_domain: the configuration knows no failure domain {name:?}"))]
    SettingsDomain {
        /// The failure domain.
        name: String,
    },
    /// The configuration is not JSON of the documented form.
    #[snafu(display("E3101 {path}: {reason}"))]
    Syntax {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// Two entities of one kind have the same name.
    #[snafu(display("E3102 {path}: the name {name:?} stands twice"))]
    Duplicate {
        /// The path of the table.
        path: String,
        /// The name.
        name: String,
    },
    /// An entity refers to one that does not exist.
    #[snafu(display("E3103 {path}: there is no {kind} {name:?}"))]
    Reference {
        /// The path of the key.
        path: String,
        /// The kind of the entity.
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
    /// Two sites claim the same block.
    #[snafu(display("E3105 {path}: the block {block} belongs to site {other:?} already"))]
    Overlap {
        /// The path of the key.
        path: String,
        /// The block.
        block: String,
        /// The other site.
        other: String,
    },
}

impl Error {
    /// The error's number.
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
