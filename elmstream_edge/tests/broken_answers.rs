//! Guards against answers of backend servers that are broken or framed wrongly, directly and through a
//! relaying host: a caller gets a whole answer or a failure with a code, and the next request over the
//! same connections its own answer.

mod support;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use elmstream_steer::{model::Repeatability, view::RowKey};
use elmstreamd::clock;
use support::{
    CLOSE_MARK, RESET_MARK, Received, Running, Store, backend, configuration, good, header, ip,
    run, server, start, until,
};

const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a cut host has its requests relayed.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Faults that a failed test prints.
const FAULTS_SHOWN: usize = 5;
/// Servers that a cut host knows.
const CUT_SERVERS: usize = 4;
/// Keeps the server's connection open.
const KEPT: &[u8] = b"";
/// A whole chunked body, with a trailer.
const CHUNKED: &str = "5\r\nhello\r\n2;x=y\r\n, \r\n0\r\nx-sum: 1\r\n\r\n";

/// What a caller gets.
#[derive(Debug)]
struct Got {
    status: u16,
    head: String,
    body: String,
}

impl Got {
    /// Whether this is a failure with a code of the host itself, of a request that may have run.
    fn is_failure(&self) -> bool {
        let code = header(&self.head, "elmstream-code");
        matches!(self.status, 502 | 504)
            && !code.is_empty()
            && self.body.is_empty()
            && header(&self.head, "elmstream-signature").is_empty()
    }
}

/// A caller that sends all its requests over one connection.
struct Caller(TcpStream);

impl Caller {
    async fn connect(host: SocketAddr) -> Caller {
        Caller(TcpStream::connect(host).await.expect("a connection"))
    }

    /// Sends a request and reads an answer, behind which nothing may follow.
    async fn ask(&mut self, method: &str, id: &str) -> Got {
        let request = format!(
            "{method} /{id} HTTP/1.1\r\nhost: shop.example\r\nelmstream-request: {id}\r\n\
             elmstream-affinity: key\r\n\r\n"
        );
        self.0.write_all(request.into_bytes()).await.0.expect("it is sent");
        let mut text = String::new();
        loop {
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let status = head.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
                let status = status.and_then(|status| status.parse().ok());
                let status = status.unwrap_or_else(|| panic!("{id}: {text:?}"));
                let length: usize = match (method, status) {
                    ("HEAD", _) | (_, 204 | 304) => 0,
                    _ => header(head, "content-length").parse().expect("a length"),
                };
                assert!(body.len() <= length, "{id}: {text:?}");
                if body.len() == length {
                    return Got { status, head: head.into(), body: body.into() };
                }
            }
            let read = self.0.read(Vec::with_capacity(65_536)).await;
            assert!(read.0.expect("it is read") > 0, "{id}: the connection ends after {text:?}");
            text += std::str::from_utf8(&read.1).expect("text");
        }
    }
}

/// A host whose only server answers requests `/odd-*` with what is set, and others with their id.
struct Setup {
    answer: Rc<RefCell<Vec<u8>>>,
    received: Received,
    cases: usize,
    caller: Caller,
    /// What was not as it has to be.
    faults: Vec<String>,
    _running: Vec<(Running, Store)>,
}

