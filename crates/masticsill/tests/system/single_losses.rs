//! A single loss or fault while an answer is streamed.

use masticsill_testkit::{Direction, ProxyMode, wait_until};

use crate::support::{Draft, End, Reader, SmallSystem, WAIT_TIMEOUT_MS};

const TOKENS: u32 = 150;

/// Opens a stream, reads its first bytes and returns it with the agent and engine that run it.
fn start_answer(system: &SmallSystem, draft: &Draft) -> (Reader, String, usize) {
    let mut reader = system.open("entry-0", draft);
    reader.read_bytes(20);
    let busy = system.busy_engine();
    (reader, format!("agent-{busy}"), busy)
}

fn assert_whole(mut reader: Reader, draft: &Draft) {
    assert_eq!(reader.read_to_end(), End::Done, "so far: {}", reader.text);
    assert_eq!(reader.text, draft.expected());
}

#[test]
fn a_frozen_engines_stream_moves_and_its_late_tokens_are_dropped() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("frozen", TOKENS);
    let (mut reader, _, busy) = start_answer(&system, &draft);
    let engine = &mut system.engines[busy].process;
    engine.pause().expect("the engine runs");
    reader.read_bytes(draft.expected().len() / 2);
    let engine = &mut system.engines[busy].process;
    engine.resume().expect("the engine runs");
    assert_whole(reader, &draft);
    assert_eq!(system.started(1 - busy), 1, "the other engine continued it");
}

#[test]
fn a_lost_instances_stream_moves() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("instance", TOKENS);
    let (reader, agent, busy) = start_answer(&system, &draft);
    system.deployment.node_mut(&agent).process.kill();
    system.engines[busy].process.kill();
    assert_whole(reader, &draft);
}

#[test]
fn a_lost_agents_stream_moves_and_its_engine_stops() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("agent", TOKENS);
    let (reader, agent, busy) = start_answer(&system, &draft);
    system.deployment.node_mut(&agent).process.kill();
    assert_whole(reader, &draft);
    let is_idle = wait_until(WAIT_TIMEOUT_MS, || system.running(busy) == 0);
    assert!(is_idle, "the dead agent's engine stops its generation");
}

#[test]
fn a_paused_agents_stream_moves_and_its_old_attempt_ends() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("paused", TOKENS);
    let (reader, agent, busy) = start_answer(&system, &draft);
    let process = &mut system.deployment.node_mut(&agent).process;
    process.pause().expect("the agent runs");
    assert_whole(reader, &draft);
    let process = &mut system.deployment.node_mut(&agent).process;
    process.resume().expect("the agent runs");
    let is_idle = wait_until(WAIT_TIMEOUT_MS, || system.running(busy) == 0);
    assert!(is_idle, "the abandoned attempt is ended");
}

#[test]
fn a_network_cut_between_entry_and_agent_does_not_break_the_stream() {
    let cuts = [
        ("cut", ProxyMode::Cut),
        ("silent", ProxyMode::BlackHole(None)),
        ("one way", ProxyMode::BlackHole(Some(Direction::ToClient))),
    ];
    for (name, mode) in cuts {
        let system = SmallSystem::start(1, 2);
        let draft = Draft::new(name, TOKENS);
        let (reader, agent, _) = start_answer(&system, &draft);
        system.deployment.node(&agent).proxy.set_mode(mode);
        assert_whole(reader, &draft);
    }
}

#[test]
fn a_reset_connection_does_not_break_the_stream() {
    let system = SmallSystem::start(1, 2);
    let draft = Draft::new("reset", TOKENS);
    let (reader, agent, _) = start_answer(&system, &draft);
    system.deployment.node(&agent).proxy.reset();
    assert_whole(reader, &draft);
}

#[test]
fn a_paused_entry_does_not_move_its_streams() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("entry paused", TOKENS);
    let (reader, _, busy) = start_answer(&system, &draft);
    let other = 1 - busy;
    let entry = &mut system.deployment.node_mut("entry-0").process;
    entry.pause().expect("the entry runs");
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let entry = &mut system.deployment.node_mut("entry-0").process;
    entry.resume().expect("the entry runs");
    assert_whole(reader, &draft);
    assert_eq!(
        system.started(other),
        0,
        "an entry must not take its own pause for the silence of an agent"
    );
}
