//! Hosts as processes, which only the soak that started them ends.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use crate::world::{CALLERS, PEERS, ip};

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
    /// When it was last disturbed, in milliseconds since the beginning.
    pub disturbed: u64,
    /// When it was last asked to stop.
    pub terminated: Option<u64>,
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
            disturbed: 0,
            terminated: None,
        }
    }

    /// Its name, as the store knows it.
    pub fn name(&self) -> String {
        format!("host-{}", self.place.number)
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(ip(self.place.soak, self.place.number), CALLERS)
    }

    /// Where hosts reach a host.
    fn peers(&self, number: usize) -> SocketAddr {
        SocketAddr::new(ip(self.place.soak, number), PEERS)
    }

    /// Starts it.
    pub fn start(&mut self) -> io::Result<()> {
        let seeds: Vec<_> = (0..self.place.hosts.min(3)).map(|n| self.peers(n)).collect();
        let settings = serde_json::json!({
            "host": {
                "name": self.name(), "domain": "a1", "region": "a",
                "callers": self.callers(), "peers": self.peers(self.place.number),
            },
            "domains": {"a1": "a"}, "seeds": seeds,
            "stop": {"notice_ms": 300, "grace_ms": 3000},
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
        self.terminated = None;
        Ok(())
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
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
