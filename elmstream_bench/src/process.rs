//! Daemons as child processes, for measurements and for tests that kill them.

use std::{
    fs, io,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use crate::fleet::Fleet;

/// Daemons of a fleet, in the order in which they were started. Those still running are
/// killed on drop.
#[derive(Debug, Default)]
pub struct Daemons {
    children: Vec<Child>,
}

impl Daemons {
    /// Adds a host to the fleet and starts `program` as its daemon. Its log is written
    /// beside its settings file.
    ///
    /// Fails if a file cannot be written or the program cannot be started.
    pub fn start(
        &mut self,
        fleet: &mut Fleet,
        program: &Path,
        name: &str,
        failure_domain: &str,
    ) -> io::Result<()> {
        let child = fleet.add_process(name, failure_domain, |settings| {
            let log = fs::File::create(settings.with_extension("log"))?;
            Command::new(program)
                .arg("--settings")
                .arg(settings)
                .stdin(Stdio::null())
                .stderr(log)
                .spawn()
        })?;
        self.children.push(child);
        Ok(())
    }

    /// Sends a signal, given as an argument of `kill`: `-KILL`, `-STOP`, `-CONT`, `-TERM`.
    ///
    /// Fails if `kill` does, as for a process that has ended.
    pub fn signal(&self, host: usize, name: &str) -> io::Result<()> {
        let id = self.children[host].id().to_string();
        match Command::new("kill").args([name, &id]).status()?.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("process {id} did not take {name}"))),
        }
    }

    /// Waits until a host's daemon has ended.
    pub fn wait(&mut self, host: usize) -> io::Result<ExitStatus> {
        self.children[host].wait()
    }

    /// Exit status of a host's daemon; `None` while it runs.
    pub fn exit_status(&mut self, host: usize) -> io::Result<Option<ExitStatus>> {
        self.children[host].try_wait()
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
