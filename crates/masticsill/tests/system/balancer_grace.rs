//! Requests that reach an entry between the failing of its readiness check and its end.

use masticsill_testkit::wait_until;
use serde_json::json;

use crate::support::{Draft, End, SmallSystem, WAIT_TIMEOUT_MS};

/// Long enough for the requests of the test on a busy machine. The test does not wait for its end.
const GRACE_MS: u64 = 15_000;

#[test]
fn requests_that_the_balancer_still_sends_are_served_whole() {
    let mut system = SmallSystem::start(0, 1);
    let extra = json!({"balancer_grace_ms": GRACE_MS});
    system.deployment.start_entry("entry-9", "zone-0", &extra);
    system.deployment.await_models("entry-9", 1);
    let process = &mut system.deployment.node_mut("entry-9").process;
    process.request_stop().expect("the entry runs");
    let is_off = wait_until(WAIT_TIMEOUT_MS, || !system.deployment.is_ready("entry-9"));
    assert!(is_off, "readiness goes off first");
    let draft = Draft::new("still sent", 20);
    let mut reader = system.open("entry-9", &draft);
    assert_eq!(reader.status(), 200);
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
}
