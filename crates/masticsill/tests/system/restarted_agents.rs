//! Restarted agents.

use masticsill_testkit::wait_until;

use crate::support::{Draft, End, SmallSystem, WAIT_TIMEOUT_MS};

#[test]
fn a_killed_agent_gets_work_again_after_its_restart() {
    let mut system = SmallSystem::start(1, 1);
    let before = Draft::new("before the restart", 5);
    assert_eq!(system.open("entry-0", &before).read_to_end(), End::Done);
    system.deployment.node_mut("agent-0").process.kill();
    system.deployment.restart("agent-0");
    let mut count = 0;
    let is_served = wait_until(WAIT_TIMEOUT_MS, || {
        count += 1;
        let draft = Draft::new(&format!("after the restart {count}"), 5);
        let mut reader = system.open("entry-0", &draft);
        reader.status() == 200 && reader.read_to_end() == End::Done
    });
    assert!(is_served, "the restarted agent gets no work");
}
