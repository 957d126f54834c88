//! Validation of catalogue entries: which entries are refused, and with which field errors.

mod common;

use common::{ENGINE_ENTRY, SERVICE_ENTRY, entry_json};
use masticsill_catalogue::{CatalogueEntry, EntryJson};

#[test]
fn valid_entries_round_trip_through_json() {
    for text in [ENGINE_ENTRY, SERVICE_ENTRY] {
        let json = entry_json(text);
        let entry = CatalogueEntry::try_from(json.clone()).unwrap();
        assert_eq!(EntryJson::from(&entry), json);
    }
}

#[test]
fn unknown_fields_are_refused() {
    for (known, unknown) in [
        (r#""owner""#, r#""ownr": 1, "owner""#),
        (r#""kind""#, r#""slots": 1, "kind""#),
        (
            r#""requests_per_s""#,
            r#""request_per_s": 1, "requests_per_s""#,
        ),
        (r#""replicas""#, r#""zone": "muc-a", "replicas""#),
    ] {
        let text = ENGINE_ENTRY.replacen(known, unknown, 1);
        let error = serde_json::from_str::<EntryJson>(&text).unwrap_err();
        assert!(error.to_string().contains("unknown field"), "{error}");
    }
}

#[test]
fn a_refusal_names_field_value_and_remedy() {
    let engine = [
        (
            "patient_draft",
            "slow_draft",
            "class",
            "slow_draft",
            "instant_lookup",
        ),
        ("fliesenwerk/layout", "a b", "id", "a b", "letters"),
        (r#""planner""#, r#""""#, "back_end.model", "", "letters"),
        ("900", "0", "limits.tokens_per_s", "0", "leave it out"),
        ("900", "-3", "limits.tokens_per_s", "-3", "leave it out"),
        ("900", "4", "limits.tokens_per_s", "4", "at least 5"),
        (
            r#""muc-b""#,
            r#""muc-a""#,
            "placement.zones",
            "muc-a",
            "once",
        ),
        (
            r#""replicas": 3"#,
            r#""replicas": 0"#,
            "placement.replicas",
            "0",
            "delete the entry",
        ),
        (
            r#""replicas": 3"#,
            r#""replicas": 1"#,
            "placement.replicas",
            "1",
            "at least 2",
        ),
        (
            r#""replicas": 3"#,
            r#""replicas": 5"#,
            "placement.roles",
            "3 replicas",
            "5",
        ),
        (
            r#""decode": 2"#,
            r#""mixed": 2"#,
            "placement.roles",
            "prefill",
            "decode",
        ),
        (
            r#""decode": 2"#,
            r#""router": 2"#,
            "placement.roles.router",
            "router",
            "mixed",
        ),
    ];
    let service = [
        (
            r#""placement""#,
            r#""limits": {"tokens_per_s": 9}, "placement""#,
            "limits.tokens_per_s",
            "9",
            "orders",
        ),
        (
            r#""replicas": 2"#,
            r#""replicas": 2, "roles": {"mixed": 2}"#,
            "placement.roles",
            "1 roles",
            "only engines",
        ),
    ];
    let engine = engine.into_iter().map(|case| (ENGINE_ENTRY, case));
    let service = service.into_iter().map(|case| (SERVICE_ENTRY, case));
    for (text, (from, to, field, value, remedy)) in engine.chain(service) {
        let json = entry_json(&text.replacen(from, to, 1));
        let errors = CatalogueEntry::try_from(json).unwrap_err();
        let is_named = errors.iter().any(|error| {
            error.field == field && error.value.contains(value) && error.remedy.contains(remedy)
        });
        assert!(is_named, "{from} -> {to}: {errors:?}");
    }
}

#[test]
fn one_refusal_lists_every_invalid_field() {
    let mut json = entry_json(ENGINE_ENTRY);
    json.class = "x".to_owned();
    json.owner = String::new();
    json.limits.queue_length = Some(0);
    let errors = CatalogueEntry::try_from(json).unwrap_err();
    let fields: Vec<&str> = errors.iter().map(|error| error.field.as_str()).collect();
    assert_eq!(fields, ["owner", "class", "limits.queue_length"]);
}
