//! The daemon's command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// elmstream's daemon: steers requests to backend servers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Options {
    /// File with the settings, JSON
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}