impl Setup {
    /// With `relayed`, another host relays the requests.
    async fn start(relayed: bool) -> Setup {
        let answer = Rc::new(RefCell::new(Vec::new()));
        let set = answer.clone();
        let (address, received) =
            backend(ip(), move |head| match header(head, "elmstream-request") {
                id if id.starts_with("odd") => {
                    let text = String::from_utf8(set.borrow().clone()).expect("text");
                    text.replace("ID", id).into_bytes()
                }
                id => good(head, id),
            })
            .await;
        let mut running = Vec::<(Running, Store)>::new();
        let sets = match relayed {
            true => vec![closed_addresses().await, vec![address; CUT_SERVERS]],
            false => vec![vec![address]],
        };
        for addresses in sets {
            let store = Store::default();
            store.put(RowKey::Configuration, Some(configuration(1, Repeatability::Once)));
            for (n, address) in addresses.into_iter().enumerate() {
                store.put(RowKey::Server(format!("s-{n}")), Some(server(address)));
            }
            let host = start(ip(), &store, &[]);
            assert!(until(TIMEOUT, || host.edge.serves()).await, "the host is ready");
            if let Some((first, _)) = running.first() {
                let peers = first.edge.settings.host.peers;
                host.edge.steer.borrow_mut().add_peer_address(clock::now(), peers);
            }
            running.push((host, store));
        }
        let knows_all = |(host, _): &(Running, Store)| {
            host.edge.steer.borrow().members().target_count() + 1 == running.len()
        };
        assert!(until(TIMEOUT, || running.iter().all(knows_all)).await, "the hosts are known");
        let mut caller = Caller::connect(running[0].0.callers).await;
        if relayed {
            for n in 0..10 {
                caller.ask("GET", &format!("learn-{n}")).await;
            }
            compio::time::sleep(DETECTION_TIME).await;
        }
        Setup { answer, received, cases: 0, caller, faults: Vec::new(), _running: running }
    }

    /// Has the server answer with `text` and `end`, and checks what the caller gets. The server gets
    /// the request once, and the next one over the same connections its own answer.
    async fn check(
        &mut self,
        method: &str,
        text: &str,
        end: &[u8],
        is_good: impl Fn(&Got) -> bool,
    ) {
        self.answer.replace([text.as_bytes(), end].concat());
        self.cases += 1;
        let (odd, next) = (format!("odd-{}", self.cases), format!("next-{}", self.cases));
        let got = self.caller.ask(method, &odd).await;
        let whole = self.caller.ask("GET", &next).await;
        let is_odd = |head: &&String| header(head, "elmstream-request") == odd;
        let runs = self.received.requests.borrow().iter().filter(is_odd).count();
        if !is_good(&got) || runs != 1 || (whole.status, &whole.body) != (200, &next) {
            let end = end.escape_ascii();
            self.faults
                .push(format!("{method} {text:?} {end}: {got:?}, {runs} runs, then {whole:?}"));
        }
    }

    async fn check_fails(&mut self, method: &str, text: &str, end: &[u8]) {
        self.check(method, text, end, Got::is_failure).await;
    }

    async fn check_passes(&mut self, method: &str, text: &str, end: &[u8], wanted: (u16, &str)) {
        let is_good = |got: &Got| (got.status, &got.body[..]) == wanted;
        self.check(method, text, end, is_good).await;
    }
}

/// Addresses that refuse connections, as many as it takes for a host to count as cut.
async fn closed_addresses() -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..CUT_SERVERS {
        let listener = TcpListener::bind((ip(), 0)).await.expect("a port");
        addresses.push(listener.local_addr().expect("an address"));
    }
    addresses
}

/// Runs a test with a host that reaches the server, and with one whose requests are relayed.
fn run_both(test: impl AsyncFn(&mut Setup)) {
    for relayed in [false, true] {
        run(async || {
            let mut setup = Setup::start(relayed).await;
            test(&mut setup).await;
            assert!(setup.cases > 0);
            let faults = &setup.faults;
            let first = faults.iter().take(FAULTS_SHOWN).cloned().collect::<Vec<_>>().join("\n");
            assert!(faults.is_empty(), "relayed: {relayed}, {} faults:\n{first}", faults.len());
        });
    }
}

/// An answer with a first line, further fields, each with a line end, and a body.
fn answer(line: &str, fields: &str, body: &str) -> String {
    format!("{line}\r\nelmstream-request: ID\r\nelmstream-signature: s\r\n{fields}\r\n{body}")
}

fn ok(fields: &str, body: &str) -> String {
    answer("HTTP/1.1 200 OK", fields, body)
}

