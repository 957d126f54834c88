//! Commands that read and change the catalogue.

use std::io::Read;
use std::time::Duration;
use std::{fs, io};

use masticsill_catalogue::{CatalogueEntry, EntryJson};
use masticsill_wire::admin::{
    AcceptedJson, CatalogueJson, DeleteJson, EntryInForceJson, ErrorJson, PutJson, WatchJson,
};
use ntex::http::Method;
use serde::Serialize;
use uuid::Uuid;

use crate::api::{Answer, Api, Unanswered};
use crate::arguments::ChangeArguments;
use crate::failure::Failure;
use crate::output::Output;

/// Time that an instance may hold a watch request open without a change.
const WATCH_WAIT_MS: u64 = 30_000;
/// Timeout of one watch request. It exceeds [`WATCH_WAIT_MS`], for which the instance may hold the
/// request open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(45);

fn read_entry(file: &str) -> Result<EntryJson, Failure> {
    let shown = |error: &dyn std::fmt::Display| Failure::Usage(format!("`{file}`: {error}"));
    let text = if file == "-" {
        let mut text = String::new();
        let read = io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        fs::read_to_string(file)
    };
    let text = text.map_err(|error| shown(&error))?;
    let json: EntryJson = serde_json::from_str(&text).map_err(|error| shown(&error))?;
    let checked = CatalogueEntry::try_from(json.clone());
    checked.map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        shown(&lines.join("; "))
    })?;
    Ok(json)
}

/// Checks the file of an entry without sending it.
pub(crate) fn check(file: &str) -> eyre::Result<()> {
    let entry = read_entry(file)?;
    println!("`{file}` is valid: entry `{}`", entry.id);
    Ok(())
}

pub(crate) async fn apply(
    api: &Api,
    output: Output,
    arguments: ChangeArguments,
) -> eyre::Result<()> {
    let entry = read_entry(&arguments.subject)?;
    let id = entry.id.clone();
    let expected_version = expected_version(api, &arguments, &id).await?;
    let change_id = choose_change_id(&arguments);
    let body = PutJson {
        change_id: change_id.clone(),
        entry,
        expected_version,
    };
    let answer = api.send(Method::PUT, &path(&id), &body).await;
    finish(output, &id, answer, change_id, expected_version)
}

pub(crate) async fn delete(
    api: &Api,
    output: Output,
    arguments: ChangeArguments,
) -> eyre::Result<()> {
    let id = arguments.subject.clone();
    let expected_version = expected_version(api, &arguments, &id).await?;
    let change_id = choose_change_id(&arguments);
    let body = DeleteJson {
        change_id: change_id.clone(),
        expected_version,
    };
    let answer = api.send(Method::DELETE, &path(&id), &body).await;
    finish(output, &id, answer, change_id, expected_version)
}

fn path(id: &str) -> String {
    format!("/v1/catalogue/{id}")
}

/// Returns the version given, or else the version in force; 0 when the entry does not exist.
///
/// A change that is sent again must give its version, because the version in force may already be
/// the result of the first send.
async fn expected_version(
    api: &Api,
    arguments: &ChangeArguments,
    id: &str,
) -> Result<u64, Failure> {
    if let Some(version) = arguments.expected_version {
        return Ok(version);
    }
    if arguments.change_id.is_some() {
        let text = "a change sent before needs its --expected-version beside its --change-id";
        return Err(Failure::Usage(text.to_owned()));
    }
    match api.get::<EntryInForceJson>(&path(id)).await {
        Ok(in_force) => Ok(in_force.version),
        Err(Failure::Refused(error)) if error.reason == "unknown_entry" => Ok(0),
        Err(failure) => Err(failure),
    }
}

/// Returns the change id given, or a new one, and prints it before the change is sent, so that the
/// operator can repeat the change under the same id.
fn choose_change_id(arguments: &ChangeArguments) -> String {
    let given = arguments.change_id.clone();
    let change_id = given.unwrap_or_else(|| Uuid::new_v4().to_string());
    eprintln!("change id: {change_id}");
    change_id
}

fn finish(
    output: Output,
    id: &str,
    answer: Answer<AcceptedJson>,
    change_id: String,
    expected_version: u64,
) -> eyre::Result<()> {
    /// JSON output for an accepted change.
    #[derive(Serialize)]
    struct Accepted<'a> {
        change_id: &'a str,
        entry: &'a str,
        version: u64,
    }
    let accepted = match answer {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => return Err(refusal(error).into()),
        Err(Unanswered {
            cause,
            is_outcome_unknown: true,
        }) => {
            return Err(Failure::OutcomeUnknown {
                cause,
                change_id,
                expected_version,
            }
            .into());
        }
        Err(unanswered) => return Err(Failure::from(unanswered).into()),
    };
    let json = Accepted {
        change_id: &change_id,
        entry: id,
        version: accepted.version,
    };
    output.show(&json, || {
        format!("`{id}` is accepted as version {}", accepted.version)
    })
}

fn refusal(error: ErrorJson) -> Failure {
    match error.reason.as_str() {
        "version_conflict" => Failure::Conflict(error),
        _ => Failure::Refused(error),
    }
}

pub(crate) async fn get(api: &Api, output: Output, id: &str) -> eyre::Result<()> {
    let in_force: EntryInForceJson = api.get(&path(id)).await?;
    let shown = serde_json::to_string_pretty(&in_force.entry)?;
    output.show(&in_force, || {
        format!("version {}\n{shown}", in_force.version)
    })
}

pub(crate) async fn list(api: &Api, output: Output) -> eyre::Result<()> {
    let catalogue: CatalogueJson = api.get("/v1/catalogue").await?;
    output.show(&catalogue, || {
        let mut lines = vec![format!("catalogue version {}", catalogue.version)];
        lines.extend(catalogue.entries.iter().map(entry_line));
        lines.join("\n")
    })
}

fn entry_line(in_force: &EntryInForceJson) -> String {
    let EntryJson {
        id,
        owner,
        class,
        placement,
        ..
    } = &in_force.entry;
    let replicas = placement.replicas;
    format!(
        "{id}  version {}  {owner}  {class}  {replicas} replicas",
        in_force.version
    )
}

pub(crate) async fn watch(
    api: &Api,
    output: Output,
    mut from: u64,
    is_once: bool,
) -> eyre::Result<()> {
    loop {
        let path = format!("/v1/catalogue?watch={from}&wait_ms={WATCH_WAIT_MS}");
        let update: WatchJson = api.get_within(&path, WATCH_TIMEOUT).await?;
        if update.version <= from {
            continue;
        }
        from = update.version;
        output.show(&update, || watch_text(&update))?;
        if is_once {
            return Ok(());
        }
    }
}

fn watch_text(update: &WatchJson) -> String {
    let kind = if update.is_whole { " (whole)" } else { "" };
    let mut lines = vec![format!("catalogue version {}{kind}", update.version)];
    lines.extend(update.entries.iter().map(entry_line));
    let deleted = update.deleted.iter();
    lines.extend(
        deleted.map(|deletion| format!("{}  deleted in version {}", deletion.id, deletion.version)),
    );
    lines.join("\n")
}
