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
    /// Measure added latency and throughput of one entry host
    #[bpaf(command)]
    Latency,
    /// Measure control at rest and the spread of changes
    #[bpaf(command)]
    Spread {
        /// Daemons
        #[bpaf(positional("HOSTS"))]
        hosts: usize,
    },
    /// Measure a user's fleet under load: leobental or kloofsig
    #[bpaf(command)]
    Steering {
        /// The user
        #[bpaf(positional("USER"))]
        user: String,
    },
    /// Print a user's configuration: leobental or kloofsig
    #[bpaf(command)]
    Sample {
        /// The user
        #[bpaf(positional("USER"))]
        user: String,
    },
}
