//! The command line of the measurements.

use bpaf::Bpaf;

/// Measures elmstream
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub enum Command {
    /// Run the guided trial: the whole path in one process, with a report
    #[bpaf(command)]
    Trial,
    /// Print the capacity slopes
    #[bpaf(command)]
    Slope,
    /// Print a user's configuration: leobental or kloofsig
    #[bpaf(command)]
    Sample {
        /// The user
        #[bpaf(positional("USER"))]
        user: String,
    },
}
