//! What the process writes, whether somebody reads it or not.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard},
};

use elmstream_edge::{event_log::EventLog, settings::Logging};
use serde_json::{Value, json};

/// An output that keeps what is written, and can be held up.
#[derive(Clone, Default)]
struct Output {
    text: Arc<Mutex<Vec<u8>>>,
    held: Arc<Mutex<()>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _held = self.held.lock();
        self.text.lock().expect("no other user panicked").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn hold(&self) -> MutexGuard<'_, ()> {
        self.held.lock().expect("no other user panicked")
    }

    fn lines(&self) -> Vec<Value> {
        let text = self.text.lock().expect("no other user panicked").clone();
        let text = String::from_utf8(text).expect("lines are text");
        text.lines().map(|line| serde_json::from_str(line).expect("a line is JSON")).collect()
    }
}

const LOGGING: Logging = Logging { sample: 0, lines_per_s: 10, beliefs_per_s: 5 };

#[test]
fn the_last_line_of_a_process_is_written() {
    for _ in 0..50 {
        let output = Output::default();
        let journal = EventLog::with_output(&LOGGING, output.clone());
        journal.write("stopped", json!({"host": "h"}));
        journal.close();
        assert_eq!(output.lines().last().expect("a line")["event"], "stopped");
    }
}

#[test]
fn nobody_who_reads_holds_up_nothing_and_what_is_left_out_is_counted() {
    let output = Output::default();
    let journal = EventLog::with_output(&LOGGING, output.clone());
    let held = output.hold();
    let written = 5_000;
    for number in 0..written {
        journal.write("event", json!({"number": number}));
    }
    // The end of the process does not wait for a reader either.
    drop(held);
    while output.lines().is_empty() {
        std::thread::yield_now();
    }
    journal.write("last", json!({}));
    journal.close();
    let lines = output.lines();
    let dropped: u64 = lines.iter().filter_map(|line| line["dropped"].as_u64()).sum();
    let kept = lines.iter().filter(|line| line["event"] == "event").count() as u64;
    assert_eq!(kept + dropped, written);
    assert!(kept < written);
}

#[test]
fn an_end_does_not_wait_for_a_reader_that_does_not_read() {
    let output = Output::default();
    let journal = EventLog::with_output(&LOGGING, output.clone());
    let held = output.hold();
    journal.write("stopped", json!({}));
    journal.close();
    drop(held);
}

#[test]
fn lines_of_each_kind_are_bounded_and_what_the_process_depends_on_is_not() {
    let output = Output::default();
    let journal = EventLog::with_output(&LOGGING, output.clone());
    for _ in 0..100 {
        journal.request("refused", json!({}));
        journal.state_change("server", json!({}));
    }
    journal.write("store_lost", json!({}));
    journal.close();
    let count = |event: &str| output.lines().iter().filter(|line| line["event"] == event).count();
    // A second may begin in between.
    assert!((10..=20).contains(&count("refused")));
    assert!((5..=10).contains(&count("server")));
    assert_eq!(count("store_lost"), 1);
}
