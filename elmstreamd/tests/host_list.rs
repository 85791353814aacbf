//! Guards against an entry of the platform's host list that hides the others.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use compio::runtime::Runtime;
use elmstream_config::settings;
use elmstreamd::platform::{HostList, HttpPlatform, PlatformError};

/// Reads a host list that the platform answers with `list`. Returns the names of the hosts and of the
/// servers that leave.
fn read(list: String) -> Result<(Vec<String>, Vec<String>), PlatformError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let url = format!("http://{}/hosts", listener.local_addr().expect("an address"));
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let length = stream.read(&mut [0; 8_192]).expect("a head");
        assert!(length > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
        stream.write_all((head + &list).as_bytes()).expect("it is sent");
    });
    let settings = settings::Platform {
        table: url.clone(),
        objects: url.clone(),
        hosts: url,
        timeout_ms: 3_000,
    };
    Runtime::new().expect("a runtime").block_on(async {
        let read = HttpPlatform::new(settings)?.hosts().await?;
        let names = read.entry_hosts.iter().map(|host| host.name.to_string()).collect();
        Ok((names, read.leaving.iter().map(ToString::to_string).collect()))
    })
}

fn entry(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","failure_domain":"z","callers":"10.0.0.1:1","peers":"10.0.0.1:2"}}"#
    )
}

#[test]
fn odd_entries_do_not_hide_the_other_hosts() {
    let odd_port = entry("odd").replace("10.0.0.1:2", "10.0.0.1:70000");
    for odd in ["null", "{}", "[]", r#"{"name":7}"#, r#"{"name":"\ud800"}"#, odd_port.as_str()] {
        let list = format!(
            r#"{{"entry_hosts":[{},{odd},{}],"backend_servers_leaving":["s-1",{odd},"s-2"]}}"#,
            entry("p1"),
            entry("p2"),
        );
        let (hosts, leaving) = read(list).unwrap_or_else(|error| panic!("{odd}: {error}"));
        assert_eq!(hosts, ["p1", "p2"], "{odd}");
        assert_eq!(leaving, ["s-1", "s-2"], "{odd}");
    }
}

#[test]
fn list_that_is_none_is_an_error() {
    for list in ["", "[]", "{}", r#"{"entry_hosts":7}"#, r#"{"entry_hosts":[]"#] {
        read(list.to_owned()).expect_err(list);
    }
}
