//! The programs as their users meet them: help, exit codes, bad input.

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
    cluster::{Cluster, Shape},
    fixed_seeds,
    scenario::BASE,
};

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().expect("it runs")
}

const ENTRY: &str = env!("CARGO_BIN_EXE_azuremount-entry");
const CONTROL: &str = env!("CARGO_BIN_EXE_azuremount-control");
const OPERATOR: &str = env!("CARGO_BIN_EXE_azuremount");

#[test]
fn help_version_and_exit_codes() {
    for program in [ENTRY, CONTROL, OPERATOR] {
        let help = run(program, &["--help"]);
        assert_eq!(help.status.code(), Some(0));
        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        assert!(text.contains("Exit codes: 0"), "{text}");
        let version = run(program, &["--version"]);
        let text = String::from_utf8_lossy(&version.stdout).into_owned();
        assert!(text.contains(env!("CARGO_PKG_VERSION")), "{text}");
    }
    assert_eq!(run(ENTRY, &[]).status.code(), Some(2));
    assert_eq!(run(CONTROL, &[]).status.code(), Some(2));
    assert_eq!(run(OPERATOR, &[]).status.code(), Some(2));
    let refused = run(OPERATOR, &["status", "--control", "127.0.0.1:1"]);
    assert_eq!(refused.status.code(), Some(1));
}

#[test]
fn check_shows_all_errors_and_exits_with_2() {
    let folder = std::env::temp_dir()
        .join(format!("azuremount-check-{}", std::process::id()));
    fs::create_dir_all(folder.join("sites")).expect("a folder");
    fs::write(folder.join("base.toml"), "[system]\nnane = 1\n").expect("base");
    fs::write(folder.join("sites/a.toml"), "site = 3\n").expect("a site");
    let path = folder.display().to_string();
    let output = run(OPERATOR, &["check", &path]);
    fs::remove_dir_all(&folder).expect("removed");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert!(said.contains("base.toml:2: system.nane: unknown key"), "{said}");
    assert!(said.contains("sites/a.toml:1: site: must be text"), "{said}");
    let sample = run(OPERATOR, &["check", "examples/roddur"]);
    assert_eq!(sample.status.code(), Some(0));
}

fn small_cluster() -> Cluster {
    let mut cluster = Cluster::open(Shape {
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

fn ask(
    cluster: &Cluster,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> String {
    let answer = cluster.http("e1", Method::POST, path, headers, body);
    let answer = answer.expect("an answer");
    let verdict = answer.headers.get("azuremount-verdict");
    let verdict = verdict.map_or("none", |one| one.to_str().expect("text"));
    format!("{} {verdict}", answer.status.as_u16())
}

/// Path, headers, body, and what must be answered.
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
        let told = ask(&cluster, path, headers, body);
        assert_eq!(told, expected, "{path} {headers:?} {body}");
    }
    let too_large = "x".repeat(5 * 1024 * 1024);
    let path = "/v1/services/alerts/send";
    let told = cluster.http("e1", Method::POST, path, &[red, key], &too_large);
    // The entry may hang up while the rest of the body is on its way.
    if let Ok(answer) = told {
        assert_eq!(answer.status.as_u16(), 413);
    }
    assert_eq!(cluster.runs("k"), 0);
    assert_eq!(ask(&cluster, chat, &[red], &good), "200 ran");
}

/// Whatever bytes come in, the entry answers or hangs up, and serves on.
#[test]
fn random_bytes_do_not_stop_an_entry() {
    let mut cluster = small_cluster();
    let address = cluster.address("e1");
    let words: [&[u8]; 18] = [
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
            bytes.extend_from_slice(u.choose(&words)?);
        }
        let mut stream = TcpStream::connect(address).expect("it listens");
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let long = Some(Duration::from_secs(30));
        stream.set_read_timeout(long).expect("a timeout");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        Ok(())
    });
    // Heads without end are cut off, and leave no memory behind.
    let mut stream = TcpStream::connect(address).expect("it listens");
    let _ = stream.write_all(b"GET / HTTP/1.1\r\n");
    for _ in 0..2000 {
        if stream.write_all(&[b'a'; 1024]).is_err() {
            break;
        }
    }
    let red = ("azuremount-team", "red");
    let key = ("idempotency-key", "after");
    let path = "/v1/services/alerts/send";
    assert_eq!(ask(&cluster, path, &[red, key], "x"), "200 ran");
    let log = cluster.log("e1");
    assert!(!log.contains("panicked"), "{log}");
    let pid = cluster.pid("e1");
    let status = fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("a running process");
    let resident: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .expect("a size");
    assert!(resident < 256 * 1024, "{resident} kB");
}

/// A sender that stops in the middle of its body is told so, and not run.
#[test]
fn a_slow_sender_is_cut_off() {
    let cluster = small_cluster();
    let address = cluster.address("e1");
    let mut stream = TcpStream::connect(address).expect("it listens");
    let head = "POST /v1/services/alerts/send HTTP/1.1\r\nhost: e\r\n\
                azuremount-team: red\r\nidempotency-key: slow\r\n\
                content-length: 100\r\n\r\nUV";
    stream.write_all(head.as_bytes()).expect("a part of a request");
    let long = Some(Duration::from_secs(60));
    stream.set_read_timeout(long).expect("a timeout");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, then the end");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("azuremount-verdict: not run"), "{answer}");
    assert_eq!(cluster.runs("slow"), 0);
}

/// `xitca-web` links a crate for io_uring; a ring in use would be one of the
/// process's open files.
#[test]
fn no_process_uses_io_uring() {
    let mut cluster = small_cluster();
    let red = ("azuremount-team", "red");
    let key = ("idempotency-key", "ring");
    let path = "/v1/services/alerts/send";
    assert_eq!(ask(&cluster, path, &[red, key], "x"), "200 ran");
    for name in ["e1", "c1"] {
        let pid = cluster.pid(name);
        let files = fs::read_dir(format!("/proc/{pid}/fd")).expect("files");
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

/// Guards against daemons that a SIGHUP ends with the requests that they have
/// accepted.
#[test]
fn a_hangup_stops_daemons_in_order() {
    let mut cluster = small_cluster();
    for name in ["e1", "c1"] {
        cluster.hang_up(name);
        assert_eq!(cluster.wait_end(name), Some(0), "{name}");
    }
}
