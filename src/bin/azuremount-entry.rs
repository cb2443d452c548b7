//! The entry daemon: reads settings, runs an entry, stops on a signal.

use std::process::ExitCode;

use azuremount::{
    entry, logs,
    settings::{self, EntryFlags},
    signal,
};

fn main() -> ExitCode {
    let flags: EntryFlags = argh::from_env();
    if flags.version {
        println!("azuremount-entry {}", env!("CARGO_PKG_VERSION"));
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
            eprintln!("azuremount-entry: {error}");
            ExitCode::from(settings::EXIT_FAILED)
        }
    }
}

#[tokio::main]
async fn run(settings: &settings::Entry) -> std::io::Result<()> {
    let stop = signal::stop()?;
    let entry = entry::spawn(settings).await?;
    println!("listening {}", entry.address());
    stop.await;
    entry.shutdown().await;
    Ok(())
}
