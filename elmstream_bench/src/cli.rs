//! The command line of the measurements.

use std::str::FromStr;

use bpaf::Bpaf;

/// A part of the measurements of a user's fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SteeringPart {
    /// Latency against an ideal queue and the baselines.
    Latency,
    /// Several times the capacity.
    Overload,
    /// Drains of an instance, a failure domain and an entry host.
    Drains,
    /// A region that fails.
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
    /// Tell what binds, from the JSON lines that hosts wrote
    #[bpaf(command)]
    Analyze {
        /// Files of lines, of any hosts
        #[bpaf(positional("FILE"), some("name a file of lines"))]
        files: Vec<String>,
    },
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
        /// latency, overload, drains or region; all of them without it
        #[bpaf(positional("PART"))]
        part: Option<SteeringPart>,
    },
    /// Print a user's configuration: leobental or kloofsig
    #[bpaf(command)]
    Sample {
        /// The user
        #[bpaf(positional("USER"))]
        user: String,
    },
}