#[test]
fn first_line_that_is_none_of_http_is_a_failure() {
    let lines = [
        "HTTP/1.1 000",
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 99 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 1000 OK",
        "HTTP/1.1 2a0 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1 abc OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 2 0 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1",
        "HTTP/1.1 ",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/11 200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        "200 OK",
        "HTTP/1.1 101 Switching Protocols",
        "\0HTTP/1.1 200 OK",
        "hello",
    ];
    run_both(async |setup| {
        for line in lines {
            for end in [KEPT, CLOSE_MARK] {
                let text = answer(line, "content-length: 5\r\n", "hello");
                setup.check_fails("GET", &text, end).await;
            }
        }
    });
}

#[test]
fn interim_answer_without_a_final_one_is_a_failure() {
    run_both(async |setup| {
        for line in ["HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing", "HTTP/1.1 199 X"] {
            setup.check_fails("GET", &answer(line, "", ""), CLOSE_MARK).await;
            let text = answer(line, "", "") + &ok("content-length: 5\r\n", "hello");
            setup.check_passes("GET", &text, KEPT, (200, "hello")).await;
        }
    });
}

#[test]
fn answer_that_stops_at_any_byte_is_a_failure() {
    let texts = [
        ok("content-length: 5\r\n", "hello"),
        ok("transfer-encoding: chunked\r\ntrailer: x-sum\r\n", CHUNKED),
        ok("connection: close\r\n", ""),
        answer("HTTP/1.0 200 OK", "content-length: 5\r\n", "hello"),
        answer("HTTP/1.1 204 No Content", "", ""),
    ];
    run_both(async |setup| {
        for text in &texts {
            for end in 0..text.len() {
                for how in [CLOSE_MARK, RESET_MARK] {
                    setup.check_fails("GET", &text[..end], how).await;
                }
            }
        }
    });
}

