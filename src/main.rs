//! The arbutusshelf daemon and its command line.

use std::process::ExitCode;

use arbutusshelf::{cli::Cli, commands, error::Result};

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("[arbutusshelf error]: {e}");
            ExitCode::from(e.kind.exit_code())
        }
    }
}

fn run() -> Result<ExitCode> {
    let cli = argh::from_env::<Cli>();
    commands::run(cli)
}
