//! Command-line options and commands of the tool. Their doc comments are its help text.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Operates elmstream
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Options {
    /// Connection to an entry host
    #[bpaf(external)]
    pub connection: Connection,
    /// Command to run
    #[bpaf(external)]
    pub command: Command,
}

/// Connection to an entry host. Commands that contact a host need all three options.
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// Address at which an entry host serves operators
    #[bpaf(env("ELMSTREAM_OPERATORS"), argument("ADDRESS"), optional)]
    pub host: Option<SocketAddr>,
    /// File with the certificate of the cluster authority, PEM
    #[bpaf(env("ELMSTREAM_AUTHORITY"), argument("FILE"), optional)]
    pub authority: Option<PathBuf>,
    /// File with the token of the operator
    #[bpaf(env("ELMSTREAM_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
}

/// Command to run.
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Replace the configuration
    #[bpaf(command)]
    Apply {
        /// Revision that the change is based on; the change is refused if it is not the newest one
        #[bpaf(argument("REVISION"))]
        expect: u64,
        /// Wait until the change is in force on every live host
        wait: bool,
        /// File with the configuration, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the configuration in force
    #[bpaf(command)]
    Get,
    /// Show the difference between a file and the configuration in force
    #[bpaf(command)]
    Diff {
        /// File with the configuration, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a configuration file without contacting a host
    #[bpaf(command)]
    Check {
        /// File with the configuration, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Drain a backend server, failure domain, region or entry host
    #[bpaf(command)]
    Drain {
        /// Kind of the target: backend-server, failure-domain, region or entry-host
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the target
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// End a drain
    #[bpaf(command)]
    Undrain {
        /// Kind of the target: backend-server, failure-domain, region or entry-host
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the target
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show hosts, services, owners and the resources that the daemon uses
    #[bpaf(command)]
    Status {
        /// Print as JSON
        json: bool,
    },
    /// Explain how a request was routed and why it ended as it did
    #[bpaf(command)]
    Explain {
        /// Find the request in this log of a host, instead of asking a host; - for standard input
        #[bpaf(argument("FILE"), optional)]
        log: Option<PathBuf>,
        /// Value of the header elmstream-request in the answer; with --log also the name of a
        /// service, to explain its roll-outs
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Explain the answer to a client's look-up
    #[bpaf(command)]
    Lookup {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// IP address of the client
        #[bpaf(positional("CLIENT"))]
        client: String,
    },
    /// Print the audit trail, newest first
    #[bpaf(command)]
    Audit {
        /// Maximum number of entries
        #[bpaf(fallback(20), argument("COUNT"))]
        limit: u32,
    },
    /// Create a cluster key and the certificate of its authority
    #[bpaf(command("new-key"))]
    NewKey {
        /// File to write the key to, PEM; it must not exist
        #[bpaf(positional("KEY"))]
        key: PathBuf,
        /// File to write the certificate to, PEM; it must not exist
        #[bpaf(positional("CERTIFICATE"))]
        certificate: PathBuf,
    },
}
