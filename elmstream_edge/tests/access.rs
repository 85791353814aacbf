//! Workspaces: keys, names, home regions and limits, as callers and backend servers see them.

mod support;

use std::{
    io::{self, Write},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use elmstream_edge::{Edge, event_log::EventLog, settings::Logging};
use elmstream_http::{LocalBody, body, client};
use elmstream_steer::{
    key::KeyDigest,
    model::{Configuration, Repeatability, Workspace},
    view::{RowContent, RowKey},
};
use http::{HeaderMap, Method, Request, header};
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use support::{
    Received, Running, Store, backend, configuration, good, header as field, ip, run, server,
    settings, start_edge, start_with, until,
};

/// Workspaces `w` and `v` with a key each, workspace `few` that may send 24 requests in a
/// window, and an open route.
fn workspaces(version: u64, change: impl Fn(&mut Configuration)) -> RowContent {
    let RowContent::Configuration(mut configuration) = configuration(version, Repeatability::Safe)
    else {
        panic!("a configuration");
    };
    let workspace = |name: &str, key: &str| Workspace {
        name: name.into(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        ..Workspace::default()
    };
    let mut limited = workspace("few", "key-few");
    (limited.rate_per_s, limited.burst) = (4.0, 4.0);
    configuration.workspaces = vec![workspace("w", "key-w"), workspace("v", "key-v"), limited];
    let mut open = configuration.routes[0].clone();
    (open.prefix, open.open) = ("/open/".into(), true);
    configuration.routes.push(open);
    change(&mut configuration);
    RowContent::Configuration(configuration)
}

/// A host with a server, and what the server receives.
async fn serving() -> (Store, Running, Received) {
    let ip = ip();
    serving_with(ip, Edge::new(settings(ip, &[]))).await
}

/// Starts the given host with a server, and returns what the server receives.
async fn serving_with(at: IpAddr, edge: Rc<Edge>) -> (Store, Running, Received) {
    let (address, received) = backend(ip(), |head| good(head, "ok")).await;
    let store = Store::default();
    store.put(RowKey::Configuration, Some(workspaces(1, |_| ())));
    store.put(RowKey::Server("s-0".into()), Some(server(address)));
    let running = start_edge(at, edge, &store);
    let is_ready = || running.edge.serves() && running.edge.steer.borrow().has_host_list();
    assert!(until(Duration::from_secs(3), is_ready).await, "the host is ready");
    (store, running, received)
}

async fn connect(host: SocketAddr) -> SendRequest<LocalBody> {
    client::connect(host, Duration::from_secs(1)).await.expect("a connection")
}

/// Status, result code and headers of a response.
struct Answer {
    status: u16,
    code: String,
    headers: HeaderMap,
}

async fn ask(sender: &mut SendRequest<LocalBody>, path: &str, headers: &[(&str, &str)]) -> Answer {
    let mut request = Request::builder()
        .uri(path)
        .header("host", "shop.example")
        .header("elmstream-request", path)
        .header("elmstream-affinity", path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body::empty()).expect("a request");
    let (parts, incoming) = sender.send_request(request).await.expect("an answer").into_parts();
    incoming.collect().await.expect("a whole answer");
    let code = parts.headers.get("elmstream-code").map(|code| code.to_str().unwrap_or_default());
    let code = code.unwrap_or_default().to_owned();
    Answer { status: parts.status.as_u16(), code, headers: parts.headers }
}

/// Sends a request over a new connection.
async fn once(host: SocketAddr, path: &str, headers: &[(&str, &str)]) -> (u16, String) {
    let answer = ask(&mut connect(host).await, path, headers).await;
    (answer.status, answer.code)
}

fn denied(code: u16) -> (u16, String) {
    (401, code.to_string())
}

#[test]
fn route_requires_a_key_unless_it_is_open() {
    run(async || {
        let (_store, host, received) = serving().await;
        let at = host.callers;
        let key = |key| [("authorization", key)];
        assert_eq!(once(at, "/a", &[]).await, denied(1003));
        assert_eq!(once(at, "/a", &key("Bearer key-x")).await, denied(1004));
        assert_eq!(once(at, "/a", &key("Bearer key-w ")).await.0, 200);
        assert_eq!(once(at, "/a", &key("bearer key-w")).await.0, 200);
        for ambiguous in ["key-w", "Basic key-w", "Bearer", "Bearer key-w,key-v", "Bearer a key-w"]
        {
            assert_eq!(once(at, "/a", &key(ambiguous)).await, denied(1005), "{ambiguous}");
        }
        let two = [("authorization", "Bearer key-w"), ("authorization", "Bearer key-w")];
        assert_eq!(once(at, "/a", &two).await, denied(1005));
        assert_eq!(once(at, "/open/a", &[]).await.0, 200);
        assert_eq!(once(at, "/open/a", &key("Bearer key-x")).await.0, 200);
        let answer = ask(&mut connect(at).await, "/a", &[]).await;
        assert_eq!(answer.headers.get(header::WWW_AUTHENTICATE).expect("a scheme"), "Bearer");
        assert_eq!(received.requests.borrow().len(), 4, "denied requests reach no server");
    });
}

#[test]
fn servers_receive_the_workspace_name_and_never_the_key() {
    run(async || {
        let (_store, host, received) = serving().await;
        let own = [
            ("authorization", "Bearer key-w"),
            ("elmstream-workspace", "v"),
            ("elmstream-workspace", "few"),
        ];
        assert_eq!(once(host.callers, "/a", &own).await.0, 200);
        assert_eq!(once(host.callers, "/open/a", &own[1..]).await.0, 200);
        assert_eq!(
            once(host.callers, "/open/b", &[("authorization", "Bearer key-x")]).await.0,
            200
        );
        let heads = received.requests.take();
        assert_eq!(field(&heads[0], "elmstream-workspace"), "w");
        assert_eq!(heads[0].to_lowercase().matches("elmstream-workspace").count(), 1);
        for head in &heads[1..] {
            assert!(!head.to_lowercase().contains("elmstream-workspace"), "{head}");
        }
        assert!(heads.iter().all(|head| !head.contains("key-")), "{heads:?}");
    });
}

#[test]
fn retries_and_uploads_carry_the_workspace_name() {
    run(async || {
        let full = "HTTP/1.1 503 Full\r\nelmstream-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let refuse_full = move |head: &str| match head.contains("/full") {
            true => full.into(),
            false => good(head, "ok"),
        };
        let (store, host, received) = serving().await;
        let (other, got_other) = backend(ip(), refuse_full).await;
        let (third, got_third) = backend(ip(), refuse_full).await;
        store.put(RowKey::Server("s-0".into()), None);
        store.put(RowKey::Server("s-1".into()), Some(server(other)));
        store.put(RowKey::Server("s-2".into()), Some(server(third)));
        let listed = || host.edge.steer.borrow().servers().all().count() == 2;
        assert!(until(Duration::from_secs(2), listed).await);
        let key = [("authorization", "Bearer key-v")];
        for n in 0..30 {
            assert_eq!(once(host.callers, &format!("/{n}"), &key).await, (200, String::new()));
        }
        assert_eq!(once(host.callers, "/full", &key).await.0, 503);
        // A server that reported to be full gets no requests for a moment.
        compio::time::sleep(Duration::from_millis(150)).await;
        let mut sender = connect(host.callers).await;
        let upload = Request::builder()
            .method(Method::POST)
            .uri("/upload")
            .header("host", "shop.example")
            .header("elmstream-request", "u")
            .header("authorization", "Bearer key-v")
            .header("elmstream-workspace", "w");
        let upload = upload.body(body::full(Bytes::from(vec![7; 4_096]))).expect("a request");
        assert_eq!(sender.send_request(upload).await.expect("an answer").status(), 200);
        let heads =
            [received.requests.take(), got_other.requests.take(), got_third.requests.take()];
        let heads = heads.concat();
        assert_eq!(heads.iter().filter(|head| head.contains("/full")).count(), 2, "one retry");
        assert!(heads.iter().all(|head| field(head, "elmstream-workspace") == "v"), "{heads:?}");
        assert!(heads.iter().all(|head| !head.contains("key-")));
    });
}

#[test]
fn removed_key_is_refused_on_open_connections() {
    run(async || {
        let (store, host, _got) = serving().await;
        let mut connection = connect(host.callers).await;
        let key = [("authorization", "Bearer key-w")];
        assert_eq!(ask(&mut connection, "/a", &key).await.status, 200);
        store.put(RowKey::Configuration, Some(workspaces(2, |new| new.workspaces[0].keys.clear())));
        let is_newer = || host.edge.steer.borrow().configuration_version() == Some(2);
        assert!(until(Duration::from_secs(2), is_newer).await);
        let answer = ask(&mut connection, "/a", &key).await;
        assert_eq!((answer.status, answer.code.as_str()), (401, "1004"));
        // An older configuration that arrives late does not restore the key.
        store.put(RowKey::Configuration, Some(workspaces(1, |_| ())));
        compio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(ask(&mut connection, "/a", &key).await.status, 401);
        assert_eq!(
            ask(&mut connection, "/a", &[("authorization", "Bearer key-v")]).await.status,
            200
        );
    });
}

#[test]
fn host_without_current_configuration_answers_503() {
    run(async || {
        let at = ip();
        let store = Store::default();
        store.down.set(true);
        let host = start_with(at, settings(at, &[]), &store);
        compio::time::sleep(Duration::from_millis(100)).await;
        let key = [("authorization", "Bearer key-w")];
        assert_eq!(once(host.callers, "/a", &key).await, (503, "1101".into()));
        assert_eq!(once(host.callers, "/a", &[]).await, (503, "1101".into()));

        let (store, host, _got) = serving().await;
        store.down.set(true);
        // Three fifths of the configuration bound, and the duration of a call.
        compio::time::sleep(Duration::from_millis(1_900)).await;
        let unknown = [("authorization", "Bearer key-new")];
        assert_eq!(once(host.callers, "/a", &unknown).await, (503, "1118".into()));
        assert_eq!(once(host.callers, "/a", &key).await.0, 200);
    });
}

#[test]
fn key_that_may_be_new_does_not_run_without_its_workspace_on_open_routes() {
    run(async || {
        let (store, host, received) = serving().await;
        let unknown = [("authorization", "Bearer key-new")];
        assert_eq!(once(host.callers, "/open/a", &unknown).await.0, 200);
        store.down.set(true);
        // Three fifths of the configuration bound, and the duration of a call.
        compio::time::sleep(Duration::from_millis(1_900)).await;
        assert_eq!(once(host.callers, "/open/a", &unknown).await, (503, "1118".into()));
        assert_eq!(once(host.callers, "/open/a", &[]).await.0, 200);
        assert_eq!(received.requests.borrow().len(), 2);
    });
}

#[test]
fn home_regions_of_workspace_and_route_both_apply() {
    run(async || {
        let (store, host, received) = serving().await;
        let homes = |workspace: &'static [&str], route: &'static [&str]| {
            move |new: &mut Configuration| {
                new.workspaces[0].homes = workspace.iter().map(|home| (*home).into()).collect();
                new.routes[0].homes = route.iter().map(|home| (*home).into()).collect();
            }
        };
        let mut version = 1;
        let key = [("authorization", "Bearer key-w")];
        // The only server is in region `a`.
        let cases: [(&[&str], &[&str], u16); 5] = [
            (&["a"], &[], 200),
            (&["b"], &[], 503),
            (&["a", "b"], &["a"], 200),
            (&["a"], &["b"], 503),
            (&["b"], &["a"], 503),
        ];
        for (workspace, route, status) in cases {
            version += 1;
            store.put(RowKey::Configuration, Some(workspaces(version, homes(workspace, route))));
            let is_newer = || host.edge.steer.borrow().configuration_version() == Some(version);
            assert!(until(Duration::from_secs(2), is_newer).await);
            let path = format!("/{version}");
            assert_eq!(once(host.callers, &path, &key).await.0, status, "{workspace:?} {route:?}");
        }
        assert_eq!(received.requests.borrow().len(), 2);
    });
}

#[test]
fn workspace_over_its_limit_gets_429_with_retry_after() {
    run(async || {
        let (_store, host, received) = serving().await;
        let key = [("authorization", "Bearer key-few")];
        let mut sender = connect(host.callers).await;
        let mut answers = Vec::new();
        for n in 0..100 {
            answers.push(ask(&mut sender, &format!("/{n}"), &key).await);
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let throttled: Vec<_> = answers.iter().filter(|answer| answer.status == 429).collect();
        // 24 in a window, and what the bounds allow on top; fewer at first, as a host that
        // has just started assumes most of the limit to be used.
        let ran = received.requests.borrow().len();
        assert!((6..=46).contains(&ran), "{ran} ran");
        assert_eq!(throttled.len() + ran, 100);
        for answer in throttled {
            assert_eq!(answer.code, "1119");
            let retry = answer.headers.get(header::RETRY_AFTER).expect("a time");
            let retry: f64 = retry.to_str().expect("a text").parse().expect("a number");
            assert!((0.3..=5.0).contains(&retry), "{retry}");
        }
        let unlimited_key = [("authorization", "Bearer key-w")];
        assert_eq!(
            once(host.callers, "/w", &unlimited_key).await.0,
            200,
            "other workspaces are not throttled"
        );
    });
}

/// Collects what is written, shared with the test.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn event_log_never_contains_a_key() {
    run(async || {
        let written = SharedOutput::default();
        let logging = Logging { sample: 1, lines_per_s: 1_000, beliefs_per_s: 1_000 };
        let at = ip();
        let edge = Edge::with_event_log(
            settings(at, &[]),
            EventLog::with_output(&logging, written.clone()),
        );
        let (_store, host, _got) = serving_with(at, edge).await;
        for (path, key) in [
            ("/a", "Bearer key-w"),
            ("/a", "Bearer key-x"),
            ("/a", "Basic key-w"),
            ("/nowhere", "Bearer key-few"),
        ] {
            once(host.callers, path, &[("authorization", key)]).await;
        }
        for n in 0..60 {
            once(host.callers, &format!("/{n}"), &[("authorization", "Bearer key-few")]).await;
        }
        host.edge.event_log.close();
        let bytes = written.0.lock().expect("no panic").clone();
        let text = String::from_utf8(bytes).expect("text");
        assert!(text.contains("\"denied\"") && text.contains("\"limited\""), "{text}");
        assert!(text.contains("\"workspace\":\"few\""), "{text}");
        assert!(!text.contains("key-"), "{text}");
    });
}
