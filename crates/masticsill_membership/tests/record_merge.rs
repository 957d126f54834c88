//! Words about a member form a join.

mod support;

use masticsill_membership::{
    ChangesSince, Input, Member, MemberState, Phase, Record, Request, RequestBody, Role,
};
use masticsill_types::{ClockMs, Incarnation, ZoneId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use support::{Net, address, node, profile};

fn record(incarnation: u64, revision: u32, is_suspected: bool) -> Record {
    Record {
        address: address(1),
        incarnation: Incarnation(incarnation),
        is_suspected,
        node: node("agent-1"),
        phase: Phase::Serving,
        revision,
        role: Role::Agent(profile(revision % 2 == 1)),
        zone: ZoneId::new("muc-b").unwrap(),
    }
}

/// What the words say; the hold-down is left out, since it counts the deaths seen from here.
fn words_say(net: &Net) -> Option<Member> {
    let mut member = net.sees("entry-0", "agent-1").cloned()?;
    member.held_until = ClockMs::default();
    Some(member)
}

fn heard(records: &[Record]) -> Net {
    let mut net = Net::default();
    net.start("entry-0", 0, 1, Role::Entry);
    for record in records {
        let request = Request {
            body: RequestBody::Probe,
            from: node("agent-2"),
            rumors: vec![record.clone()],
        };
        let now = net.now;
        net.hosts[&node("entry-0")].membership.answer(now, request);
    }
    net
}

#[test]
fn any_order_and_repetition_gives_the_same_member() {
    let mut rng = StdRng::seed_from_u64(6);
    for _ in 0..500 {
        let mut words: Vec<Record> = (0..rng.random_range(1..8))
            .map(|_| record(rng.random_range(1..4), rng.random_range(0..3), rng.random()))
            .collect();
        let first = words_say(&heard(&words));
        let repeated = words.clone();
        words.extend(repeated);
        words.shuffle(&mut rng);
        assert_eq!(words_say(&heard(&words)), first);
    }
}

#[test]
fn the_word_that_wins() {
    let cases = [
        (
            "higher incarnation",
            record(2, 0, false),
            record(1, 9, true),
            MemberState::Alive,
        ),
        (
            "higher revision refutes",
            record(1, 2, false),
            record(1, 0, true),
            MemberState::Alive,
        ),
        (
            "suspicion of the same word",
            record(1, 2, true),
            record(1, 2, false),
            MemberState::Suspect,
        ),
        (
            "old suspicion",
            record(2, 0, false),
            record(1, 0, true),
            MemberState::Alive,
        ),
        (
            "leaving",
            record(1, 1, false),
            record(1, 0, false),
            MemberState::Leaving,
        ),
    ];
    for (name, winner, loser, state) in cases {
        for words in [[winner.clone(), loser.clone()], [loser, winner.clone()]] {
            let net = heard(&words);
            let member = net.sees("entry-0", "agent-1").unwrap();
            assert_eq!(member.state, state, "{name}");
            assert_eq!(member.revision, winner.revision, "{name}");
        }
    }
}

#[test]
fn the_change_log_names_what_changed() {
    let mut net = heard(&[]);
    let cursor = net.view("entry-0").cursor();
    let host = &mut net.hosts[&node("entry-0")];
    let request = Request {
        body: RequestBody::Probe,
        from: node("agent-1"),
        rumors: vec![record(1, 0, false)],
    };
    host.membership.answer(net.now, request);
    let changes = net.view("entry-0").changes_since(cursor);
    assert_eq!(changes, ChangesSince::Members(vec![node("agent-1")]));
    for _ in 0..5_000 {
        net.input("entry-0", Input::Described(Role::Entry));
    }
    assert_eq!(net.view("entry-0").changes_since(cursor), ChangesSince::All);
}
