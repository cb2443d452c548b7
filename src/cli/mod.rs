//! The command line `azuremount`: what operators do, and a caller's calls.
//!
//! Exit codes: 0 done, 1 refused or failed, 2 wrong arguments or a
//! configuration that does not check.

pub mod explain;
mod files;
mod operate;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::settings;

/// Drives azuremount: checks and applies configurations, shows what is in
/// force and what runs. --control can be given as AZUREMOUNT_CONTROL, --entry
/// as AZUREMOUNT_ENTRIES. Exit codes: 0 done, 1 refused or failed, 2 wrong
/// arguments or a configuration that does not check.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// print the version and stop
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Apply(Apply),
    Show(Show),
    Status(Status),
    Drain(Drain),
    Explain(Explain),
    Call(Call),
}

/// Render all sites of a configuration and report every error.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// folder with base.toml and sites/*.toml
    #[argh(positional)]
    folder: PathBuf,
}

/// Put a configuration in force at all sites, or at none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// folder with base.toml and sites/*.toml
    #[argh(positional)]
    folder: PathBuf,
    /// the revision that it was made from; 0 for the first
    #[argh(option)]
    from_revision: u64,
    /// name of this change; send the same one again when unsure
    #[argh(option)]
    change_id: String,
    /// return only when every serving entry reports it in force
    #[argh(switch)]
    wait: bool,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Show the configuration of one site, as it is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// the data centre
    #[argh(option)]
    site: String,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Show members, entries, endpoints, and how many losses can be survived.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Give an endpoint no more work; its streams move.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// the endpoint's id
    #[argh(positional)]
    endpoint: String,
    /// milliseconds that it goes on with what it has
    #[argh(option, default = "20000")]
    within_ms: u64,
    /// why, for the record
    #[argh(option, default = "String::from(\"drained by an operator\")")]
    reason: String,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Say where a request went and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's key; with --log also a replica's id
    #[argh(positional)]
    request: String,
    /// a node's log: say what it tells, and ask nobody
    #[argh(option)]
    log: Option<PathBuf>,
    /// entries, as ip:port,ip:port
    #[argh(option)]
    entry: Option<String>,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Make a call as a caller would.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Call {
    /// the service, with a path for a plain one: alerts/send
    #[argh(positional)]
    service: String,
    /// the prompt, or the body
    #[argh(positional)]
    text: String,
    /// the team that calls
    #[argh(option)]
    team: String,
    /// name of the request; made up when not given
    #[argh(option)]
    key: Option<String>,
    /// tokens of answer at most, for a model
    #[argh(option, default = "256")]
    max_tokens: u64,
    /// seconds to wait at most
    #[argh(option, default = "30")]
    seconds: u64,
    /// entries, as ip:port,ip:port
    #[argh(option)]
    entry: Option<String>,
}

/// Why a command did not do what it was asked to.
#[derive(Debug)]
enum Failure {
    /// Wrong arguments, or a configuration that does not check.
    Wrong(String),
    /// Refused, or failed.
    Failed(String),
}

/// Runs one command.
pub fn main(arguments: Arguments) -> ExitCode {
    if arguments.version {
        println!("azuremount {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("a command is missing; see azuremount --help");
        return ExitCode::from(settings::EXIT_SETTINGS);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(command)),
        Err(error) => Err(Failure::Failed(error.to_string())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Wrong(text)) => {
            eprintln!("{text}");
            ExitCode::from(settings::EXIT_SETTINGS)
        }
        Err(Failure::Failed(text)) => {
            eprintln!("{text}");
            ExitCode::from(settings::EXIT_FAILED)
        }
    }
}

async fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Check(arguments) => operate::check(&arguments),
        Command::Apply(arguments) => operate::apply(&arguments).await,
        Command::Show(arguments) => operate::show(&arguments).await,
        Command::Status(arguments) => operate::status(&arguments).await,
        Command::Drain(arguments) => operate::drain(&arguments).await,
        Command::Explain(arguments) => operate::explain(&arguments).await,
        Command::Call(arguments) => operate::call(&arguments).await,
    }
}

fn addresses(
    flag: &Option<String>,
    name: &str,
    variable: &str,
) -> Result<Vec<SocketAddr>, Failure> {
    let text = flag
        .clone()
        .or_else(|| settings::from_environment(variable))
        .ok_or_else(|| {
        Failure::Wrong(format!("{name} ({variable}): is missing"))
    })?;
    text.split(',')
        .map(|part| {
            part.trim().parse().map_err(|_| {
                let text = format!(
                    "{name} ({variable}): {part:?} is not an address such \
                     as 10.0.0.1:7000"
                );
                Failure::Wrong(text)
            })
        })
        .collect()
}
