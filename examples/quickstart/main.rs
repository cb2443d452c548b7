//! `cargo run --example quickstart`: a complete system on this machine.
//!
//! Starts one control member, two entries and two stand-in endpoints as
//! separate processes on loopback, applies the sample configuration, makes a
//! streamed model call, sends an alert, and prints what happened.

use std::{
    error::Error,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// A child process, which is killed when this value is dropped.
struct Process {
    name: String,
    child: Child,
    address: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

type Result<T> = std::result::Result<T, Box<dyn Error>>;

fn main() -> Result<()> {
    build()?;
    let folder = std::env::temp_dir()
        .join(format!("azuremount-quickstart-{}", std::process::id()));
    let control_address = free_address()?;
    let control = start(
        "azuremount-control",
        &[
            "--id=1",
            &format!("--listen={control_address}"),
            &format!("--members=1={control_address}"),
            &format!("--data-folder={}", folder.display()),
        ],
    )?;
    let entries = [
        entry("entry-1", "barasat", &control.address)?,
        entry("entry-2", "howrah", &control.address)?,
    ];
    let entry_addresses =
        format!("{},{}", entries[0].address, entries[1].address);
    operator(&[
        "apply",
        "examples/roddur",
        "--from-revision=0",
        "--change-id=quickstart",
        "--wait",
        &format!("--control={}", control.address),
    ])?;
    let endpoints = [
        endpoint("model", "gpu-1", "sathi-7b", "barasat", &entry_addresses)?,
        endpoint("plain", "sms-1", "alerts", "howrah", &entry_addresses)?,
    ];
    wait_for_endpoints(&control.address)?;
    println!("\n== a teacher asks, streamed");
    operator(&[
        "call",
        "sathi-7b",
        "Is there enough shade in the yard at noon?",
        "--team=classroom",
        "--max-tokens=24",
        "--key=quickstart-question",
        &format!("--entry={entry_addresses}"),
    ])?;
    println!("\n== an alert, at most once");
    for _ in 0..2 {
        operator(&[
            "call",
            "alerts/send",
            "UV 11 at 12:00, keep the pupils inside",
            "--team=alerts",
            "--key=quickstart-alert",
            &format!("--entry={entry_addresses}"),
        ])?;
    }
    println!("\n== how the question was routed");
    operator(&[
        "explain",
        "quickstart-question",
        &format!("--entry={entry_addresses}"),
    ])?;
    println!("\n== the system");
    operator(&["status", &format!("--control={}", control.address)])?;
    for process in endpoints.iter().chain(&entries) {
        println!("stopping {}", process.name);
    }
    drop((endpoints, entries, control));
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn build() -> Result<()> {
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--bins", "--example", "standin"]);
    // `program_folder` returns a folder of this example's own build profile.
    if program_folder()?.ends_with("release") {
        build.arg("--release");
    }
    let built = build.status()?;
    if built.success() { Ok(()) } else { Err("cargo build failed".into()) }
}

fn free_address() -> Result<String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}

/// Returns the folder of the programs, which is the parent of `examples`, the
/// folder of this executable.
fn program_folder() -> Result<PathBuf> {
    let me = std::env::current_exe()?;
    let examples = me.parent().ok_or("the executable has no parent folder")?;
    Ok(examples
        .parent()
        .ok_or("the executable has no parent folder")?
        .to_owned())
}

/// Splits `--flag=value` arguments, because `argh` takes a flag and its value
/// as two arguments.
fn split_flags(arguments: &[&str]) -> Vec<String> {
    let split = |argument: &&str| match argument.split_once('=') {
        Some((flag, value)) if flag.starts_with("--") => {
            vec![flag.to_owned(), value.to_owned()]
        }
        _ => vec![(*argument).to_owned()],
    };
    arguments.iter().flat_map(split).collect()
}

fn start(program: &str, arguments: &[&str]) -> Result<Process> {
    let mut child = Command::new(program_folder()?.join(program))
        .args(split_flags(arguments))
        .env("AZUREMOUNT_LOG_LEVEL", "warn")
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout =
        child.stdout.take().ok_or("the child process has no stdout")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .ok_or("the program did not print its listening address")?
        .to_owned();
    println!("{program} at {address}");
    Ok(Process { name: program.to_owned(), child, address })
}

fn entry(id: &str, data_centre: &str, control: &str) -> Result<Process> {
    start(
        "azuremount-entry",
        &[
            &format!("--id={id}"),
            "--listen=127.0.0.1:0",
            "--peer-listen=127.0.0.1:0",
            &format!("--data-centre={data_centre}"),
            &format!("--control={control}"),
        ],
    )
}

fn endpoint(
    kind: &str,
    id: &str,
    service: &str,
    data_centre: &str,
    entries: &str,
) -> Result<Process> {
    start(
        "examples/standin",
        &[
            &format!("--kind={kind}"),
            &format!("--id={id}"),
            &format!("--service={service}"),
            &format!("--data-centre={data_centre}"),
            &format!("--entries={entries}"),
        ],
    )
}

fn operator(arguments: &[&str]) -> Result<()> {
    let done = Command::new(program_folder()?.join("azuremount"))
        .args(split_flags(arguments))
        .status()?;
    if done.success() {
        Ok(())
    } else {
        Err(format!("azuremount {arguments:?} failed").into())
    }
}

fn wait_for_endpoints(control: &str) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let output = Command::new(program_folder()?.join("azuremount"))
            .args(["status", "--control", control])
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if text.matches(" live").count() == 2 {
            return Ok(());
        }
        sleep(Duration::from_millis(100));
    }
    Err("the endpoints were not live within 20 s".into())
}
