//! The tool's command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Operates elmstream
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Options {
    /// How an entry host is reached
    #[bpaf(external)]
    pub connection: Connection,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// How an entry host is reached.
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// An entry host's operators' address
    #[bpaf(env("ELMSTREAM_OPERATORS"), argument("ADDRESS"), optional)]
    pub host: Option<SocketAddr>,
    /// File with the cluster authority's certificate, PEM
    #[bpaf(env("ELMSTREAM_AUTHORITY"), argument("FILE"), optional)]
    pub authority: Option<PathBuf>,
    /// File with the operator's token
    #[bpaf(env("ELMSTREAM_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
}

/// What to do.
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Replace the configuration
    #[bpaf(command)]
    Apply {
        /// The revision that the change is based on
        #[bpaf(argument("REVISION"))]
        expect: u64,
        /// Wait until it is in force on every live host
        wait: bool,
        /// File with the configuration, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the configuration in force
    #[bpaf(command)]
    Get,
    /// Show what a file would change
    #[bpaf(command)]
    Diff {
        /// File with the configuration, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a configuration without any host
    #[bpaf(command)]
    Check {
        /// File with the configuration, JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Drain a backend server, failure domain, region or entry host
    #[bpaf(command)]
    Drain {
        /// backend-server, failure-domain, region or entry-host
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// End a drain
    #[bpaf(command)]
    Undrain {
        /// backend-server, failure-domain, region or entry-host
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show hosts, services, owners and what control uses
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
    },
    /// Tell why a request went where it did
    #[bpaf(command)]
    Explain {
        /// A host's log to look the request up in, instead of asking a host; - for
        /// standard input
        #[bpaf(argument("FILE"), optional)]
        log: Option<PathBuf>,
        /// The value of elmstream-request in the answer
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Tell what a look-up answers to a client, and why
    #[bpaf(command)]
    Lookup {
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// The client's IP number
        #[bpaf(positional("CLIENT"))]
        client: String,
    },
    /// Print the audit trail, newest first
    #[bpaf(command)]
    Audit {
        /// Entries at most
        #[bpaf(fallback(20), argument("COUNT"))]
        limit: u32,
    },
    /// Make a cluster key and its authority's certificate
    #[bpaf(command("new-key"))]
    NewKey {
        /// File for the key, PEM; must not exist
        #[bpaf(positional("KEY"))]
        key: PathBuf,
        /// File for the certificate, PEM; must not exist
        #[bpaf(positional("CERTIFICATE"))]
        certificate: PathBuf,
    },
}
