//! Hosts as processes, which only the soak that started them ends.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
};

use crate::world;

/// Time between the notice of a planned stop and the end of new connections.
pub const STOP_NOTICE_MS: u64 = 300;
/// Time that a planned stop may take.
const GRACE_MS: u64 = 3_000;

/// Which host of which soak.
#[derive(Clone, Copy, Debug)]
pub struct HostId {
    /// Number of the soak in this process.
    pub soak: u8,
    /// Number of the host.
    pub number: usize,
    /// Number of hosts.
    pub host_count: usize,
}

/// A host.
#[derive(Debug)]
pub struct Process {
    place: HostId,
    store: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Number of its present start.
    pub start_number: u64,
    /// When it was started, in milliseconds since the beginning.
    pub started_ms: u64,
    /// When it was last disturbed by anything, in milliseconds since the beginning.
    pub disturbed_ms: u64,
    /// When that was last not by planned work; a lack of processor time does not count.
    pub unplanned_ms: Option<u64>,
    /// When this start was asked to stop.
    pub stop_requested_ms: Option<u64>,
    /// How often this start was asked to stop.
    pub stop_requests: u32,
    /// When it was last told of changed settings.
    pub reloaded_ms: Option<u64>,
}

impl Process {
    /// A host that is not started yet.
    pub fn new(place: HostId, store: SocketAddr, folder: PathBuf, program: PathBuf) -> Process {
        Process {
            place,
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

    /// Its name, as the store knows it.
    pub fn name(&self) -> String {
        format!("host-{}", self.place.number)
    }

    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        world::caller_address(self.place.soak, self.place.number)
    }

    /// Something happened to it, now, that was not planned.
    pub fn record_unplanned(&mut self, now: u64) {
        self.disturbed_ms = now;
        self.unplanned_ms = Some(now);
    }

    /// Starts it.
    pub fn start(&mut self, now: u64) -> io::Result<()> {
        let peers = |number| world::peer_address(self.place.soak, number);
        let seeds: Vec<_> = (0..self.place.host_count.min(3)).map(peers).collect();
        let settings = serde_json::json!({
            "host": {
                "name": self.name(), "domain": "a1", "region": "a",
                "callers": self.caller_address(), "peers": peers(self.place.number),
            },
            "domains": {"a1": "a"}, "seeds": seeds,
            "stop": {"notice_ms": STOP_NOTICE_MS, "grace_ms": GRACE_MS},
            "logging": {"sample": 0, "lines_per_s": 20},
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

    /// Sends it a signal by name, unless it has ended: then its number may be another
    /// process's.
    pub fn signal(&mut self, name: &str) {
        self.repeat_signal(name, 1);
    }

    /// Sends it a signal several times within a millisecond or so.
    pub fn repeat_signal(&mut self, name: &str, times: u32) {
        let Some(child) = &mut self.child else { return };
        if matches!(child.try_wait(), Ok(None)) {
            let one = format!("kill -{name} {};", child.id());
            let _ = Command::new("sh").arg("-c").arg(one.repeat(times as usize)).status();
        }
    }

    /// How it ended, if it has ended and nobody killed it.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Whether it was killed, and has not been started since.
    pub fn killed(&self) -> bool {
        self.child.is_none()
    }

    /// Kills it and waits for its end.
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
