//! The masticsill daemon. Each process runs one role, described by one settings file.

mod arguments;
mod node;
mod recover;
mod settings_map;

use std::process::ExitCode;

use eyre::WrapErr;
use masticsill_platform::PlatformSettings;
use masticsill_runtime::start_logging;
use masticsill_settings::Settings;

use crate::arguments::{Command, HELP, parse_arguments};

/// Exit code for invalid arguments.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("masticsill: {error}\n\n{HELP}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match execute(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("masticsill: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: &Command) -> eyre::Result<()> {
    match command {
        Command::Check(path) => {
            let settings = read_settings(path)?;
            println!(
                "{}: settings of node `{}` are sound",
                path.display(),
                settings.node
            );
            Ok(())
        }
        Command::CheckPlatform(path) => {
            let settings = PlatformSettings::read(path);
            settings.wrap_err_with(|| format!("{} is refused", path.display()))?;
            println!("{}: the platform's settings are sound", path.display());
            Ok(())
        }
        Command::Help => {
            print!("{HELP}");
            Ok(())
        }
        Command::Platform(path) => masticsill_platform::run(path),
        Command::Recover(path) => {
            start_logging();
            recover::recover(&read_settings(path)?)
        }
        Command::Run(path) => {
            let settings = read_settings(path)?;
            start_logging();
            node::run(settings, path.clone())
        }
        Command::Version => {
            println!("masticsill {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn read_settings(path: &std::path::Path) -> eyre::Result<Settings> {
    Settings::read(path).wrap_err_with(|| format!("{} is refused", path.display()))
}
