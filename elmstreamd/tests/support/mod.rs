//! Runs tests against a small fleet, and sends requests to it.

use std::{
    env,
    io::{self, Write},
    panic, process,
    sync::atomic::{AtomicU32, Ordering},
    thread,
};

use compio::runtime::Runtime;
use elmstream_bench::{
    fleet::{Answer, Fleet, send},
    operator::Operator,
    small,
};
use elmstream_http::body;
use elmstream_standin::platform::Faults;
use http::{Method, Request};

/// A running fleet with a connected operator.
pub struct Running {
    pub fleet: Fleet,
    pub operator: Operator,
    pub configuration: elmstream_config::Configuration,
}

/// Writes panic messages to standard error, past the capture of the test harness.
///
/// The runtime aborts the process when a panic unwinds through one of its handles, and captured
/// output would be lost.
pub fn show_panics() {
    panic::set_hook(Box::new(|panic| {
        let name = thread::current().name().unwrap_or("a thread").to_owned();
        let _ = writeln!(io::stderr(), "{name}: {panic}");
    }));
}

/// Starts a fleet with a changed configuration, runs a test against it, and stops it.
pub fn with_fleet(
    change: impl FnOnce(&mut elmstream_config::Configuration),
    test: impl AsyncFnOnce(&mut Running),
) {
    show_panics();
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("elmstream-test-{}-{number}", process::id()));
    let mut fleet = Fleet::new(&folder).unwrap();
    Runtime::new().unwrap().block_on(async {
        let mut configuration = small::start_fleet(&mut fleet);
        change(&mut configuration);
        let operator = small::make_ready(&fleet, &configuration).await.unwrap();
        let mut running = Running { fleet, operator, configuration };
        test(&mut running).await;
        for part in ["rows", "objects", "hosts"] {
            running.fleet.set_faults(part, &Faults::default()).await.unwrap();
        }
        running.fleet.stop().unwrap();
    });
    std::fs::remove_dir_all(folder).unwrap();
}

impl Running {
    /// Sends a request to the entry host with this index.
    pub async fn send_to(
        &self,
        host: usize,
        request: Request<elmstream_http::LocalBody>,
    ) -> Answer {
        let address = self.fleet.hosts[host].settings.listen.callers;
        send(address, request).await.unwrap()
    }

    /// Number of requests that a backend server has run.
    pub async fn runs(&self, backend: usize) -> u64 {
        self.fleet.seen(backend).await.unwrap().runs
    }
}

/// Builds a request to a service with a request id.
pub fn request(method: Method, service: &str, id: &str) -> Request<elmstream_http::LocalBody> {
    with_headers(method, service, &[("elmstream-request-id", id)])
}

/// Builds a request to a service with additional headers.
pub fn with_headers(
    method: Method,
    service: &str,
    headers: &[(&str, &str)],
) -> Request<elmstream_http::LocalBody> {
    let body = match method {
        Method::POST => body::full("order"),
        _ => body::empty(),
    };
    let mut request = Request::builder()
        .method(method)
        .uri("/")
        .header("host", "test")
        .header("elmstream-service", service);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(body).unwrap()
}
