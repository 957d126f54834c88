//! Requests have the same fingerprint if, and only if, all parts of their content are the same.

use masticsill_quarantine::{Fingerprint, RequestContent};

const CONTENT: RequestContent<'static> = RequestContent {
    body: b"plans",
    host: "shop.example",
    method: "POST",
    target: "/stream/1?size=2",
    workspace: Some("tiles"),
};

#[test]
fn same_content_has_the_same_fingerprint() {
    assert_eq!(Fingerprint::from(CONTENT), Fingerprint::from(CONTENT));
    assert_eq!(Fingerprint::from(CONTENT).to_string().len(), 32);
}

#[test]
fn every_part_of_the_content_changes_the_fingerprint() {
    let other = [
        RequestContent {
            body: b"plan",
            ..CONTENT
        },
        RequestContent {
            host: "shop.exampl",
            ..CONTENT
        },
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            target: "/stream/1?size=3",
            ..CONTENT
        },
        RequestContent {
            workspace: Some("pipes"),
            ..CONTENT
        },
        RequestContent {
            workspace: Some(""),
            ..CONTENT
        },
        RequestContent {
            workspace: None,
            ..CONTENT
        },
        // The same bytes, split differently.
        RequestContent {
            host: "shop.exampleP",
            method: "OST",
            ..CONTENT
        },
    ];
    let mut all: Vec<Fingerprint> = other.map(Fingerprint::from).to_vec();
    all.push(Fingerprint::from(CONTENT));
    let count = all.len();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), count);
}
