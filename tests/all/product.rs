//! Tests the programs from outside: help texts, exit codes, invalid input and
//! signals.

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    process::{Command, Output},
    time::Duration,
};

use http::Method;
use serde_json::json;

use super::{
    cluster::{Cluster, ClusterSpec},
    fixed_seeds,
    scenario::BASE,
};

fn run_program(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().expect("program starts")
}

const ENTRY: &str = env!("CARGO_BIN_EXE_azuremount-entry");
const CONTROL: &str = env!("CARGO_BIN_EXE_azuremount-control");
const OPERATOR: &str = env!("CARGO_BIN_EXE_azuremount");

#[test]
fn help_version_and_exit_codes() {
    for program in [ENTRY, CONTROL, OPERATOR] {
        let help = run_program(program, &["--help"]);
        assert_eq!(help.status.code(), Some(0));
        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        assert!(text.contains("Exit codes: 0"), "{text}");
        let version = run_program(program, &["--version"]);
        let text = String::from_utf8_lossy(&version.stdout).into_owned();
        assert!(text.contains(env!("CARGO_PKG_VERSION")), "{text}");
    }
    assert_eq!(run_program(ENTRY, &[]).status.code(), Some(2));
    assert_eq!(run_program(CONTROL, &[]).status.code(), Some(2));
    assert_eq!(run_program(OPERATOR, &[]).status.code(), Some(2));
    let unreachable =
        run_program(OPERATOR, &["status", "--control", "127.0.0.1:1"]);
    assert_eq!(unreachable.status.code(), Some(1));
}

#[test]
fn check_shows_all_errors_and_exits_with_2() {
    let folder = std::env::temp_dir()
        .join(format!("azuremount-check-{}", std::process::id()));
    fs::create_dir_all(folder.join("sites")).expect("folder is created");
    fs::write(folder.join("base.toml"), "[system]\nnane = 1\n")
        .expect("base.toml is written");
    fs::write(folder.join("sites/a.toml"), "site = 3\n")
        .expect("site file is written");
    let path = folder.display().to_string();
    let output = run_program(OPERATOR, &["check", &path]);
    fs::remove_dir_all(&folder).expect("folder is removed");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(
        errors.contains("base.toml:2: system.nane: unknown key"),
        "{errors}"
    );
    assert!(errors.contains("sites/a.toml:1: site: must be text"), "{errors}");
    let sample = run_program(OPERATOR, &["check", "examples/roddur"]);
    assert_eq!(sample.status.code(), Some(0));
}

fn small_cluster() -> Cluster {
    let mut cluster = Cluster::open(ClusterSpec {
        controls: 1,
        entries: 1,
        models: 1,
        plains: 1,
        base: BASE.to_owned(),
        sites: vec!["east".to_owned(), "west".to_owned()],
        control_flags: Vec::new(),
        model_flags: Vec::new(),
        plain_flags: Vec::new(),
        relay_endpoints: false,
    });
    cluster.apply_first();
    cluster.wait("endpoints", |cluster| {
        let status = cluster.status();
        status.endpoints.len() == 2 && status.entries.len() == 1
    });
    cluster
}

