//! Metrics: the Prometheus page, and what the daemon uses for control.

use std::{fs, sync::OnceLock};

use elmstream_http::{LocalBody, body};
use http::Response;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The recorder of this process, started once.
fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok()).as_ref()
}

/// Starts the recorder.
pub fn start() {
    recorder();
}

/// The page at `/metrics`.
pub fn page() -> Response<LocalBody> {
    let text = recorder().map(PrometheusHandle::render).unwrap_or_default();
    Response::new(body::full(text))
}

/// What the process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time, in microseconds.
    pub processor_us: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Microseconds of a clock tick in `/proc`; Linux fixes it to 100 a second.
const TICK_US: u64 = 10_000;
/// Bytes of a page in `/proc`.
const PAGE: u64 = 4_096;

/// Reads the process's use from `/proc`.
pub fn process_usage() -> ProcessUsage {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let field = |index: usize| -> u64 {
        let field = after_name.split(' ').nth(index);
        field.and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    // Fields 14 and 15 of the page are user and system time; 24 is the
    // resident set in pages. The name and the two before it are cut off.
    let (user, system, resident) = (field(11), field(12), field(21));
    ProcessUsage { processor_us: (user + system) * TICK_US, resident_bytes: resident * PAGE }
}