#[test]
fn answer_that_stops_and_stays_silent_is_a_failure() {
    let texts = ["HTTP/1", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\nelmstr"];
    run_both(async |setup| {
        let head = ok("content-length: 5\r\n", "");
        for text in texts.into_iter().chain([&head[..head.len() - 2], &head]) {
            setup.check_fails("GET", text, KEPT).await;
        }
    });
}

/// A server, or a machine before it, that stopped in the middle of a head and sends another answer.
#[test]
fn answer_behind_a_head_that_stopped_is_a_failure() {
    let stopped = ok("content-length: 5\r\nx-own: value\r\n", "");
    run_both(async |setup| {
        for (line, fields, body) in [
            ("HTTP/1.1 200 OK", "content-length: 5\r\n", "hello"),
            ("HTTP/1.0 500 Error", "content-length: 0\r\n", ""),
            ("HTTP/1.1 503 Full", "content-length: 0\r\nelmstream-not-run: 1\r\n", ""),
        ] {
            for end in 1..stopped.len() {
                let text = format!("{}{}", &stopped[..end], answer(line, fields, body));
                setup.check_fails("GET", &text, KEPT).await;
            }
        }
    });
}

#[test]
fn field_that_names_a_version_of_http_is_passed_on() {
    run_both(async |setup| {
        for value in ["HTTP/1.1 proxy", "HTTP/1.1 20", "HTTP/1.1", "xHTTP/x.1 200 OK", "200 OK"] {
            let text = ok(&format!("content-length: 5\r\nvia: {value}\r\n"), "hello");
            setup.check_passes("GET", &text, KEPT, (200, "hello")).await;
        }
    });
}

#[test]
fn body_that_is_framed_wrongly_is_a_failure() {
    let cases = [
        ("content-length: 6\r\n", "hello"),
        ("content-length: 5\r\ncontent-length: 4\r\n", "hello"),
        ("content-length: 5, 4\r\n", "hello"),
        ("content-length: +5\r\n", "hello"),
        ("content-length: -5\r\n", "hello"),
        ("content-length: 0x5\r\n", "hello"),
        ("content-length: 5 5\r\n", "hello"),
        ("content-length: \r\n", "hello"),
        ("content-length: 99999999999999999999\r\n", "hello"),
        ("transfer-encoding: chunked\r\n", "hello"),
        ("transfer-encoding: chunked\r\n", "6\r\nhello\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "4\r\nhello\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "-5\r\nhello\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "5\r\nhello\r\n"),
        ("transfer-encoding: chunked\r\n", "5\r\nhello\r\n0\r\n"),
        ("transfer-encoding: chunked\r\n", "fffffffffffffffff\r\nhello\r\n0\r\n\r\n"),
    ];
    run_both(async |setup| {
        for (fields, body) in cases {
            setup.check_fails("GET", &ok(fields, body), CLOSE_MARK).await;
        }
        let old = answer("HTTP/1.0 200 OK", "transfer-encoding: chunked\r\n", CHUNKED);
        setup.check_fails("GET", &old, CLOSE_MARK).await;
    });
}

#[test]
fn whole_answers_of_any_framing_are_passed_on() {
    let cases = [
        ("GET", "HTTP/1.1 200 OK", "content-length: 5\r\n", "hello", (200, "hello")),
        ("GET", "HTTP/1.1 200", "content-length: 5\r\n", "hello", (200, "hello")),
        ("GET", "HTTP/1.1 200 ", "content-length: 5\r\n", "hello", (200, "hello")),
        ("GET", "HTTP/1.1 299 OK", "content-length: 5\r\n", "hello", (299, "hello")),
        ("GET", "HTTP/1.1 599 OK", "content-length: 5\r\n", "hello", (599, "hello")),
        ("GET", "HTTP/1.0 200 OK", "content-length: 5\r\n", "hello", (200, "hello")),
        ("GET", "HTTP/1.1 200 OK", "transfer-encoding: chunked\r\n", CHUNKED, (200, "hello, ")),
        ("GET", "HTTP/1.1 200 OK", "content-length: 0\r\n", "", (200, "")),
        ("GET", "HTTP/1.1 204 No Content", "", "", (204, "")),
        ("GET", "HTTP/1.1 304 Not Modified", "content-length: 5\r\n", "", (304, "")),
        ("HEAD", "HTTP/1.1 200 OK", "content-length: 5\r\n", "", (200, "")),
        ("HEAD", "HTTP/1.1 200 OK", "transfer-encoding: chunked\r\n", "", (200, "")),
        ("HEAD", "HTTP/1.1 200 OK", "", "", (200, "")),
    ];
    run_both(async |setup| {
        for (method, line, fields, body, wanted) in cases {
            for end in [KEPT, CLOSE_MARK] {
                setup.check_passes(method, &answer(line, fields, body), end, wanted).await;
            }
        }
    });
}

/// Bytes behind the end of an answer belong to no answer.
#[test]
fn bytes_behind_an_answer_do_not_reach_callers() {
    let cases = [
        ("GET", "HTTP/1.1 200 OK", "content-length: 0\r\n", (200, "")),
        ("GET", "HTTP/1.1 200 OK", "transfer-encoding: chunked\r\n", (200, "hello, ")),
        ("GET", "HTTP/1.1 204 No Content", "content-length: 5\r\n", (204, "")),
        ("GET", "HTTP/1.1 304 Not Modified", "content-length: 5\r\n", (304, "")),
        ("HEAD", "HTTP/1.1 200 OK", "content-length: 5\r\n", (200, "")),
    ];
    let stale = ok("content-length: 5\r\n", "stale");
    run_both(async |setup| {
        for (method, line, fields, wanted) in cases {
            let body = if fields.contains("chunked") { CHUNKED } else { "" };
            for behind in ["hello", "\r\n", &stale] {
                for end in [KEPT, CLOSE_MARK] {
                    let text = answer(line, fields, body) + behind;
                    setup.check_passes(method, &text, end, wanted).await;
                }
            }
        }
    });
}
