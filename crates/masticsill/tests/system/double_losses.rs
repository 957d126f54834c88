//! Streams continue after two losses at once, or two in quick succession.

use crate::support::{Draft, End, SmallSystem};

const TOKENS: u32 = 200;

#[test]
fn two_engines_lost_one_after_the_other() {
    let mut system = SmallSystem::start(1, 3);
    let draft = Draft::new("twice", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    for length in [20, 60] {
        reader.read_bytes(length);
        let busy = system.busy_engine();
        system.engines[busy].process.kill();
    }
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
}

#[test]
fn two_instances_lost_at_once() {
    let mut system = SmallSystem::start(1, 3);
    let draft = Draft::new("both", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let busy = system.busy_engine();
    let other = (busy + 1) % 3;
    for lost in [busy, other] {
        let agent = format!("agent-{lost}");
        system.deployment.node_mut(&agent).process.kill();
        system.engines[lost].process.kill();
    }
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
}

#[test]
fn an_entry_and_an_engine_lost_at_once() {
    let mut system = SmallSystem::start(2, 2);
    let draft = Draft::new("entry and engine", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let busy = system.busy_engine();
    system.deployment.node_mut("entry-0").process.kill();
    system.engines[busy].process.kill();
    reader.read_to_end();
    let mut again = system.reopen("entry-1", &draft, &reader.last_id);
    assert_eq!(again.read_to_end(), End::Done);
    assert_eq!(reader.text + &again.text, draft.expected());
}

#[test]
fn after_an_entry_and_an_agent_are_lost_at_once_the_resume_is_refused_with_410() {
    let mut system = SmallSystem::start(2, 2);
    let draft = Draft::new("entry and agent", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let busy = system.busy_engine();
    system.deployment.node_mut("entry-0").process.kill();
    let agent = format!("agent-{busy}");
    system.deployment.node_mut(&agent).process.kill();
    reader.read_to_end();
    let again = system.reopen("entry-1", &draft, &reader.last_id);
    assert_eq!(
        again.status(),
        410,
        "the resume must be refused, because the attempt was lost with its agent"
    );
}
