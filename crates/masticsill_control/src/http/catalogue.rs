//! Reading, watching and changing the catalogue.

use std::time::Duration;

use masticsill_catalogue::{
    CatalogueEntry, CatalogueUpdate, Change, ChangeAnswer, ChangeContent, ChangeRefusal,
    FieldError, VersionedEntry,
};
use masticsill_control_client::ControlUnavailable;
use masticsill_types::{CatalogueVersion, EntryId};
use masticsill_wire::admin::{
    AcceptedJson, CatalogueJson, DeleteJson, DeletedJson, EntryInForceJson, ErrorJson, PutJson,
    WatchJson,
};
use masticsill_wire::control::{ChangeRequest, ReadAnswer, ReadRequest};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::{Path, Query, State};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use super::auth::authenticate;
use super::{HttpState, reply};
use crate::config::OperatorConfig;
use crate::rpc::Forward;

const DEFAULT_WAIT_MS: u64 = 30_000;
const MAX_WAIT_MS: u64 = 55_000;

/// Query of `GET /v1/catalogue`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListQuery {
    wait_ms: Option<u64>,
    watch: Option<u64>,
}

pub(crate) async fn list(state: State<HttpState>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    let query = match Query::<ListQuery>::from_query(request.query_string()) {
        Ok(query) => query.into_inner(),
        Err(error) => {
            return reply::bad_request(format!("{error}; use `watch=VERSION` and `wait_ms=N`"));
        }
    };
    let answer = match query.watch {
        Some(from) => {
            let wait_ms = query.wait_ms.unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
            watch(&state, CatalogueVersion(from), wait_ms)
                .await
                .map(|json| reply::ok(&json))
        }
        None => read_catalogue(&state).await.map(|json| reply::ok(&json)),
    };
    answer.unwrap_or_else(reply::unavailable)
}

async fn read_since(
    state: &HttpState,
    have: CatalogueVersion,
) -> Result<(CatalogueVersion, Option<CatalogueUpdate>), ControlUnavailable> {
    let request = ReadRequest::Catalogue { have };
    let answer = state
        .forward(|reply_to| Forward::Read(request, reply_to))
        .await?;
    match answer {
        ReadAnswer::Catalogue(version, update) => Ok((version, update)),
        ReadAnswer::Audit(_)
        | ReadAnswer::Document(_)
        | ReadAnswer::Entry(_)
        | ReadAnswer::HighestOrder(_)
        | ReadAnswer::Replicas(_)
        | ReadAnswer::Rollouts(_) => Err(ControlUnavailable {
            is_outcome_unknown: false,
        }),
    }
}

fn entries_of(update: Option<CatalogueUpdate>) -> Vec<VersionedEntry> {
    let mut entries = match update {
        Some(CatalogueUpdate::Delta(delta)) => delta.puts,
        Some(CatalogueUpdate::Snapshot(snapshot)) => snapshot.entries,
        None => Vec::new(),
    };
    entries.sort_by(|left, right| left.entry.id.cmp(&right.entry.id));
    entries
}

async fn read_catalogue(state: &HttpState) -> Result<CatalogueJson, ControlUnavailable> {
    let (version, update) = read_since(state, CatalogueVersion::default()).await?;
    let entries = entries_of(update);
    Ok(CatalogueJson {
        entries: entries.iter().map(EntryInForceJson::from).collect(),
        version: version.0,
    })
}

/// Waits for a version newer than `from`, for at most `wait_ms`; after that the answer holds no
/// change.
async fn watch(
    state: &HttpState,
    from: CatalogueVersion,
    wait_ms: u64,
) -> Result<WatchJson, ControlUnavailable> {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut status = state.quorum.status.clone();
    let changed = status.wait_for(|status| status.version > from);
    let stopped = state.stopping.requested();
    let _ = timeout_at(until, async {
        tokio::select! {
            _ = changed => {}
            () = stopped => {}
        }
    })
    .await;
    let (version, update) = read_since(state, from).await?;
    Ok(watch_json(version, update))
}

fn watch_json(version: CatalogueVersion, update: Option<CatalogueUpdate>) -> WatchJson {
    let is_whole = matches!(update, Some(CatalogueUpdate::Snapshot(_)));
    let deleted = match &update {
        Some(CatalogueUpdate::Delta(delta)) => {
            let is_gone = |id: &EntryId| !delta.puts.iter().any(|held| held.entry.id == *id);
            let gone = delta
                .deletes
                .iter()
                .filter(|tombstone| is_gone(&tombstone.id));
            gone.map(|tombstone| DeletedJson {
                id: tombstone.id.to_string(),
                version: tombstone.version.0,
            })
            .collect()
        }
        Some(CatalogueUpdate::Snapshot(_)) | None => Vec::new(),
    };
    let entries = entries_of(update);
    WatchJson {
        deleted,
        entries: entries.iter().map(EntryInForceJson::from).collect(),
        is_whole,
        version: version.0,
    }
}

