//! Parses the command line of the daemon.

use std::path::PathBuf;

use lexopt::prelude::{Long, Short, Value};

/// Output of `--help`.
pub(crate) const HELP: &str = "\
masticsill: serves long generations on engines that fail

Usage:
  masticsill run FILE      run one process with the settings in FILE
  masticsill check FILE    check a settings file and say what is wrong
  masticsill platform FILE [--check]
                           run, or check, one process of the users' platform with its settings
  masticsill recover FILE --accept-loss
                           make this control replica the only voter, after the majority was
                           lost for good; docs/OPERATIONS.md says what it risks
  masticsill --help        print this text
  masticsill --version     print the version

The settings name exactly one role: `entry` serves callers, `agent` stands beside an endpoint,
`control` keeps the catalogue. docs/SETTINGS.md lists every field, examples/ holds sets to begin
with. SIGTERM and SIGINT end the process gracefully.

Once it serves, the process prints `listening KIND on ADDRESS` for each listener and then `ready`.
Log lines go to standard error; RUST_LOG chooses the level. docs/EVENTS.md explains each event.

Exit codes:
  0  the process ended as asked, or the settings are sound
  1  the process could not start or ended by a fault; the message names the remedy
  2  the arguments are wrong
";

/// The command to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Check a settings file.
    Check(PathBuf),
    /// Check the settings file of a platform process.
    CheckPlatform(PathBuf),
    /// Print the help.
    Help,
    /// Run a platform process with its settings file.
    Platform(PathBuf),
    /// Make a control replica the only voter, after the majority was lost permanently.
    Recover(PathBuf),
    /// Run one process with its settings file.
    Run(PathBuf),
    /// Print the version.
    Version,
}

/// Parses the command line.
pub(crate) fn parse_arguments() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut positional: Vec<String> = Vec::new();
    let mut is_loss_accepted = false;
    let mut is_check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("accept-loss") => is_loss_accepted = true,
            Long("check") => is_check = true,
            Value(word) => positional.push(word.into_string()?),
            Long(_) | Short(_) => return Err(argument.unexpected()),
        }
    }
    match positional.as_slice() {
        [command, file] if command == "run" => Ok(Command::Run(PathBuf::from(file))),
        [command, file] if command == "check" => Ok(Command::Check(PathBuf::from(file))),
        [command, file] if command == "platform" && is_check => {
            Ok(Command::CheckPlatform(PathBuf::from(file)))
        }
        [command, file] if command == "platform" => Ok(Command::Platform(PathBuf::from(file))),
        [command, file] if command == "recover" && is_loss_accepted => {
            Ok(Command::Recover(PathBuf::from(file)))
        }
        [command, _] if command == "recover" => {
            Err("`recover` can lose accepted changes; add --accept-loss once you have read docs/OPERATIONS.md".into())
        }
        _ => Err("give `run FILE`, `check FILE`, `platform FILE` or `recover FILE --accept-loss`".into()),
    }
}
