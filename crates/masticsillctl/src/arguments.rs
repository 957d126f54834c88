//! Parses the command line.

use std::env;
use std::ffi::OsString;
use std::fs;
use std::str::FromStr;

use lexopt::{Arg, Parser, ValueExt};
use masticsill_wire::admin::OrderRolloutJson;

use crate::failure::Failure;

const DEFAULT_TIMEOUT_S: u64 = 30;
const DEFAULT_AUDIT_LIMIT: u32 = 100;

/// The parsed command line, with defaults from the environment.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) addresses: Vec<String>,
    pub(crate) command: Command,
    pub(crate) is_json: bool,
    pub(crate) timeout_s: u64,
    pub(crate) token: Option<String>,
}

/// The command to run.
#[derive(Debug)]
pub(crate) enum Command {
    Apply(ChangeArguments),
    Audit {
        after: u64,
        limit: u32,
    },
    Check {
        file: String,
    },
    Delete(ChangeArguments),
    Document,
    Endpoints,
    Explain {
        files: Vec<String>,
        request: String,
    },
    Get {
        id: String,
    },
    HashToken,
    JoinReplica {
        address: Option<String>,
        node: String,
    },
    Help,
    List,
    OrderRollout(OrderRolloutJson),
    ReplaceReplica(Replacement),
    Replicas,
    Rollouts,
    Watch {
        from: u64,
        is_once: bool,
    },
}

/// Arguments of `apply` and `delete`.
#[derive(Debug)]
pub(crate) struct ChangeArguments {
    pub(crate) change_id: Option<String>,
    pub(crate) expected_version: Option<u64>,
    /// The file to apply, or the id of the entry to delete.
    pub(crate) subject: String,
}

/// Arguments of `replace-replica`.
#[derive(Debug)]
pub(crate) struct Replacement {
    pub(crate) address: Option<String>,
    /// Name of the new replica; the name of the old one when missing.
    pub(crate) node: Option<String>,
    /// Name of the replica to replace.
    pub(crate) old: String,
}

/// Options and positional arguments as given, before the command is known.
#[derive(Debug, Default)]
struct Options {
    addresses: Vec<String>,
    after: Option<u64>,
    change_id: Option<String>,
    duration_s: Option<f64>,
    expected_version: Option<u64>,
    from: Option<u64>,
    is_help: bool,
    is_json: bool,
    is_once: bool,
    limit: Option<u32>,
    node: Option<String>,
    replica_address: Option<String>,
    timeout_s: Option<u64>,
    token_file: Option<String>,
    positional: Vec<String>,
}

/// Parses the command line, and reads the token file and the environment.
pub(crate) fn parse(parser: Parser) -> Result<Arguments, Failure> {
    let options = read_options(parser).map_err(|error| usage(error.to_string()))?;
    let token = read_token(options.token_file.as_deref())?;
    Ok(Arguments {
        addresses: addresses(&options),
        is_json: options.is_json,
        timeout_s: options.timeout_s.unwrap_or(DEFAULT_TIMEOUT_S),
        token,
        command: command(&options)?,
    })
}

fn read_options(mut parser: Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => options.is_help = true,
            Arg::Long("json") => options.is_json = true,
            Arg::Long("once") => options.is_once = true,
            Arg::Long("address") => options.addresses.push(text(&mut parser)?),
            Arg::Long("after") => options.after = Some(number(&mut parser)?),
            Arg::Long("change-id") => options.change_id = Some(text(&mut parser)?),
            Arg::Long("duration-s") => options.duration_s = Some(number(&mut parser)?),
            Arg::Long("expected-version") => {
                options.expected_version = Some(number(&mut parser)?);
            }
            Arg::Long("from") => options.from = Some(number(&mut parser)?),
            Arg::Long("limit") => options.limit = Some(number(&mut parser)?),
            Arg::Long("node") => options.node = Some(text(&mut parser)?),
            Arg::Long("replica-address") => options.replica_address = Some(text(&mut parser)?),
            Arg::Long("timeout-s") => options.timeout_s = Some(number(&mut parser)?),
            Arg::Long("token-file") => options.token_file = Some(text(&mut parser)?),
            Arg::Value(word) => options.positional.push(into_text(word)?),
            Arg::Short(_) | Arg::Long(_) => return Err(argument.unexpected()),
        }
    }
    Ok(options)
}

