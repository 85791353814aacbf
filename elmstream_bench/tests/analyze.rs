//! Summaries of event logs.

use elmstream_bench::analyze::{self, Report};

const LINES: &str = r#"
  0.1 host-1 {"unix_ms":1000,"event":"start","host":"host-1"}
{"unix_ms":1100,"event":"answered","service":"shop","tried":[{"server":"s1","outcome":"answered","ms":80,"knew":true}]}
{"unix_ms":1200,"event":"answered","service":"shop","tried":[{"server":"s2","outcome":"full","ms":3,"knew":null},{"server":"s1","outcome":"answered","ms":300,"knew":false}],"dropped":7}
{"unix_ms":3500,"event":"refused","service":"shop","reason":"Full","load_percent":73,"free":4,"returning":true}
{"unix_ms":3600,"event":"refused","service":"shop","reason":"Full","load_percent":100,"free":0,"returning":false}
  1.0 host-1 {"unix_ms":2000,"event":"server","server":"s2","state":"silent","from":"time"}
  1.5 host-2 {"unix_ms":2500,"event":"server","server":"s2","state":"answers","from":"time"}
  3.5 host-1 {"unix_ms":4500,"event":"server","server":"s2","state":"answers","from":"time"}
  1.0 host-3 {"unix_ms":2000,"event":"server","server":"s3","state":"silent","from":"time"}
  1.0 host-3 {"unix_ms":2010,"event":"start","host":"host-3"}
not a line
{"unix_ms":5000,"event":"server","server":"s1","state":"silent","from":"time"}
"#;

#[test]
fn report_lists_windows_refusals_and_silences() {
    let text = Report::from_text(LINES).expect("there are lines").text();
    for expected in [
        "service shop",
        "refused, Full: 2, of them 1 with a slot free, 1 of returning callers; by tenth of the load [0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 1]",
        "   0: answered 2; answered 2, full 1; 80 (1), 300 (1); 1 servers",
        "   2: refused 2; ; -, -; 0 servers",
        "s2 for 2500 ms from second 1.0, reported by host-1",
        "left out by the hosts: 7",
    ] {
        assert!(text.contains(expected), "{expected}\n{text}");
    }
    assert!(!text.contains("s3 for"), "a restarted host ends its silences\n{text}");
}

#[test]
fn missing_file_and_file_without_log_lines_are_distinct_errors() {
    let missing = analyze::read_files(&["/nowhere/lines".to_owned()]).expect_err("it is missing");
    assert!(missing.to_string().starts_with("/nowhere/lines: "), "{missing}");
    let path = std::env::temp_dir().join(format!("elmstream-analyze-{}", std::process::id()));
    std::fs::write(&path, "nothing\n").expect("it can be written");
    let empty = analyze::read_files(&[path.display().to_string()]).expect_err("it has no line");
    std::fs::remove_file(&path).expect("it was written");
    assert_eq!(empty.to_string(), "no line of an event log in the files");
}
