//! `cargo run --example quickstart`: the whole path on this machine.
//!
//! Brings up one control member, two entries and two stand-in endpoints as
//! processes of their own on loopback, applies the sample configuration,
//! makes a streamed model call and sends an alert, and says what happened.

use std::{
    error::Error,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// Ends its process when dropped.
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
    let control_at = free_address()?;
    let control = start(
        "azuremount-control",
        &[
            "--id=1",
            &format!("--listen={control_at}"),
            &format!("--members=1={control_at}"),
            &format!("--data-folder={}", folder.display()),
        ],
    )?;
    let entries = [
        entry("entry-1", "barasat", &control.address)?,
        entry("entry-2", "howrah", &control.address)?,
    ];
    let listed = format!("{},{}", entries[0].address, entries[1].address);
    operator(&[
        "apply",
        "examples/roddur",
        "--from-revision=0",
        "--change-id=quickstart",
        "--wait",
        &format!("--control={}", control.address),
    ])?;
    let endpoints = [
        endpoint("model", "gpu-1", "sathi-7b", "barasat", &listed)?,
        endpoint("plain", "sms-1", "alerts", "howrah", &listed)?,
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
        &format!("--entry={listed}"),
    ])?;
    println!("\n== an alert, at most once");
    for _ in 0..2 {
        operator(&[
            "call",
            "alerts/send",
            "UV 11 at 12:00, keep the pupils inside",
            "--team=alerts",
            "--key=quickstart-alert",
            &format!("--entry={listed}"),
        ])?;
    }
    println!("\n== why the question went where it went");
    operator(&[
        "explain",
        "quickstart-question",
        &format!("--entry={listed}"),
    ])?;
    println!("\n== the system");
    operator(&["status", &format!("--control={}", control.address)])?;
    for process in endpoints.iter().chain(&entries) {
        println!("ends {}", process.name);
    }
    drop((endpoints, entries, control));
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn build() -> Result<()> {
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--bins", "--example", "standin"]);
    // The programs are looked for beside this one.
    if programs()?.ends_with("release") {
        build.arg("--release");
    }
    let built = build.status()?;
    if built.success() { Ok(()) } else { Err("the build failed".into()) }
}

fn free_address() -> Result<String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}

/// The folder that holds the programs: this one is in `examples` below it.
fn programs() -> Result<PathBuf> {
    let me = std::env::current_exe()?;
    let examples = me.parent().ok_or("no folder")?;
    Ok(examples.parent().ok_or("no folder")?.to_owned())
}

/// `argh` takes a flag and its value as two words.
fn words(arguments: &[&str]) -> Vec<String> {
    let split = |argument: &&str| match argument.split_once('=') {
        Some((flag, value)) if flag.starts_with("--") => {
            vec![flag.to_owned(), value.to_owned()]
        }
        _ => vec![(*argument).to_owned()],
    };
    arguments.iter().flat_map(split).collect()
}

fn start(program: &str, arguments: &[&str]) -> Result<Process> {
    let mut child = Command::new(programs()?.join(program))
        .args(words(arguments))
        .env("AZUREMOUNT_LOG_LEVEL", "warn")
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take().ok_or("no output")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .ok_or("the program did not start")?
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
    let done = Command::new(programs()?.join("azuremount"))
        .args(words(arguments))
        .status()?;
    if done.success() {
        Ok(())
    } else {
        Err(format!("azuremount {arguments:?} failed").into())
    }
}

fn wait_for_endpoints(control: &str) -> Result<()> {
    let give_up = Instant::now() + Duration::from_secs(20);
    while Instant::now() < give_up {
        let output = Command::new(programs()?.join("azuremount"))
            .args(["status", "--control", control])
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if text.matches(" live").count() == 2 {
            return Ok(());
        }
        sleep(Duration::from_millis(100));
    }
    Err("the endpoints did not come up".into())
}
