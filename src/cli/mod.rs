//! The command line `azuremount`, for operators' commands and test calls.
//!
//! Exit codes: 0 done, 1 refused or failed, 2 invalid arguments or
//! configuration.

pub mod explain;
mod files;
mod operate;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::settings;

/// Operates azuremount: checks and applies configurations, shows the
/// configuration in force and the state of the system. --control can be given
/// as AZUREMOUNT_CONTROL, --entry as AZUREMOUNT_ENTRIES. Exit codes: 0 done, 1
/// refused or failed, 2 invalid arguments or configuration.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// print the version and exit
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
    Release(Release),
    Rollout(Rollout),
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

/// Apply a configuration at all sites, or at none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// folder with base.toml and sites/*.toml
    #[argh(positional)]
    folder: PathBuf,
    /// the revision that the change is based on; 0 for the first
    #[argh(option)]
    from_revision: u64,
    /// id of this change; use the same id to retry after an unknown outcome
    #[argh(option)]
    change_id: String,
    /// wait until every entry reports the configuration in force
    #[argh(switch)]
    wait: bool,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Show the configuration of one site that is in force.
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

/// Show members, entries, endpoints, and how many members control can lose.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Drain an endpoint: it gets no new work, and its streams move.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// the endpoint's id
    #[argh(positional)]
    endpoint: String,
    /// milliseconds that the endpoint has to finish its requests
    #[argh(option, default = "20000")]
    within_ms: u64,
    /// reason, recorded with the order
    #[argh(option, default = "String::from(\"drained by an operator\")")]
    reason: String,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Send requests with a part of a prompt to replicas again, although replicas
/// crashed under it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "release")]
pub struct Release {
    /// id of the part in hexadecimal digits, as refusals log it
    #[argh(positional)]
    part: String,
    /// any node that takes requests, as ip:port of its port for other nodes
    #[argh(option)]
    node: std::net::SocketAddr,
}

/// Move a service to another software version, or show how far that is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
    #[argh(subcommand)]
    action: RolloutAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum RolloutAction {
    Start(StartRollout),
    Show(ShowRollout),
}

/// Move the traffic of a service to a software version, step by step.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartRollout {
    /// the service
    #[argh(positional)]
    service: String,
    /// the software version
    #[argh(positional)]
    to: String,
    /// seconds until the roll-out is completed or reverted
    #[argh(option)]
    seconds: u64,
    /// any node, as ip:port of its port for other nodes
    #[argh(option)]
    node: std::net::SocketAddr,
}

/// Show the roll-outs of a service, or of all services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowRollout {
    /// the service
    #[argh(positional)]
    service: Option<String>,
    /// control members, as ip:port,ip:port; at nodes, the port for other nodes
    #[argh(option)]
    control: Option<String>,
}

/// Explain where a request was sent and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's key; with --log also a replica's id, a fingerprint or a
    /// part of prompts
    #[argh(positional)]
    request: String,
    /// read this log of a node instead of asking entries
    #[argh(option)]
    log: Option<PathBuf>,
    /// entries, as ip:port,ip:port
    #[argh(option)]
    entry: Option<String>,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
}

/// Send a request as a caller does.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Call {
    /// the service; a plain service with a path, such as alerts/send
    #[argh(positional)]
    service: String,
    /// the prompt of a model call, or the body of a plain call
    #[argh(positional)]
    text: String,
    /// the team that the request belongs to
    #[argh(option)]
    team: String,
    /// key of the request (default: random)
    #[argh(option)]
    key: Option<String>,
    /// maximum number of answer tokens, for a model
    #[argh(option, default = "256")]
    max_tokens: u64,
    /// maximum time to wait, in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// entries, as ip:port,ip:port
    #[argh(option)]
    entry: Option<String>,
}

/// Why a command failed.
#[derive(Debug)]
enum Failure {
    /// Invalid arguments or configuration; exit code 2.
    Invalid(String),
    /// Refused or failed; exit code 1.
    Failed(String),
}

/// Runs one command.
pub fn main(arguments: Arguments) -> ExitCode {
    if arguments.version {
        println!("azuremount {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("no command given; see azuremount --help");
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
        Err(Failure::Invalid(text)) => {
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
        Command::Release(arguments) => operate::release(&arguments).await,
        Command::Rollout(arguments) => match arguments.action {
            RolloutAction::Start(start) => {
                operate::start_rollout(&start).await
            }
            RolloutAction::Show(show) => operate::show_rollout(&show).await,
        },
        Command::Explain(arguments) => operate::explain(&arguments).await,
        Command::Call(arguments) => operate::call(&arguments).await,
    }
}

fn parse_addresses(
    flag: &Option<String>,
    name: &str,
    variable: &str,
) -> Result<Vec<SocketAddr>, Failure> {
    let text = flag
        .clone()
        .or_else(|| settings::from_environment(variable))
        .ok_or_else(|| {
        Failure::Invalid(format!("{name} ({variable}): is missing"))
    })?;
    text.split(',')
        .map(|part| {
            part.trim().parse().map_err(|_| {
                let text = format!(
                    "{name} ({variable}): {part:?} is not an address such \
                     as 10.0.0.1:7000"
                );
                Failure::Invalid(text)
            })
        })
        .collect()
}
