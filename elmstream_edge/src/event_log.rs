//! The event log: JSON lines on standard output about what the host decided and learned.
//!
//! A separate thread writes the lines from a bounded queue. Lines that exceed the queue or
//! the allowed rates are dropped and counted, so that a reader that stalls never blocks a
//! request.

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

/// Lines that may wait in the queue.
const QUEUE_LINES_MAX: usize = 1_024;
/// Longest wait for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Queues lines for the writing thread; never blocks.
#[derive(Debug)]
pub struct EventLog {
    lines: RefCell<Option<SyncSender<String>>>,
    /// Receives a message once all lines have been written.
    flushed: Receiver<()>,
    requests: Rate,
    state_changes: Rate,
    dropped: Cell<u64>,
    count: Cell<u64>,
    sample: u64,
}

/// Limits the lines of one kind in each second.
#[derive(Debug)]
struct Rate {
    per_s: u32,
    remaining: Cell<u32>,
    window_start: Cell<Time>,
}

impl Rate {
    fn new(per_s: u32) -> Rate {
        Rate { per_s, remaining: Cell::new(per_s), window_start: Cell::new(clock::now()) }
    }

    fn allows(&self) -> bool {
        let now = clock::now();
        if now.since(self.window_start.get()) >= SECOND {
            self.window_start.set(now);
            self.remaining.set(self.per_s);
        }
        let remaining = self.remaining.get();
        self.remaining.set(remaining.saturating_sub(1));
        remaining > 0
    }
}

impl EventLog {
    /// Starts the thread that writes to standard output.
    pub fn start(logging: &Logging) -> EventLog {
        EventLog::with_output(logging, stdout())
    }

    /// Starts the thread that writes to `output`.
    pub fn with_output(logging: &Logging, output: impl Write + Send + 'static) -> EventLog {
        let (lines, queue) = sync_channel(QUEUE_LINES_MAX);
        let (done, flushed) = sync_channel(1);
        // Without the thread all lines are dropped and counted.
        let _ = thread::Builder::new().name("journal".into()).spawn(move || {
            write(&queue, output);
            let _ = done.send(());
        });
        EventLog {
            lines: RefCell::new(Some(lines)),
            flushed,
            requests: Rate::new(logging.lines_per_s),
            state_changes: Rate::new(logging.beliefs_per_s),
            dropped: Cell::new(0),
            count: Cell::new(0),
            sample: logging.sample,
        }
    }

    /// Counts a served request; whether it is one of those to log.
    pub fn sampled(&self) -> bool {
        let count = self.count.get() + 1;
        self.count.set(count);
        self.sample > 0 && count.is_multiple_of(self.sample)
    }

    /// Logs an event of a request unless the rate limit of such lines is reached.
    pub fn request(&self, event: &str, fields: Value) {
        self.write_limited(&self.requests, event, fields);
    }

    /// Logs a state change of a server or host unless the rate limit of such lines is
    /// reached.
    pub fn state_change(&self, event: &str, fields: Value) {
        self.write_limited(&self.state_changes, event, fields);
    }

    fn write_limited(&self, rate: &Rate, event: &str, fields: Value) {
        match rate.allows() {
            true => self.write(event, fields),
            false => self.dropped.set(self.dropped.get() + 1),
        }
    }

    /// Logs an event of the process or of what it depends on, without a rate limit.
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
            // The next line reports this one as dropped, besides those it would have
            // reported.
            self.dropped.set(dropped + 1);
        }
    }

    /// Stops accepting lines, and waits at most 200 ms for the queued ones to be written.
    pub fn close(&self) {
        self.lines.borrow_mut().take();
        let _ = self.flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Writes lines as they arrive; lines that wait together are written at once.
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
