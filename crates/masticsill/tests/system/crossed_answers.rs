//! Concurrent callers get their own answers while connections between entries and agents are
//! delayed, reset and blocked.

use std::thread;

use masticsill_testkit::{Caller, CallerRequest, Direction, ProxyMode};
use serde_json::json;

use crate::support::{Draft, SmallSystem, WAIT_TIMEOUT_MS};

const CALLERS: usize = 24;
const TOKENS: u32 = 120;
const AGENTS: usize = 3;

/// Sends one request and returns the complete text of the answer.
fn ask(address: std::net::SocketAddr, draft: &Draft) -> String {
    let caller = Caller::start().expect("a thread can be started");
    let mut body = draft.body();
    body["stream"] = json!(false);
    let request = CallerRequest::post(address, "/v1/completions", &body);
    let answer = caller
        .call(request, WAIT_TIMEOUT_MS)
        .expect("the entry answers");
    let answer = answer.json();
    let text = answer["choices"][0]["text"].as_str();
    text.unwrap_or_else(|| panic!("{answer}")).to_owned()
}

/// Injects one fault after the other, each into the connections of the next agent.
fn inject_faults(system: &SmallSystem) {
    let modes = [
        ProxyMode::Delay(15),
        ProxyMode::BlackHole(Some(Direction::ToClient)),
        ProxyMode::Delay(40),
        ProxyMode::BlackHole(Some(Direction::ToUpstream)),
    ];
    for (round, mode) in modes.into_iter().enumerate() {
        let proxy = &system
            .deployment
            .node(&format!("agent-{}", round % AGENTS))
            .proxy;
        proxy.set_mode(mode);
        // Blocked bytes are delivered late. They must not reach any other stream.
        let other = format!("agent-{}", (round + 1) % AGENTS);
        system.deployment.node(&other).proxy.reset();
        let started: u64 = (0..AGENTS).map(|engine| system.started(engine)).sum();
        masticsill_testkit::wait_until(500, || {
            let now: u64 = (0..AGENTS).map(|engine| system.started(engine)).sum();
            now > started
        });
        proxy.set_mode(ProxyMode::Pass);
    }
}

#[test]
fn each_caller_gets_its_own_whole_answer() {
    let system = SmallSystem::start(2, AGENTS);
    let drafts: Vec<Draft> = (0..CALLERS)
        .map(|number| Draft::new(&format!("caller {number}"), TOKENS))
        .collect();
    let entries = ["entry-0", "entry-1"].map(|entry| system.deployment.http(entry));
    thread::scope(|scope| {
        let callers: Vec<_> = drafts
            .iter()
            .enumerate()
            .map(|(number, draft)| scope.spawn(move || ask(entries[number % 2], draft)))
            .collect();
        inject_faults(&system);
        for (caller, draft) in callers.into_iter().zip(&drafts) {
            let text = caller.join().expect("the caller is answered");
            assert_eq!(text, draft.expected());
        }
    });
}
