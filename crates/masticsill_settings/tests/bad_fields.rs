//! Invalid settings are refused with a message that names the field, the value and the remedy.

use masticsill_settings::{RoleSettings, Settings, SettingsError};

use assert_matches::assert_matches;

const ENTRY: &str = r#"{"node":"entry-1","zone":"muc-a","rpc_address":"127.0.0.1:0",
    "seeds":["127.0.0.1:7001"],"entry":{"http_address":"127.0.0.1:0"}}"#;

#[test]
fn a_minimal_entry_is_accepted() {
    let settings = Settings::parse(ENTRY).unwrap();
    assert_matches!(settings.role, RoleSettings::Entry(entry) if entry.workers == 2);
    assert_eq!(settings.node.as_str(), "entry-1");
}

#[test]
fn an_invalid_value_is_refused_with_field_value_and_remedy() {
    let cases = [
        (
            r#""127.0.0.1:7001""#,
            r#""localhost""#,
            "seeds",
            "localhost",
            "IP number",
        ),
        (r#""entry-1""#, r#""entry 1""#, "node", "entry 1", "letters"),
        (r#""zone":"muc-a""#, r#""zone":"""#, "zone", "``", "letters"),
        (
            r#""http_address":"127.0.0.1:0""#,
            r#""http_address":"127.0.0.1:0","workers":0"#,
            "entry.workers",
            "`0`",
            "1 to 64",
        ),
        (
            r#""entry":{"#,
            r#""catalogue_lease_ms":10,"entry":{"#,
            "catalogue_lease_ms",
            "`10`",
            "500 to 60000",
        ),
        (
            r#""entry":{"http_address":"127.0.0.1:0"}"#,
            r#""agent":{"endpoint":{"engine":{"address":"here"}}}"#,
            "agent.endpoint.engine.address",
            "here",
            "IP number",
        ),
    ];
    for (from, to, field, value, remedy) in cases {
        let text = ENTRY.replace(from, to);
        let error = Settings::parse(&text).unwrap_err();
        assert_matches!(error, SettingsError::Refused { .. });
        let message = error.to_string();
        for part in [field, value, remedy] {
            assert!(message.contains(part), "`{part}` is missing in: {message}");
        }
    }
}

#[test]
fn unknown_fields_and_wrong_types_name_their_path() {
    let cases = [
        (r#""workers":"two""#, "entry.workers"),
        (r#""wrokers":2"#, "wrokers"),
    ];
    for (field, part) in cases {
        let text = ENTRY.replace(r#""http_address""#, &format!("{field},\"http_address\""));
        let message = Settings::parse(&text).unwrap_err().to_string();
        assert!(message.contains(part), "{message}");
    }
}

#[test]
fn settings_without_exactly_one_role_are_refused() {
    let text = ENTRY.replace(r#""entry":{"http_address":"127.0.0.1:0"}"#, r#""seeds":[]"#);
    let text = text.replacen(r#""seeds":["127.0.0.1:7001"],"#, "", 1);
    let message = Settings::parse(&text).unwrap_err().to_string();
    assert!(message.contains("exactly one"), "{message}");
}
