//! Merging records of a member is a join: order and repetition do not matter.

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

/// Returns the merged member without its hold-down, which depends on the failures that this node
/// has seen and so on the order of the records.
fn merged_member(net: &Net) -> Option<Member> {
    let mut member = net.sees("entry-0", "agent-1").cloned()?;
    member.held_until = ClockMs::default();
    Some(member)
}

fn net_after_records(records: &[Record]) -> Net {
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
fn records_merge_to_the_same_member_in_any_order_and_repetition() {
    let mut rng = StdRng::seed_from_u64(6);
    for _ in 0..500 {
        let mut records: Vec<Record> = (0..rng.random_range(1..8))
            .map(|_| record(rng.random_range(1..4), rng.random_range(0..3), rng.random()))
            .collect();
        let first = merged_member(&net_after_records(&records));
        let repeated = records.clone();
        records.extend(repeated);
        records.shuffle(&mut rng);
        assert_eq!(merged_member(&net_after_records(&records)), first);
    }
}

#[test]
fn the_greater_record_wins_in_either_order() {
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
            "suspicion of the same revision",
            record(1, 2, true),
            record(1, 2, false),
            MemberState::Suspect,
        ),
        (
            "suspicion of an older incarnation",
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
        for records in [[winner.clone(), loser.clone()], [loser, winner.clone()]] {
            let net = net_after_records(&records);
            let member = net.sees("entry-0", "agent-1").unwrap();
            assert_eq!(member.state, state, "{name}");
            assert_eq!(member.revision, winner.revision, "{name}");
        }
    }
}

#[test]
fn the_change_log_lists_changed_members_until_it_overflows() {
    let mut net = net_after_records(&[]);
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
        net.input("entry-0", Input::RoleChanged(Role::Entry));
    }
    assert_eq!(net.view("entry-0").changes_since(cursor), ChangesSince::All);
}
