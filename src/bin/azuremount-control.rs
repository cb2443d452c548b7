//! The control daemon: reads settings, runs a member, stops on a signal.

use std::process::ExitCode;

use azuremount::{
    control::{self, Error},
    logs,
    settings::{self, ControlFlags},
    signal,
};

fn main() -> ExitCode {
    let flags: ControlFlags = argh::from_env();
    if flags.version {
        println!("azuremount-control {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match flags.check(settings::from_environment) {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::from(settings::EXIT_SETTINGS);
        }
    };
    let opened = logs::open(settings.logs.format, &settings.logs.level);
    if let Err(error) = opened {
        eprintln!("--log-level: {error}");
        return ExitCode::from(settings::EXIT_SETTINGS);
    }
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azuremount-control: {error}");
            ExitCode::from(match error {
                Error::Disk(_) => settings::EXIT_DATA,
                Error::Io(_) => settings::EXIT_FAILED,
            })
        }
    }
}

#[tokio::main]
async fn run(settings: &settings::Control) -> Result<(), Error> {
    let stop = signal::stop()?;
    let mut member = control::spawn(settings).await?;
    println!("listening {}", member.address());
    tokio::select! {
        () = stop => {
            member.shutdown().await;
            Ok(())
        }
        ended = member.ended() => ended,
    }
}
