//! The entry daemon: reads settings, runs an entry, stops on a signal.

use std::process::ExitCode;

use azuremount::{
    daemon, entry,
    settings::{self, EntryFlags},
    signal,
};

fn main() -> ExitCode {
    let flags: EntryFlags = argh::from_env();
    let prepared = daemon::prepare(
        "azuremount-entry",
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
