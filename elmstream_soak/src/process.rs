//! Hosts as processes, which only the soak that started them ends.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
};

use crate::world;

/// Time between the notice of a planned stop and the end of new connections.
pub const NOTICE_MS: u64 = 300;
/// Time that a planned stop may take.
const GRACE_MS: u64 = 3_000;

/// Which host of which soak.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Number of the soak in this process.
    pub soak: u8,
    /// Number of the host.
    pub number: usize,
    /// Number of hosts.
    pub hosts: usize,
}

/// A host.
#[derive(Debug)]
pub struct Process {
    place: Place,
    store: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Number of its present start.
    pub start: u64,
    /// When it was started, in milliseconds since the beginning.
    pub started: u64,
    /// When it was last disturbed by anything, in milliseconds since the beginning.
    pub disturbed: u64,
    /// When that was last not by planned work; a lack of processor time does not count.
    pub unplanned: Option<u64>,
    /// When this start was asked to stop.
    pub terminated: Option<u64>,
    /// How often this start was asked to stop.
    pub asks: u32,
    /// When it was last told of changed settings.
    pub reloaded: Option<u64>,
}

impl Process {
    /// A host that is not started yet.
    pub fn new(place: Place, store: SocketAddr, folder: PathBuf, program: PathBuf) -> Process {
        Process {
            place,
            store,
            folder,
            program,
            child: None,
            start: 0,
            started: 0,
            disturbed: 0,
            unplanned: None,
            terminated: None,
            asks: 0,
            reloaded: None,
        }
    }

    /// Its name, as the store knows it.
    pub fn name(&self) -> String {
        format!("host-{}", self.place.number)
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        world::callers(self.place.soak, self.place.number)
    }

    /// Something happened to it, now, that was not planned.
    pub fn disturb(&mut self, now: u64) {
        self.disturbed = now;
        self.unplanned = Some(now);
    }

    /// Starts it.
    pub fn start(&mut self, now: u64) -> io::Result<()> {
        let peers = |number| world::peers(self.place.soak, number);
        let seeds: Vec<_> = (0..self.place.hosts.min(3)).map(peers).collect();
        let settings = serde_json::json!({
            "host": {
                "name": self.name(), "domain": "a1", "region": "a",
                "callers": self.callers(), "peers": peers(self.place.number),
            },
            "domains": {"a1": "a"}, "seeds": seeds,
            "stop": {"notice_ms": NOTICE_MS, "grace_ms": GRACE_MS},
            "logging": {"sample": 0, "lines_per_s": 20},
        });
        let path = self.folder.join(format!("{}.json", self.name()));
        fs::write(&path, settings.to_string())?;
        let log = self.folder.join(format!("{}-{}.log", self.name(), self.start + 1));
        let child = Command::new(&self.program)
            .arg("host")
            .arg(path)
            .arg(self.store.to_string())
            .stdin(Stdio::null())
            .stdout(fs::File::create(log)?)
            .spawn()?;
        self.child = Some(child);
        self.start += 1;
        self.started = now;
        self.terminated = None;
        self.asks = 0;
        self.reloaded = None;
        Ok(())
    }

    /// Sends it a signal by name, unless it has ended: then its number may be another
    /// process's.
    pub fn signal(&mut self, name: &str) {
        self.signals(name, 1);
    }

    /// Sends it a signal several times within a millisecond or so.
    pub fn signals(&mut self, name: &str, times: u32) {
        let Some(child) = &mut self.child else { return };
        if matches!(child.try_wait(), Ok(None)) {
            let one = format!("kill -{name} {};", child.id());
            let _ = Command::new("sh").arg("-c").arg(one.repeat(times as usize)).status();
        }
    }

    /// How it ended, if it has ended and nobody killed it.
    pub fn ended(&mut self) -> Option<ExitStatus> {
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
