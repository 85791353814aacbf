//! Program `elmstream_standin`: runs one stand-in, `platform`, `backend` or `caller`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use compio::net::TcpListener;
use elmstream_http::Stopper;
use elmstream_standin::{
    backend::{self, Behaviour},
    caller::{self, LoadPlan},
    platform,
};

/// Stand-ins for the systems around elmstream, for tests and load runs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Run the platform's table service, object store and host list.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        listen: SocketAddr,
    },
    /// Run a backend server.
    #[bpaf(command)]
    Backend {
        /// Address to listen on.
        listen: SocketAddr,
        /// Name that it gives in its answers.
        name: String,
        /// Time to run a request, in milliseconds.
        #[bpaf(fallback(2))]
        run_ms: u64,
    },
    /// Generate load and print a report.
    #[bpaf(command)]
    Caller {
        /// Entry host for look-ups; may be repeated.
        ask: Vec<SocketAddr>,
        /// Address to send to without look-ups; may be repeated.
        target: Vec<SocketAddr>,
        /// Name of the service.
        service: String,
        /// Requests per second.
        #[bpaf(fallback(100))]
        per_second: u32,
        /// Duration, in seconds.
        #[bpaf(fallback(5))]
        seconds: u64,
        /// Send POST requests, which may not be repeated.
        post: bool,
        /// Size of each request's body, in bytes.
        #[bpaf(fallback(0))]
        body_bytes: usize,
    },
}

#[compio::main]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("elmstream_standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> std::io::Result<()> {
    let (_stopper, stop) = Stopper::new();
    match command {
        Command::Platform { listen } => {
            platform::serve(TcpListener::bind(listen).await?, stop).await
        }
        Command::Backend { listen, name, run_ms } => {
            let behaviour = Behaviour { run_ms, ..Behaviour::default() };
            backend::serve(TcpListener::bind(listen).await?, name, behaviour, stop).await
        }
        Command::Caller { ask, target, service, per_second, seconds, post, body_bytes } => {
            let plan = LoadPlan {
                lookup_hosts: ask,
                targets: target,
                service,
                per_second,
                duration: Duration::from_secs(seconds),
                method: if post { http::Method::POST } else { http::Method::GET },
                body_bytes,
                id_prefix: format!("{:x}", std::process::id()),
                ..LoadPlan::default()
            };
            let report = caller::run(plan).await;
            println!("{}", serde_json::to_string_pretty(&report.summary())?);
            Ok(())
        }
    }
}
