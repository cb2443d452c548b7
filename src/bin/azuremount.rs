//! The operators' command line.

use std::process::ExitCode;

use azuremount::cli;

fn main() -> ExitCode {
    cli::main(argh::from_env())
}
