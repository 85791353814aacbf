//! What the process decided and learned: JSON lines on standard output.
//!
//! A thread of its own writes, from a bounded queue; lines beyond the queue or
//! beyond the allowed rate are dropped and counted, so that a reader that does
//! not read never holds up a request.

use std::{
    cell::Cell,
    io::{Write, stdout},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
};

use elmstream::time::{SECOND, Time};
use elmstreamd::clock;
use serde_json::{Map, Value};

/// Lines that may wait to be written.
const QUEUE: usize = 1_024;

/// Writes lines; cheap to call.
#[derive(Debug)]
pub struct Journal {
    lines: SyncSender<String>,
    per_s: u32,
    left: Cell<u32>,
    since: Cell<Time>,
    dropped: Cell<u64>,
    count: Cell<u64>,
    sample: u64,
}

impl Journal {
    /// Starts the writing thread.
    pub fn start(sample: u64, per_s: u32) -> Journal {
        let (lines, queue) = sync_channel(QUEUE);
        // Without the thread all lines are dropped and counted.
        let _ = thread::Builder::new().name("journal".into()).spawn(move || write(&queue));
        Journal {
            lines,
            per_s,
            left: Cell::new(per_s),
            since: Cell::new(clock::now()),
            dropped: Cell::new(0),
            count: Cell::new(0),
            sample,
        }
    }

    /// Whether the next served request is among the written ones.
    pub fn sampled(&self) -> bool {
        let count = self.count.get() + 1;
        self.count.set(count);
        self.sample > 0 && count.is_multiple_of(self.sample)
    }

    /// Writes a line about a request, if the rate allows it.
    pub fn request(&self, event: &str, fields: Value) {
        let now = clock::now();
        if now.since(self.since.get()) >= SECOND {
            self.since.set(now);
            self.left.set(self.per_s);
        }
        match self.left.get() {
            0 => self.dropped.set(self.dropped.get() + 1),
            left => {
                self.left.set(left - 1);
                self.write(event, fields);
            }
        }
    }

    /// Writes a line about the process or what it believes.
    pub fn write(&self, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("unix_ms".into(), clock::unix_ms().into());
        line.insert("event".into(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        if self.dropped.get() > 0 {
            line.insert("dropped".into(), self.dropped.replace(0).into());
        }
        if self.lines.try_send(Value::Object(line).to_string()).is_err() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }
}

/// Writes lines as they come, several at once if several wait.
fn write(queue: &Receiver<String>) {
    while let Ok(first) = queue.recv() {
        let mut text = first + "\n";
        while let Ok(line) = queue.try_recv() {
            text += &line;
            text.push('\n');
        }
        let _ = stdout().lock().write_all(text.as_bytes());
    }
}
