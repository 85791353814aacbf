//! The event log, with and without a reader of its output.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard},
};

use elmstream_edge::{event_log::EventLog, settings::Logging};
use serde_json::{Value, json};

/// An output that collects what is written and can be blocked.
#[derive(Clone, Default)]
struct Output {
    text: Arc<Mutex<Vec<u8>>>,
    blocked: Arc<Mutex<()>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _held = self.blocked.lock();
        self.text.lock().expect("no other user panicked").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn block(&self) -> MutexGuard<'_, ()> {
        self.blocked.lock().expect("no other user panicked")
    }

    fn lines(&self) -> Vec<Value> {
        let text = self.text.lock().expect("no other user panicked").clone();
        let text = String::from_utf8(text).expect("lines are text");
        text.lines().map(|line| serde_json::from_str(line).expect("a line is JSON")).collect()
    }
}

const LOGGING: Logging = Logging { sample: 0, lines_per_s: 10, beliefs_per_s: 5 };

#[test]
fn last_line_is_written_before_close_returns() {
    for _ in 0..50 {
        let output = Output::default();
        let event_log = EventLog::with_output(&LOGGING, output.clone());
        event_log.write("stopped", json!({"host": "h"}));
        event_log.close();
        assert_eq!(output.lines().last().expect("a line")["event"], "stopped");
    }
}

#[test]
fn stalled_reader_never_blocks_and_dropped_lines_are_counted() {
    let output = Output::default();
    let event_log = EventLog::with_output(&LOGGING, output.clone());
    let blocked = output.block();
    let written = 5_000;
    for number in 0..written {
        event_log.write("event", json!({"number": number}));
    }
    // The end of the process does not wait for a reader either.
    drop(blocked);
    while output.lines().is_empty() {
        std::thread::yield_now();
    }
    event_log.write("last", json!({}));
    event_log.close();
    let lines = output.lines();
    let dropped: u64 = lines.iter().filter_map(|line| line["dropped"].as_u64()).sum();
    let written_lines = lines.iter().filter(|line| line["event"] == "event").count() as u64;
    assert_eq!(written_lines + dropped, written);
    assert!(written_lines < written);
}

#[test]
fn close_does_not_wait_for_a_stalled_reader() {
    let output = Output::default();
    let event_log = EventLog::with_output(&LOGGING, output.clone());
    let blocked = output.block();
    event_log.write("stopped", json!({}));
    event_log.close();
    drop(blocked);
}

#[test]
fn lines_are_limited_by_kind_except_process_events() {
    let output = Output::default();
    let event_log = EventLog::with_output(&LOGGING, output.clone());
    for _ in 0..100 {
        event_log.request("refused", json!({}));
        event_log.state_change("server", json!({}));
    }
    event_log.write("store_lost", json!({}));
    event_log.close();
    let count = |event: &str| output.lines().iter().filter(|line| line["event"] == event).count();
    // A new second may begin in between.
    assert!((10..=20).contains(&count("refused")));
    assert!((5..=10).contains(&count("server")));
    assert_eq!(count("store_lost"), 1);
}
