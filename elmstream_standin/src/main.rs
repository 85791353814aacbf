//! Runs one stand-in: `platform`, `backend` or `caller`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use compio::net::TcpListener;
use elmstream_http::Stopper;
use elmstream_standin::{
    backend::{self, Behaviour},
    caller::{self, LoadPlan},
    platform,
};

/// Stand-ins for what elmstream meets.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Table service, object store and host list.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        listen: SocketAddr,
    },
    /// A backend server.
    #[bpaf(command)]
    Backend {
        /// Address to listen on.
        listen: SocketAddr,
        /// Its name, in its answers.
        name: String,
        /// Time to run a request, in milliseconds.
        #[bpaf(fallback(2))]
        run_ms: u64,
    },
    /// A caller that loads and prints a report.
    #[bpaf(command)]
    Caller {
        /// An entry host to ask for look-ups.
        ask: Vec<SocketAddr>,
        /// Where to send without look-ups.
        target: Vec<SocketAddr>,
        /// The service.
        service: String,
        /// Requests in a second.
        #[bpaf(fallback(100))]
        per_second: u32,
        /// How long, in seconds.
        #[bpaf(fallback(5))]
        seconds: u64,
        /// Sends requests that may not be repeated.
        post: bool,
        /// Bytes of each request's body.
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
            let load = LoadPlan {
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
            let report = caller::run(load).await;
            println!("{}", serde_json::to_string_pretty(&report.summary())?);
            Ok(())
        }
    }
}
