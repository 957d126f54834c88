//! Builders shared by the tests.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use masticsill_catalogue::{
    Action, Change, ChangeAnswer, ChangeContent, Command, CommandAnswer, ControlState, EntryJson,
    OperatorScope,
};
use masticsill_types::CatalogueVersion;

pub const ENGINE_ENTRY: &str = r#"{
    "id": "fliesenwerk/layout",
    "owner": "fliesenwerk",
    "class": "patient_draft",
    "back_end": {"kind": "engine", "model": "planner", "version": "v3"},
    "limits": {"requests_per_s": 5, "tokens_per_s": 900},
    "placement": {"replicas": 3, "roles": {"prefill": 1, "decode": 2}, "zones": ["muc-a", "muc-b"]}
}"#;

pub const SERVICE_ENTRY: &str = r#"{
    "id": "fliesenwerk/orders",
    "owner": "fliesenwerk",
    "class": "instant_lookup",
    "back_end": {"kind": "plain_service", "service": "orders", "is_repeatable": false},
    "placement": {"replicas": 2}
}"#;

pub fn entry_json(text: &str) -> EntryJson {
    serde_json::from_str(text).unwrap()
}

/// A put of the engine entry under another id; `requests_per_s` makes the content of puts differ.
pub fn put(change_id: &str, entry_id: &str, expected_version: u64, requests_per_s: i64) -> Change {
    let mut json = entry_json(ENGINE_ENTRY);
    entry_id.clone_into(&mut json.id);
    json.limits.requests_per_s = Some(requests_per_s);
    Change {
        content: ChangeContent::Put(Box::new(json.try_into().unwrap())),
        entry: entry_id.parse().unwrap(),
        expected_version: CatalogueVersion(expected_version),
        id: change_id.parse().unwrap(),
        operator: "anna".parse().unwrap(),
    }
}

pub fn delete(change_id: &str, entry_id: &str, expected_version: u64) -> Change {
    Change {
        content: ChangeContent::Delete,
        ..put(change_id, entry_id, expected_version, 1)
    }
}

pub fn send(state: &mut ControlState, change: &Change) -> ChangeAnswer {
    send_as(state, change, OperatorScope::All)
}

pub fn send_as(state: &mut ControlState, change: &Change, scope: OperatorScope) -> ChangeAnswer {
    let answer = run(state, 1_000, Action::Change(change.clone(), scope));
    let CommandAnswer::Change(answer) = answer else {
        panic!("expected the answer to a change, got {answer:?}");
    };
    answer
}

pub fn run(state: &mut ControlState, at_wall_ms: u64, action: Action) -> CommandAnswer {
    state.apply(&Command { action, at_wall_ms })
}

pub fn accepted(version: u64) -> ChangeAnswer {
    ChangeAnswer::Accepted {
        version: CatalogueVersion(version),
    }
}
