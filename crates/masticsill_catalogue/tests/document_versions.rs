//! Route documents: the highest version is in force, and invalid documents are refused.

use assert_matches::assert_matches;
use masticsill_catalogue::{
    Action, ApiKey, AuditAction, Command, CommandAnswer, ControlState, DocumentAnswer,
    RequestLimits, Route, RouteDocument, RouteIndex, RouteKind, ServiceEntry, ServiceShare,
    StoredDocument, WorkspaceEntry,
};

fn stored(version: u64, text: &str) -> StoredDocument {
    StoredDocument::pack(text.as_bytes(), version)
}

fn put(state: &mut ControlState, document: StoredDocument) -> DocumentAnswer {
    let action = Action::PutDocument {
        document,
        operator: "anna".parse().unwrap(),
    };
    let command = Command {
        action,
        at_wall_ms: 7,
    };
    assert_matches!(state.apply(&command), CommandAnswer::Document(answer) => answer)
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        target_event_gap_ms: None,
        host: host.to_owned(),
        is_anonymous: false,
        is_resumable: false,
        kind: RouteKind::Idempotent,
        max_attempts: 2,
        name: format!("{host}{prefix}"),
        path_prefix: prefix.to_owned(),
        priority: 1,
        services: vec![ServiceShare {
            service: "s".to_owned(),
            weight: 1,
        }],
        target_latency_ms: 100,
        timeout_ms: 1_000,
    }
}

fn document(routes: Vec<Route>) -> RouteDocument {
    RouteDocument {
        limits: RequestLimits {
            body_bytes: 1_000,
            header_bytes: 1_000,
            header_timeout_ms: 1_000,
            idle_timeout_ms: 1_000,
        },
        routes,
        services: vec![ServiceEntry {
            engine: None,
            health_path: "/health".to_owned(),
            max_connections: None,
            name: "s".to_owned(),
        }],
        version: 1,
        workspaces: Some(vec![workspace("w", &["k1", "k2"])]),
    }
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceEntry {
    WorkspaceEntry {
        api_keys: keys.iter().map(|key| ApiKey((*key).to_owned())).collect(),
        name: name.to_owned(),
        priority: None,
    }
}

fn first_remedy(document: &RouteDocument) -> String {
    document
        .validate()
        .expect_err("the document must be refused")[0]
        .to_string()
}

#[test]
fn the_highest_version_is_in_force() {
    let mut state = ControlState::default();
    assert_eq!(put(&mut state, stored(4, "a")), DocumentAnswer::Accepted);
    assert_eq!(put(&mut state, stored(9, "b")), DocumentAnswer::Accepted);
    let late = put(&mut state, stored(7, "c"));
    assert_eq!(late, DocumentAnswer::Superseded { in_force: 9 });
    assert_eq!(state.document(), Some(&stored(9, "b")));
}

#[test]
fn other_content_under_the_version_in_force_changes_nothing() {
    let mut state = ControlState::default();
    put(&mut state, stored(4, "a"));
    let again = put(&mut state, stored(4, "other"));
    assert_eq!(again, DocumentAnswer::Superseded { in_force: 4 });
    assert_eq!(state.document(), Some(&stored(4, "a")));
}

#[test]
fn documents_are_recorded_in_the_audit_trail() {
    let mut state = ControlState::default();
    put(&mut state, stored(4, "a"));
    put(&mut state, stored(3, "b"));
    let actions: Vec<&AuditAction> = state.audit().after(0).map(|it| &it.action).collect();
    let expected = |version, is_accepted| AuditAction::Document {
        is_accepted,
        version,
    };
    assert_eq!(actions, [&expected(4, true), &expected(3, false)]);
}

#[test]
fn two_routes_with_equal_host_and_prefix_are_refused() {
    let twice = document(vec![route("h", "/a/"), route("H", "/a/")]);
    assert!(first_remedy(&twice).contains("keep one of them"));
}

#[test]
fn unknown_services_empty_weights_and_zero_timeouts_are_refused() {
    let mut unknown = route("h", "/a/");
    unknown.services[0].service = "t".to_owned();
    assert!(first_remedy(&document(vec![unknown])).contains("name a service"));
    let mut weightless = route("h", "/a/");
    weightless.services[0].weight = 0;
    assert!(first_remedy(&document(vec![weightless])).contains("weight above zero"));
    let mut timeless = route("h", "/a/");
    timeless.timeout_ms = 0;
    assert!(first_remedy(&document(vec![timeless])).contains("above zero"));
}

#[test]
fn a_key_of_two_workspaces_is_refused_and_not_shown() {
    let mut shared = document(vec![route("h", "/a/")]);
    shared.workspaces = Some(vec![workspace("v", &["k1"]), workspace("w", &["k1"])]);
    let remedy = first_remedy(&shared);
    assert!(remedy.contains("draw a new one"));
    assert!(!remedy.contains("k1"));
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let routes = vec![
        route("h", "/a/"),
        route("h", "/a/b/"),
        route("i", "/a/b/c/"),
    ];
    let index = RouteIndex::new(document(routes));
    let found = |host, path| {
        index
            .find(host, path)
            .map(|route| route.path_prefix.as_str())
    };
    assert_eq!(found("h", "/a/b/c/d"), Some("/a/b/"));
    assert_eq!(found("H", "/a/x"), Some("/a/"));
    assert_eq!(found("h", "/ab"), None);
    assert_eq!(found("j", "/a/"), None);
    assert_eq!(index.workspace_of_key("k2").unwrap().name, "w");
    assert!(index.workspace_of_key("k3").is_none());
}

#[test]
fn document_is_returned_as_sent_and_compresses_to_under_a_fifth() {
    let routes: Vec<String> = (0..350)
        .map(|number| format!(r#"{{"name":"r-{number}","host":"shop.example","kind":"stream"}}"#))
        .collect();
    let text = format!("[{}]", routes.join(", \n"));
    let document = stored(7, &text);
    assert_eq!(document.unpack().unwrap(), text.as_bytes());
    assert!(document.packed_bytes() * 5 < text.len());
}

#[test]
fn uncompressed_document_of_an_earlier_release_is_read() {
    let former = postcard::to_stdvec(&(b"{}".to_vec(), 7_u64)).unwrap();
    let document: StoredDocument = postcard::from_bytes(&former).unwrap();
    assert_eq!(
        (document.unpack().unwrap(), document.version),
        (b"{}".to_vec(), 7)
    );
}
