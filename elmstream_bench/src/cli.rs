//! Command line of the measurements.

use std::str::FromStr;

use bpaf::Bpaf;

/// A part of the measurements of a user's fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SteeringPart {
    /// Latency compared with an ideal queue and with baselines.
    Latency,
    /// Load at several times the capacity.
    Overload,
    /// Drains of an instance, of a failure domain and of an entry host.
    Drains,
    /// Failure of a region.
    Region,
}

impl FromStr for SteeringPart {
    type Err = String;

    fn from_str(name: &str) -> Result<SteeringPart, String> {
        match name {
            "latency" => Ok(SteeringPart::Latency),
            "overload" => Ok(SteeringPart::Overload),
            "drains" => Ok(SteeringPart::Drains),
            "region" => Ok(SteeringPart::Region),
            _ => Err("the parts are latency, overload, drains and region".into()),
        }
    }
}

/// Measures elmstream
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub enum Command {
    /// Run the guided trial: the whole path in one process, with a report
    #[bpaf(command)]
    Trial,
    /// Summarize event logs of hosts, to show what limits requests
    #[bpaf(command)]
    Analyze {
        /// Files with event logs, of any hosts
        #[bpaf(positional("FILE"), some("name a file of lines"))]
        files: Vec<String>,
    },
    /// Print the capacity slopes
    #[bpaf(command)]
    Slope,
    /// Measure added latency and throughput of one entry host
    #[bpaf(command)]
    Latency,
    /// Measure idle control traffic and the time until changes are in force
    #[bpaf(command)]
    Spread {
        /// Number of daemons
        #[bpaf(positional("HOSTS"))]
        hosts: usize,
    },
    /// Measure a user's fleet under load: leobental or kloofsig
    #[bpaf(command)]
    Steering {
        /// Name of the user
        #[bpaf(positional("USER"))]
        user: String,
        /// latency, overload, drains or region; all of them by default
        #[bpaf(positional("PART"))]
        part: Option<SteeringPart>,
    },
    /// Print a user's configuration: leobental or kloofsig
    #[bpaf(command)]
    Sample {
        /// Name of the user
        #[bpaf(positional("USER"))]
        user: String,
    },
}
