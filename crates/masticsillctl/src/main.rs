//! The operators' command line tool: reads and changes the catalogue and the control replicas.

mod api;
mod arguments;
mod catalogue;
mod explain;
mod failure;
mod help;
mod operations;
mod output;
mod rollouts;
mod routing;

use std::process::ExitCode;

use arguments::{Arguments, Command};

use crate::failure::Failure;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("masticsillctl: {report:#}");
            let failure = report.downcast_ref::<Failure>();
            ExitCode::from(failure.map_or(failure::OTHER, Failure::exit_code))
        }
    }
}

fn run() -> eyre::Result<()> {
    let arguments = arguments::parse(lexopt::Parser::from_env())?;
    match &arguments.command {
        Command::Help => {
            print!("{}", help::TEXT);
            Ok(())
        }
        Command::Check { file } => catalogue::check(file),
        Command::Explain { files, request } => {
            let output = output::Output {
                is_json: arguments.is_json,
            };
            explain::explain(output, request, files)
        }
        Command::HashToken => print_token_hash(&arguments),
        _ => {
            let system = ntex::rt::System::new("masticsillctl", ntex::rt::DefaultRuntime);
            system.block_on(run_remote(arguments))
        }
    }
}

/// Prints the BLAKE3 hash of the operator's token, for `token_blake3` in the settings of the
/// control replicas.
fn print_token_hash(arguments: &Arguments) -> eyre::Result<()> {
    let Some(token) = &arguments.token else {
        let message = "hash-token needs a token; name its file with --token-file";
        return Err(Failure::Usage(message.to_owned()).into());
    };
    println!("{}", blake3::hash(token.as_bytes()).to_hex());
    Ok(())
}

async fn run_remote(mut arguments: Arguments) -> eyre::Result<()> {
    if matches!(arguments.command, Command::OrderRollout(_)) {
        arguments.timeout_s = arguments.timeout_s.min(rollouts::MAX_ORDER_TIMEOUT_S);
    }
    let api = api::Api::connect(&arguments).await?;
    let output = output::Output {
        is_json: arguments.is_json,
    };
    match arguments.command {
        Command::Apply(change) => catalogue::apply(&api, output, change).await,
        Command::Audit { after, limit } => operations::audit(&api, output, after, limit).await,
        Command::Delete(change) => catalogue::delete(&api, output, change).await,
        Command::Document => routing::document(&api, output).await,
        Command::Endpoints => routing::endpoints(&api, output).await,
        Command::Get { id } => catalogue::get(&api, output, &id).await,
        Command::JoinReplica { address, node } => {
            operations::join_replica(&api, output, address, node).await
        }
        Command::List => catalogue::list(&api, output).await,
        Command::OrderRollout(order) => rollouts::order(&api, output, order).await,
        Command::Rollouts => rollouts::list(&api, output).await,
        Command::Replicas => operations::replicas(&api, output).await,
        Command::ReplaceReplica(replacement) => {
            operations::replace_replica(&api, output, replacement).await
        }
        Command::Watch { from, is_once } => catalogue::watch(&api, output, from, is_once).await,
        Command::Check { .. } | Command::Explain { .. } | Command::HashToken | Command::Help => {
            Ok(())
        }
    }
}