pub(crate) async fn read(
    state: State<HttpState>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    let unknown = || {
        let message = format!("there is no entry `{}`; list the catalogue", id.as_str());
        let error = ErrorJson::new("unknown_entry", message);
        reply::error(StatusCode::NOT_FOUND, &error)
    };
    let Ok(entry_id) = id.parse() else {
        return unknown();
    };
    let request = ReadRequest::Entry { id: entry_id };
    let answer = state.forward(|reply_to| Forward::Read(request, reply_to));
    match answer.await {
        Ok(ReadAnswer::Entry(Some(held))) => reply::ok(&EntryInForceJson::from(&held)),
        Ok(_) => unknown(),
        Err(cause) => reply::unavailable(cause),
    }
}

pub(crate) async fn put(
    state: State<HttpState>,
    request: HttpRequest,
    id: Path<String>,
    body: Bytes,
) -> HttpResponse {
    let (operator, json) = match read_change::<PutJson>(&state, &request, &body) {
        Ok(read) => read,
        Err(refusal) => return refusal,
    };
    let entry = match CatalogueEntry::try_from(json.entry) {
        Ok(entry) => entry,
        Err(errors) => return reply::refusal(&ChangeRefusal::Invalid(errors)),
    };
    let content = ChangeContent::Put(Box::new(entry));
    let parameters = ChangeParameters {
        change_id: &json.change_id,
        entry_id: &id,
        expected_version: json.expected_version,
    };
    change(&state, operator, parameters, content).await
}

pub(crate) async fn delete(
    state: State<HttpState>,
    request: HttpRequest,
    id: Path<String>,
    body: Bytes,
) -> HttpResponse {
    let (operator, json) = match read_change::<DeleteJson>(&state, &request, &body) {
        Ok(read) => read,
        Err(refusal) => return refusal,
    };
    let parameters = ChangeParameters {
        change_id: &json.change_id,
        entry_id: &id,
        expected_version: json.expected_version,
    };
    change(&state, operator, parameters, ChangeContent::Delete).await
}

/// Authenticates the operator of a change and parses the body.
fn read_change<'a, T: DeserializeOwned>(
    state: &'a HttpState,
    request: &HttpRequest,
    body: &[u8],
) -> Result<(&'a OperatorConfig, T), HttpResponse> {
    let operator = authenticate(state, request)?;
    let json = reply::parse(body)?;
    Ok((operator, json))
}

/// Identifiers of a change, as sent by the operator.
struct ChangeParameters<'a> {
    change_id: &'a str,
    entry_id: &'a str,
    expected_version: u64,
}

async fn change(
    state: &HttpState,
    operator: &OperatorConfig,
    parameters: ChangeParameters<'_>,
    content: ChangeContent,
) -> HttpResponse {
    let change = match build_change(operator, &parameters, content) {
        Ok(change) => change,
        Err(error) => return reply::refusal(&ChangeRefusal::Invalid(vec![error])),
    };
    let scope = operator.scope.clone();
    let request = ChangeRequest { change, scope };
    let answer = state
        .forward(|reply_to| Forward::Change(request, reply_to))
        .await;
    match answer {
        Ok(ChangeAnswer::Accepted { version }) => reply::ok(&AcceptedJson { version: version.0 }),
        Ok(ChangeAnswer::Refused(refusal)) => reply::refusal(&refusal),
        Err(cause) => reply::unavailable(cause),
    }
}

fn build_change(
    operator: &OperatorConfig,
    parameters: &ChangeParameters<'_>,
    content: ChangeContent,
) -> Result<Change, FieldError> {
    let id = parameters.change_id.parse();
    let entry = parameters.entry_id.parse();
    Ok(Change {
        content,
        entry: entry.map_err(|error: masticsill_types::IdError| {
            FieldError::new("id", parameters.entry_id, error.to_string())
        })?,
        expected_version: CatalogueVersion(parameters.expected_version),
        id: id.map_err(|error: masticsill_types::IdError| {
            FieldError::new("change_id", parameters.change_id, error.to_string())
        })?,
        operator: operator.operator.clone(),
    })
}