fn post(
    cluster: &Cluster,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> String {
    let answer = cluster.http("e1", Method::POST, path, headers, body);
    let answer = answer.expect("entry answers");
    let verdict = answer.headers.get("azuremount-verdict");
    let verdict = verdict
        .map_or("none", |verdict| verdict.to_str().expect("verdict is text"));
    format!("{} {verdict}", answer.status.as_u16())
}

/// Path, headers, body, and the expected status and verdict.
type Case<'a> = (&'a str, &'a [(&'static str, &'a str)], &'a str, &'a str);

#[test]
fn bad_requests_are_refused_as_not_run() {
    let cluster = small_cluster();
    let red = ("azuremount-team", "red");
    let key = ("idempotency-key", "k");
    let chat = "/v1/chat/completions";
    let good = json!({
        "model": "model", "max_tokens": 2,
        "messages": [{ "role": "user", "content": "x" }],
    })
    .to_string();
    let cases: [Case<'_>; 20] = [
        ("/v1/nothing", &[red], "", "404 not run"),
        ("/v1/services/none/x", &[red, key], "", "404 not run"),
        ("/v1/services/model/x", &[red, key], "", "404 not run"),
        ("/v1/services/alerts/send", &[key], "", "400 not run"),
        ("/v1/services/alerts/send", &[red], "", "400 not run"),
        (
            "/v1/services/alerts/send",
            &[("azuremount-team", "nobody"), key],
            "",
            "400 not run",
        ),
        (
            "/v1/services/alerts/send",
            &[red, ("idempotency-key", "no spaces")],
            "",
            "400 not run",
        ),
        (
            "/v1/services/alerts/send",
            &[red, key, ("azuremount-deadline-ms", "soon")],
            "",
            "400 not run",
        ),
        (
            "/v1/services/alerts/send",
            &[red, key, ("azuremount-deadline-ms", "0")],
            "",
            "400 not run",
        ),
        ("/v1/services/alerts/send", &[red, red, key], "", "400 not run"),
        (chat, &[red], "", "400 not run"),
        (chat, &[red], &good[..good.len() - 3], "400 not run"),
        (chat, &[red], "[]", "400 not run"),
        (chat, &[red], "{\"model\": 7}", "400 not run"),
        (
            chat,
            &[red],
            "{\"model\":\"model\",\"messages\":\"hello\"}",
            "400 not run",
        ),
        (
            chat,
            &[red],
            "{\"model\":\"model\",\"messages\":[{\"role\":1}]}",
            "400 not run",
        ),
        (
            chat,
            &[red],
            "{\"model\":\"other\",\"messages\":[{\"role\":\"user\",\
             \"content\":\"x\"}]}",
            "404 not run",
        ),
        (chat, &[], &good, "400 not run"),
        ("/v1/endpoints/announce", &[], "{\"id\":\"\"}", "400 not run"),
        ("/v1/endpoints/dance", &[], "{}", "404 not run"),
    ];
    for (path, headers, body, expected) in cases {
        let answer = post(&cluster, path, headers, body);
        assert_eq!(answer, expected, "{path} {headers:?} {body}");
    }
    let too_large = "x".repeat(5 * 1024 * 1024);
    let path = "/v1/services/alerts/send";
    let answer =
        cluster.http("e1", Method::POST, path, &[red, key], &too_large);
    // The entry may close the connection before it has read the whole body.
    if let Ok(answer) = answer {
        assert_eq!(answer.status.as_u16(), 413);
    }
    assert_eq!(cluster.runs("k"), 0);
    assert_eq!(post(&cluster, chat, &[red], &good), "200 ran");
}

/// Guards against input that makes an entry panic, hang or keep memory. The
/// entry must answer random bytes or close the connection, and must go on
/// serving.
#[test]
fn random_bytes_do_not_stop_an_entry() {
    let mut cluster = small_cluster();
    let address = cluster.address("e1");
    let fragments: [&[u8]; 18] = [
        b"GET ",
        b"POST ",
        b"/v1/chat/completions",
        b" HTTP/1.1\r\n",
        b"content-length: ",
        b"99999999999999999999",
        b"5",
        b"\r\n",
        b"transfer-encoding: chunked",
        b"\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"\0\0\0",
        b"\xff\xfe",
        b"host: x\r\n",
        b"{\"model\":",
        b"0\r\n\r\n",
        b": \r\n",
        b"azuremount-team: red\r\n",
    ];
    fixed_seeds(150, |u| {
        let mut bytes = Vec::new();
        for _ in 0..u.int_in_range(1..=30)? {
            bytes.extend_from_slice(u.choose(&fragments)?);
        }
        let mut stream = TcpStream::connect(address).expect("entry listens");
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let read_timeout = Some(Duration::from_secs(30));
        stream.set_read_timeout(read_timeout).expect("read timeout is set");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        Ok(())
    });
    // The entry closes connections whose head never ends, and frees their
    // memory.
    let mut stream = TcpStream::connect(address).expect("entry listens");
    let _ = stream.write_all(b"GET / HTTP/1.1\r\n");
    for _ in 0..2000 {
        if stream.write_all(&[b'a'; 1024]).is_err() {
            break;
        }
    }
    let red = ("azuremount-team", "red");
    let key = ("idempotency-key", "after");
    let path = "/v1/services/alerts/send";
    assert_eq!(post(&cluster, path, &[red, key], "x"), "200 ran");
    let log = cluster.log("e1");
    assert!(!log.contains("panicked"), "{log}");
    let pid = cluster.pid("e1");
    let status = fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("process is running");
    let resident_kb: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .expect("status has a resident size");
    assert!(resident_kb < 256 * 1024, "{resident_kb} kB");
}

/// Guards against requests to an endpoint during a backoff that it requested
/// with a rejection, and against callers that are told to return before its
/// end.
#[test]
fn an_endpoint_is_sent_nothing_during_its_backoff() {
    let cluster = small_cluster();
    let red = ("azuremount-team", "red");
    let rejected = |cluster: &Cluster, name: &str| {
        let stats = cluster.get(name, "/standin/stats");
        stats["rejected"].as_u64().expect("a number of rejections")
    };
    cluster.fault("p1", "back_off", Some(60));
    for number in 0..5 {
        let key = format!("k{number}");
        let headers = [red, ("idempotency-key", key.as_str())];
        let path = "/v1/services/alerts/send";
        let answer = cluster.http("e1", Method::POST, path, &headers, "x");
        let answer = answer.expect("entry answers");
        assert_eq!(answer.status.as_u16(), 503);
        let wait = &answer.headers["retry-after"];
        let wait: u64 = wait.to_str().unwrap().parse().unwrap();
        assert!((30..=70).contains(&wait), "Retry-After: {wait}");
    }
    assert_eq!(rejected(&cluster, "p1"), 1);
    cluster.fault("m1", "back_off", Some(60));
    let chat = json!({
        "model": "model", "max_tokens": 2,
        "messages": [{ "role": "user", "content": "x" }],
    });
    let headers = [red, ("azuremount-deadline-ms", "2000")];
    let path = "/v1/chat/completions";
    for _ in 0..2 {
        let body = chat.to_string();
        let _ = cluster.http("e1", Method::POST, path, &headers, &body);
    }
    assert_eq!(rejected(&cluster, "m1"), 1);
}

/// Guards against requests that wait forever for the rest of their body. A
/// caller that stops sending in the middle of the body receives 408, and the
/// request is not run.
#[test]
fn incomplete_body_times_out_as_not_run() {
    let cluster = small_cluster();
    let address = cluster.address("e1");
    let mut stream = TcpStream::connect(address).expect("entry listens");
    let head = "POST /v1/services/alerts/send HTTP/1.1\r\nhost: e\r\n\
                azuremount-team: red\r\nidempotency-key: slow\r\n\
                content-length: 100\r\n\r\nUV";
    stream.write_all(head.as_bytes()).expect("part of a request is sent");
    let read_timeout = Some(Duration::from_secs(60));
    stream.set_read_timeout(read_timeout).expect("read timeout is set");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer, then end of stream");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("azuremount-verdict: not run"), "{answer}");
    assert_eq!(cluster.runs("slow"), 0);
}

/// Guards against the use of io_uring, for which `xitca-web` links a crate. A
/// ring in use appears among the open files of the process.
#[test]
fn no_process_uses_io_uring() {
    let mut cluster = small_cluster();
    let red = ("azuremount-team", "red");
    let key = ("idempotency-key", "ring");
    let path = "/v1/services/alerts/send";
    assert_eq!(post(&cluster, path, &[red, key], "x"), "200 ran");
    for name in ["e1", "c1"] {
        let pid = cluster.pid(name);
        let files = fs::read_dir(format!("/proc/{pid}/fd"))
            .expect("open files can be listed");
        let mut seen = 0;
        for file in files.flatten() {
            let Ok(target) = fs::read_link(file.path()) else { continue };
            let target = target.display().to_string();
            assert!(!target.contains("io_uring"), "{name}: {target}");
            seen += 1;
        }
        assert!(seen > 5, "{name} has only {seen} open files");
    }
}

/// Guards against daemons that SIGHUP kills without a drain, together with the
/// requests that they have accepted.
#[test]
fn sighup_stops_daemons_gracefully() {
    let mut cluster = small_cluster();
    for name in ["e1", "c1"] {
        cluster.hang_up(name);
        assert_eq!(cluster.wait_for_exit(name), Some(0), "{name}");
    }
}
