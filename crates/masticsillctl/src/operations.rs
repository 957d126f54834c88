//! Commands that read the audit trail, and read and change the control replicas.

use std::time::{Duration, Instant};

use masticsill_wire::admin::{AuditJson, AuditRecordJson, JoinJson, ReplicaJson, ReplicasJson};
use masticsill_wire::control::ReplicaStanding;
use ntex::http::Method;

use crate::api::Api;
use crate::arguments::Replacement;
use crate::failure::Failure;
use crate::output::Output;

const POLL_INTERVAL: Duration = Duration::from_millis(300);

pub(crate) async fn audit(api: &Api, output: Output, after: u64, limit: u32) -> eyre::Result<()> {
    let path = format!("/v1/audit?after={after}&limit={limit}");
    let page: AuditJson = api.get(&path).await?;
    output.show(&page, || {
        let lines: Vec<String> = page.records.iter().map(record_line).collect();
        lines.join("\n")
    })
}

fn record_line(record: &AuditRecordJson) -> String {
    let AuditRecordJson {
        action,
        at_wall_ms,
        operator,
        outcome,
        sequence,
        subject,
        ..
    } = record;
    let expected = record
        .expected_version
        .map_or_else(String::new, |version| format!("  from version {version}"));
    let version = record
        .version
        .map_or_else(String::new, |version| format!("  to version {version}"));
    let message = record
        .message
        .as_deref()
        .map_or_else(String::new, |message| format!("  ({message})"));
    format!(
        "{sequence}  {at_wall_ms} ms  {operator}  {action} {subject}  \
         {outcome}{expected}{version}{message}"
    )
}

pub(crate) async fn replicas(api: &Api, output: Output) -> eyre::Result<()> {
    let view = read_replicas(api).await?;
    output.show(&view, || {
        let mut lines = vec![format!("leader {} in term {}", view.leader, view.term)];
        lines.extend(view.replicas.iter().map(replica_line));
        lines.join("\n")
    })
}

async fn read_replicas(api: &Api) -> Result<ReplicasJson, Failure> {
    api.get("/v1/replicas").await
}

fn replica_line(replica: &ReplicaJson) -> String {
    let standing = match replica.standing {
        ReplicaStanding::Learner => "learner",
        ReplicaStanding::Leaving => "leaving",
        ReplicaStanding::Voter => "voter",
    };
    let address = replica.address.as_deref().unwrap_or("address unknown");
    format!(
        "{}  {standing}  {address}  folder {}",
        replica.node, replica.folder
    )
}

/// Requests the replacement and waits until the new replica is a voter and the old one has been
/// removed.
pub(crate) async fn replace_replica(
    api: &Api,
    output: Output,
    replacement: Replacement,
) -> eyre::Result<()> {
    let before = read_replicas(api).await?;
    let Some(old) = before.replicas.iter().find(|it| it.node == replacement.old) else {
        let text = format!(
            "replica `{}` is not a member; run `masticsillctl replicas` and name one of them",
            replacement.old
        );
        return Err(Failure::Usage(text).into());
    };
    let node = replacement.node.unwrap_or_else(|| replacement.old.clone());
    let body = JoinJson {
        address: replacement.address,
        node: node.clone(),
        replaces: Some(replacement.old.clone()),
    };
    send_join(api, &body).await?;
    let view = read_replicas(api).await?;
    if runs_on_old_folder(&view, &node, &old.folder) {
        return output.show(&view, || {
            format!("`{node}` runs with the folder that it votes with; nothing to replace")
        });
    }
    eprintln!("accepted: `{node}` catches up, then votes, then the old replica leaves");
    let after = await_replacement(api, &node, &old.folder).await?;
    output.show(&after, || {
        format!(
            "`{node}` votes; the old replica, folder {}, has left",
            old.folder
        )
    })
}

/// Admits one more replica and waits until it is a voter.
pub(crate) async fn join_replica(
    api: &Api,
    output: Output,
    address: Option<String>,
    node: String,
) -> eyre::Result<()> {
    let body = JoinJson {
        address,
        node: node.clone(),
        replaces: None,
    };
    send_join(api, &body).await?;
    eprintln!("accepted: `{node}` catches up, then votes");
    let is_voter =
        |replica: &ReplicaJson| replica.node == node && replica.standing == ReplicaStanding::Voter;
    let after = await_members(api, &node, |view| view.replicas.iter().any(is_voter)).await?;
    output.show(&after, || format!("`{node}` votes"))
}

async fn send_join(api: &Api, body: &JoinJson) -> Result<(), Failure> {
    let answer = api.send(Method::POST, "/v1/replicas", body).await;
    let accepted: Result<serde_json::Value, _> = answer.map_err(Failure::from)?;
    accepted.map(|_| ()).map_err(Failure::Refused)
}

/// Whether every member named `node` still runs with the folder that was to be replaced, so that
/// there is nothing to replace.
fn runs_on_old_folder(view: &ReplicasJson, node: &str, old_folder: &str) -> bool {
    let mut same_name = view.replicas.iter().filter(|it| it.node == node);
    same_name.all(|it| it.folder == old_folder) && view.replicas.iter().any(|it| it.node == node)
}

async fn await_replacement(
    api: &Api,
    node: &str,
    old_folder: &str,
) -> Result<ReplicasJson, Failure> {
    let is_old = |replica: &ReplicaJson| replica.folder == old_folder;
    let is_new =
        |replica: &ReplicaJson| replica.node == node && replica.standing == ReplicaStanding::Voter;
    let is_replaced =
        |view: &ReplicasJson| view.replicas.iter().any(is_new) && !view.replicas.iter().any(is_old);
    await_members(api, node, is_replaced).await
}

/// Polls the replicas until `is_wanted` holds.
///
/// Fails with [`Failure::StillReplacing`] after the time of `--timeout-s`.
async fn await_members(
    api: &Api,
    node: &str,
    is_wanted: impl Fn(&ReplicasJson) -> bool,
) -> Result<ReplicasJson, Failure> {
    let until = Instant::now() + api.retry_window();
    loop {
        let view = read_replicas(api).await?;
        if is_wanted(&view) {
            return Ok(view);
        }
        if Instant::now() >= until {
            let node = node.to_owned();
            return Err(Failure::StillReplacing { node });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
