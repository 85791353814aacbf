//! Entry hosts as child processes of a soak. Only the soak that started a host signals or kills
//! it.

use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
};

use http::HeaderMap;

use crate::{homes, world};

/// Time between the stop signal and the end of new connections.
pub const STOP_NOTICE_MS: u64 = 300;
/// Time limit for a planned stop.
const STOP_GRACE_MS: u64 = 3_000;
/// Memory that a host may hold, and its file descriptors.
pub const HOST_MEMORY_BYTES: u64 = 64 << 20;
const HOST_FILE_DESCRIPTORS: u64 = 4_096;
/// Number of hosts that starting hosts contact first.
pub const SEED_HOSTS: usize = 3;

/// Prefix of the header in which a host tells a backend server's id; the host's index follows, so that
/// servers know which host sent a request.
const SERVER_HEADER_PREFIX: &str = "elmstream-server-of-host-";

/// The id of the backend server that a request is for, and the index of the host that sent it.
pub fn server_and_sender(headers: &HeaderMap) -> (String, usize) {
    let own = headers.iter().find_map(|(name, value)| {
        let sender = name.as_str().strip_prefix(SERVER_HEADER_PREFIX)?.parse().ok()?;
        Some((value.to_str().ok()?.to_owned(), sender))
    });
    own.unwrap_or_default()
}

/// Identifies a host of a soak.
#[derive(Clone, Copy, Debug)]
pub struct HostId {
    /// Number of the soak in this process.
    pub soak: u8,
    /// Index of the host.
    pub number: usize,
    /// Number of hosts in the soak.
    pub host_count: usize,
    /// Whether hosts are divided over regions, as homes move.
    pub homes_move: bool,
}

/// An entry host that runs as a child process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    host_id: HostId,
    store: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Number of its current start; 0 before the first one.
    pub start_number: u64,
    /// When it was started, in milliseconds since the start of the soak.
    pub started_ms: u64,
    /// When it last had any fault or restart, in milliseconds since the start of the soak.
    pub disturbed_ms: u64,
    /// When it last had an unplanned fault; a lack of processor time does not count as one.
    pub unplanned_ms: Option<u64>,
    /// When the current start was asked to stop.
    pub stop_requested_ms: Option<u64>,
    /// How often the current start was asked to stop.
    pub stop_requests: u32,
    /// When the current start was last signalled to reload its settings.
    pub reloaded_ms: Option<u64>,
}

impl Process {
    /// A host that is not started yet. `store` is the address of its store; settings and
    /// logs are written into `folder`.
    pub fn new(host_id: HostId, store: SocketAddr, folder: PathBuf, program: PathBuf) -> Process {
        Process {
            host_id,
            store,
            folder,
            program,
            child: None,
            start_number: 0,
            started_ms: 0,
            disturbed_ms: 0,
            unplanned_ms: None,
            stop_requested_ms: None,
            stop_requests: 0,
            reloaded_ms: None,
        }
    }

    /// Its name in the store.
    pub fn name(&self) -> String {
        format!("host-{}", self.host_id.number)
    }

    /// The address on which it accepts callers.
    pub fn caller_address(&self) -> SocketAddr {
        world::caller_address(self.host_id.soak, self.host_id.number)
    }

    /// Records an unplanned fault.
    pub fn record_unplanned(&mut self, now: u64) {
        self.disturbed_ms = now;
        self.unplanned_ms = Some(now);
    }

    /// Writes the host's settings and starts it.
    ///
    /// Fails if a file cannot be written or the process cannot be started.
    pub fn start(&mut self, now: u64) -> io::Result<()> {
        let peers = |number| world::peer_address(self.host_id.soak, number);
        let seeds: Vec<_> = (0..self.host_id.host_count.min(SEED_HOSTS)).map(peers).collect();
        let region = homes::region_of_host(self.host_id.number, self.host_id.homes_move);
        let domains: BTreeMap<_, _> =
            homes::REGIONS.map(|region| (homes::domain(region), region)).into();
        let server_header = format!("{SERVER_HEADER_PREFIX}{}", self.host_id.number);
        let settings = serde_json::json!({
            "host": {
                "name": self.name(), "domain": homes::domain(region), "region": region,
                "callers": self.caller_address(), "peers": peers(self.host_id.number),
            },
            "domains": domains, "seeds": seeds, "headers": {"server": server_header},
            "stop": {"notice_ms": STOP_NOTICE_MS, "grace_ms": STOP_GRACE_MS},
            "logging": {"sample": 0, "lines_per_s": 20},
            "resources": {
                "memory_bytes": HOST_MEMORY_BYTES, "file_descriptors": HOST_FILE_DESCRIPTORS,
            },
        });
        let path = self.folder.join(format!("{}.json", self.name()));
        fs::write(&path, settings.to_string())?;
        let log = self.folder.join(format!("{}-{}.log", self.name(), self.start_number + 1));
        let child = Command::new(&self.program)
            .arg("host")
            .arg(path)
            .arg(self.store.to_string())
            .stdin(Stdio::null())
            .stdout(fs::File::create(log)?)
            .spawn()?;
        self.child = Some(child);
        self.start_number += 1;
        self.started_ms = now;
        self.stop_requested_ms = None;
        self.stop_requests = 0;
        self.reloaded_ms = None;
        Ok(())
    }

    /// Sends it a signal, by name without `SIG`. Does nothing if the host has ended, as its
    /// process id may belong to another process then.
    pub fn signal(&mut self, name: &str) {
        self.repeat_signal(name, 1);
    }

    /// Sends it a signal several times within about a millisecond.
    pub fn repeat_signal(&mut self, name: &str, times: u32) {
        let Some(child) = &mut self.child else { return };
        if matches!(child.try_wait(), Ok(None)) {
            let command = format!("kill -{name} {};", child.id());
            let _ = Command::new("sh").arg("-c").arg(command.repeat(times as usize)).status();
        }
    }

    /// Its process id, if it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Its exit status, if it has ended without [`kill`](Process::kill).
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Whether it was killed, and has not been started since.
    pub fn killed(&self) -> bool {
        self.child.is_none()
    }

    /// Kills it and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
