//! The control daemon: reads settings, runs a member, stops on a signal.

use std::process::ExitCode;

use azuremount::{
    control::{self, Error},
    daemon,
    settings::{self, ControlFlags},
    signal,
};

fn main() -> ExitCode {
    let flags: ControlFlags = argh::from_env();
    let prepared = daemon::prepare(
        "azuremount-control",
        flags.version,
        || flags.check(settings::from_environment),
        |settings| &settings.logs,
    );
    let settings = match prepared {
        Ok(settings) => settings,
        Err(code) => return code,
    };
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
