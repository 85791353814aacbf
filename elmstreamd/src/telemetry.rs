//! Metrics in the Prometheus text format, and the processor time and memory of the process.

use std::{fs, sync::OnceLock};

use elmstream_http::{LocalBody, body};
use http::Response;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The process's metrics recorder, installed at the first call. `None` if another one is installed.
fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok()).as_ref()
}

/// Installs the process's metrics recorder; later calls have no effect.
pub fn start() {
    recorder();
}

/// Response for `/metrics`: all metrics in the Prometheus text format.
pub fn page() -> Response<LocalBody> {
    let text = recorder().map(PrometheusHandle::render).unwrap_or_default();
    Response::new(body::full(text))
}

/// Resources that the process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time since the process started, user and system, in microseconds.
    pub processor_us: u64,
    /// Resident memory now, in bytes.
    pub resident_bytes: u64,
}

/// Microseconds of a clock tick in `/proc`, which Linux fixes to 100 ticks a second.
const TICK_US: u64 = 10_000;
/// Bytes of a memory page, the unit of the resident set in `/proc`.
const PAGE_BYTES: u64 = 4_096;

/// Reads the resources that the process uses from `/proc`; all zero if that fails.
pub fn process_usage() -> ProcessUsage {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let field = |index: usize| -> u64 {
        let field = after_name.split(' ').nth(index);
        field.and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    // Fields 14 and 15 of the line are user and system time, 24 is the resident set in pages.
    // Indexes start at field 3, as the process id and the name are cut off.
    let (user, system, resident) = (field(11), field(12), field(21));
    ProcessUsage { processor_us: (user + system) * TICK_US, resident_bytes: resident * PAGE_BYTES }
}
