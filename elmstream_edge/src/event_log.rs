//! What the process decided and learned: JSON lines on standard output.
//!
//! A thread of its own writes, from a bounded queue; lines beyond the queue or
//! beyond the allowed rates are dropped and counted, so that a reader that does
//! not read never holds up a request.

use std::{
    cell::{Cell, RefCell},
    io::{Write, stdout},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
    time::Duration,
};

use elmstream::time::{SECOND, Time};
use elmstreamd::clock;
use serde_json::{Map, Value};

use crate::settings::Logging;

/// Lines that may wait to be written.
const QUEUE: usize = 1_024;
/// Time that the end of the process waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Writes lines; cheap to call.
#[derive(Debug)]
pub struct EventLog {
    lines: RefCell<Option<SyncSender<String>>>,
    /// Tells that all lines have been written.
    written: Receiver<()>,
    requests: Rate,
    beliefs: Rate,
    dropped: Cell<u64>,
    count: Cell<u64>,
    sample: u64,
}

/// Lines of one kind that may still be written in the present second.
#[derive(Debug)]
struct Rate {
    per_s: u32,
    left: Cell<u32>,
    since: Cell<Time>,
}

impl Rate {
    fn new(per_s: u32) -> Rate {
        Rate { per_s, left: Cell::new(per_s), since: Cell::new(clock::now()) }
    }

    fn allows(&self) -> bool {
        let now = clock::now();
        if now.since(self.since.get()) >= SECOND {
            self.since.set(now);
            self.left.set(self.per_s);
        }
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        left > 0
    }
}

impl EventLog {
    /// Starts the writing thread.
    pub fn start(logging: &Logging) -> EventLog {
        EventLog::to(logging, stdout())
    }

    /// The same, to another output than standard output.
    pub fn to(logging: &Logging, output: impl Write + Send + 'static) -> EventLog {
        let (lines, queue) = sync_channel(QUEUE);
        let (done, written) = sync_channel(1);
        // Without the thread all lines are dropped and counted.
        let _ = thread::Builder::new().name("journal".into()).spawn(move || {
            write(&queue, output);
            let _ = done.send(());
        });
        EventLog {
            lines: RefCell::new(Some(lines)),
            written,
            requests: Rate::new(logging.lines_per_s),
            beliefs: Rate::new(logging.beliefs_per_s),
            dropped: Cell::new(0),
            count: Cell::new(0),
            sample: logging.sample,
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
        self.write_at(&self.requests, event, fields);
    }

    /// Writes a line about what the host has come to believe, if the rate allows it.
    pub fn state_change(&self, event: &str, fields: Value) {
        self.write_at(&self.beliefs, event, fields);
    }

    fn write_at(&self, rate: &Rate, event: &str, fields: Value) {
        match rate.allows() {
            true => self.write(event, fields),
            false => self.dropped.set(self.dropped.get() + 1),
        }
    }

    /// Writes a line about the process or what it depends on.
    pub fn write(&self, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("unix_ms".into(), clock::unix_ms().into());
        line.insert("event".into(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            line.insert("dropped".into(), dropped.into());
        }
        let text = Value::Object(line).to_string();
        let lines = self.lines.borrow();
        if lines.as_ref().is_none_or(|lines| lines.try_send(text).is_err()) {
            // What the line would have told is still to be told.
            self.dropped.set(dropped + 1);
        }
    }

    /// Takes no more lines, and waits a little for the last ones to be written.
    pub fn close(&self) {
        self.lines.borrow_mut().take();
        let _ = self.written.recv_timeout(LAST_LINES);
    }
}

/// Writes lines as they come, several at once if several wait.
fn write(queue: &Receiver<String>, mut output: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut text = first + "\n";
        while let Ok(line) = queue.try_recv() {
            text += &line;
            text.push('\n');
        }
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    }
}