fn text(parser: &mut Parser) -> Result<String, lexopt::Error> {
    into_text(parser.value()?)
}

fn into_text(value: OsString) -> Result<String, lexopt::Error> {
    value.string()
}

fn number<T>(parser: &mut Parser) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value()?.parse()
}

fn usage(message: impl Into<String>) -> Failure {
    let message = message.into();
    Failure::Usage(format!("{message}; see `masticsillctl --help`"))
}

fn addresses(options: &Options) -> Vec<String> {
    if !options.addresses.is_empty() {
        return options.addresses.clone();
    }
    let listed = env::var("MASTICSILL_ADDRESS").unwrap_or_default();
    let listed = listed.split(',').map(str::trim);
    listed
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect()
}

fn read_token(token_file: Option<&str>) -> Result<Option<String>, Failure> {
    let Some(file) = token_file else {
        return Ok(env::var("MASTICSILL_TOKEN").ok());
    };
    let content = fs::read_to_string(file)
        .map_err(|error| usage(format!("the token file `{file}` can't be read: {error}")))?;
    Ok(Some(content.trim().to_owned()))
}

fn command(options: &Options) -> Result<Command, Failure> {
    if options.is_help {
        return Ok(Command::Help);
    }
    let positional: Vec<&str> = options.positional.iter().map(String::as_str).collect();
    let change = |subject: &str| ChangeArguments {
        change_id: options.change_id.clone(),
        expected_version: options.expected_version,
        subject: subject.to_owned(),
    };
    match positional[..] {
        ["apply", file] => Ok(Command::Apply(change(file))),
        ["explain", request, ref files @ ..] if !files.is_empty() => Ok(Command::Explain {
            files: files.iter().map(|file| (*file).to_owned()).collect(),
            request: (*request).to_owned(),
        }),
        ["document"] => Ok(Command::Document),
        ["endpoints"] => Ok(Command::Endpoints),
        ["audit"] => Ok(Command::Audit {
            after: options.after.unwrap_or(0),
            limit: options.limit.unwrap_or(DEFAULT_AUDIT_LIMIT),
        }),
        ["check", file] => Ok(Command::Check {
            file: file.to_owned(),
        }),
        ["delete", id] => Ok(Command::Delete(change(id))),
        ["get", id] => Ok(Command::Get { id: id.to_owned() }),
        ["hash-token"] => Ok(Command::HashToken),
        ["join-replica", node] => Ok(Command::JoinReplica {
            address: options.replica_address.clone(),
            node: node.to_owned(),
        }),
        ["help"] => Ok(Command::Help),
        ["list"] => Ok(Command::List),
        ["replace-replica", old] => Ok(Command::ReplaceReplica(Replacement {
            address: options.replica_address.clone(),
            node: options.node.clone(),
            old: old.to_owned(),
        })),
        ["replicas"] => Ok(Command::Replicas),
        ["rollouts"] => Ok(Command::Rollouts),
        ["rollouts", "order", service, target] => {
            let duration_s = options.duration_s;
            Ok(Command::OrderRollout(OrderRolloutJson {
                duration_s: duration_s.ok_or_else(|| usage("give --duration-s"))?,
                service: service.to_owned(),
                target: target.to_owned(),
            }))
        }
        ["watch"] => Ok(Command::Watch {
            from: options.from.unwrap_or(0),
            is_once: options.is_once,
        }),
        [] => Err(usage("no command was given")),
        _ => Err(usage(format!(
            "`{}` is not a command",
            positional.join(" ")
        ))),
    }
}
