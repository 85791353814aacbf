//! Command-line options of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Entry host daemon of elmstream: routes requests to backend servers
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings file, JSON
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings file and exit
    pub check: bool,
}
