//! Event log lines identify requests with equal content without revealing the content.

mod support;

use std::{cell::RefCell, io::Write, rc::Rc, sync::mpsc, time::Duration};

use elmstream_edge::{Edge, event_log::EventLog, settings::Logging};
use elmstream_steer::{model::Repeatability, view::RowKey};
use serde_json::Value;
use support::{
    CLOSE_MARK, backend, configuration, ip, run, send_request, server, start_edge, until,
};

/// Sends what is written to the test.
struct LineSender(mpsc::Sender<Vec<u8>>);

impl Write for LineSender {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_lines_identify_requests_with_equal_content() {
    run(async || {
        let (cut, _) = backend(ip(), |_| CLOSE_MARK.to_vec()).await;
        let store = support::Store::default();
        store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Safe)));
        store.put(RowKey::Server("s-0".into()), Some(server(cut)));
        let (lines, written) = mpsc::channel();
        let logging = Logging { sample: 0, lines_per_s: 100, beliefs_per_s: 0 };
        let ip = ip();
        let edge = Edge::with_event_log(
            support::settings(ip, &[]),
            EventLog::with_output(&logging, LineSender(lines)),
        );
        let host = start_edge(ip, edge, &store);
        assert!(until(Duration::from_secs(3), || host.edge.serves()).await);
        for (id, path) in [("a", "/one?x=1"), ("b", "/one?x=1"), ("c", "/one?x=2")] {
            send_request(host.callers, id, path).await.expect("an answer");
        }
        let text = Rc::new(RefCell::new(String::new()));
        let content = |id: &str| {
            let text = text.borrow();
            let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
            lines.filter(|line| line["id"] == id).find_map(|line| {
                let content = line["content"].as_str()?;
                Some(content.to_owned())
            })
        };
        let all_logged = || {
            for bytes in written.try_iter() {
                *text.borrow_mut() += &String::from_utf8_lossy(&bytes);
            }
            ["a", "b", "c"].iter().all(|id| content(id).is_some())
        };
        assert!(until(Duration::from_secs(2), all_logged).await, "{}", text.borrow());
        assert_eq!(content("a"), content("b"));
        assert_ne!(content("a"), content("c"));
        assert!(!text.borrow().contains("/one"), "no path is written: {}", text.borrow());
    });
}
