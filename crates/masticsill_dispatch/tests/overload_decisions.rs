//! Who is sent, who waits and who is refused when more is asked for than fits.

use assert_matches::assert_matches;
use masticsill_dispatch::{
    CallerPatience, Decision, Dispatcher, Ended, EndpointTable, Failure, Need, Surroundings, Terms,
    Ticket, Turns, Work, ZoneShare,
};
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointLoad, EndpointRecord, EndpointState,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};
use proptest::prelude::*;

const NOW: ClockMs = ClockMs(100_000);
const SERVICE: &str = "engines";

fn id(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
}

fn zone() -> ZoneId {
    ZoneId::new("a").unwrap()
}

fn table(names: &[&str]) -> EndpointTable {
    let records: Vec<EndpointRecord> = (8_000..)
        .zip(names)
        .map(|(port, name)| EndpointRecord {
            announcement: Announcement {
                address: ([10, 0, 0, 1], port).into(),
                cold_left_ms: 0,
                id: id(name),
                keeps_prompts: true,
                sequence: 1,
                service: SERVICE.to_owned(),
                slots: 64,
                state: EndpointState::Ready,
                zone: zone(),
            },
            is_silent: false,
        })
        .collect();
    let mut table = EndpointTable::default();
    table.merge(&NodeId::new("c").unwrap(), &records);
    table
}

fn need() -> Need {
    Need {
        excluded: Vec::new(),
        kept: Vec::new(),
        place: None,
        service: SERVICE.to_owned(),
        work: Work::Stream {
            memory_tokens: Some(88_000),
            prompt_tokens: 8_000,
            tokens: 8_650,
        },
    }
}

fn terms(workspace: &str) -> Terms {
    Terms {
        aim_ms: 4_500,
        aim_at: NOW + 4_500,
        caller_leaves_at: NOW + 25_000,
        deadline_at: NOW + 25_000,
        has_come_back: false,
        is_resume: false,
        workspace: Some(workspace.to_owned()),
    }
}

/// Dispatcher and endpoints of an entry that is alone.
struct Entry {
    dispatcher: Dispatcher,
    node: NodeId,
    table: EndpointTable,
    zone: ZoneId,
}

impl Entry {
    fn new(names: &[&str]) -> Self {
        Self {
            dispatcher: Dispatcher::default(),
            node: NodeId::new("entry").unwrap(),
            table: table(names),
            zone: zone(),
        }
    }

    /// An entry that has read a prompt in 1.2 s at each engine, and reads one at each now.
    fn busy(names: &[&str]) -> Self {
        let mut entry = Self::new(names);
        for name in names {
            let endpoint = entry.table.get_mut(&id(name)).unwrap();
            endpoint.reading_pace.note(8_000, 1_200);
            assert_matches!(entry.ask(NOW, &need(), &terms("w")), Decision::Send(_));
            entry.begin(name);
        }
        entry
    }

    fn begin(&mut self, name: &str) {
        let endpoint = self.table.get_mut(&id(name)).unwrap();
        endpoint.begin_reading();
        endpoint.in_flight += 1;
        endpoint.held_tokens += 8_650;
    }

    fn first_event(&mut self, now: ClockMs, name: &str) {
        self.table.get_mut(&id(name)).unwrap().end_reading(now);
    }

    fn ask(&mut self, now: ClockMs, need: &Need, terms: &Terms) -> Decision {
        let around = around(&self.node, &self.zone);
        self.dispatcher
            .ask(now, &self.table, need, terms, &around, || 0.0)
    }

    fn waits(&mut self, now: ClockMs, terms: &Terms) -> Ticket {
        let decision = self.ask(now, &need(), terms);
        let Decision::Wait(ticket) = decision else {
            panic!("{decision:?}");
        };
        ticket
    }

    fn next(&mut self, now: ClockMs) -> Option<Ended> {
        let around = around(&self.node, &self.zone);
        self.dispatcher.next(now, &self.table, &around, || 0.0)
    }
}

fn around<'a>(node: &'a NodeId, zone: &'a ZoneId) -> Surroundings<'a> {
    Surroundings {
        closed: &[],
        turns: Turns {
            entries: 1,
            node,
            share: ZoneShare::default(),
            zone,
        },
    }
}

#[test]
fn one_prompt_at_an_engine() {
    let mut entry = Entry::busy(&["e1", "e2"]);
    let ticket = entry.waits(NOW, &terms("w"));
    assert_eq!(entry.next(NOW + 100), None);
    entry.first_event(NOW + 300, "e2");
    assert_matches!(entry.next(NOW + 500), Some(Ended::Send(sent, choice)) => {
        assert_eq!((sent, choice.id), (ticket, id("e2")));
    });
}

#[test]
fn kept_prompt_needs_no_idle_engine() {
    let mut entry = Entry::busy(&["e1", "e2"]);
    let kept = CachedTokens {
        endpoint: id("e1"),
        tokens: 7_900,
    };
    let mut need = need();
    need.kept.push(kept);
    assert_matches!(entry.ask(NOW, &need, &terms("w")), Decision::Send(choice) => {
        assert_eq!(choice.id, id("e1"));
    });
}

#[test]
fn memory_is_not_overrun() {
    let mut entry = Entry::new(&["e1"]);
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    endpoint.held_tokens = 40_000;
    let load = EndpointLoad {
        id: id("e1"),
        in_flight: 4,
        reading: 0,
        held_tokens: 36_000,
        is_failing: false,
    };
    entry.table.take_loads(NOW, &zone(), &[load]);
    assert_matches!(entry.ask(NOW, &need(), &terms("w")), Decision::Wait(_));
}

#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let mut entry = Entry::busy(&["e1"]);
    // Each start takes 1.2 s, and 2.4 s are left for waiting.
    entry.waits(NOW, &terms("w1"));
    entry.waits(NOW, &terms("w2"));
    let decision = entry.ask(NOW, &need(), &terms("w3"));
    assert_matches!(decision, Decision::Refuse(overload) => {
        assert_eq!(overload.ahead, 2);
        assert!(overload.retry_after_ms >= 1_000, "{overload:?}");
    });
}

#[test]
fn times_to_come_back_follow_one_another() {
    let mut entry = Entry::busy(&["e1"]);
    entry.waits(NOW, &terms("w1"));
    entry.waits(NOW, &terms("w2"));
    let mut before = 0;
    for workspace in ["w3", "w4", "w5"] {
        let decision = entry.ask(NOW, &need(), &terms(workspace));
        let Decision::Refuse(overload) = decision else {
            panic!("{decision:?}");
        };
        assert!(overload.retry_after_ms > before);
        before = overload.retry_after_ms;
    }
    assert!(before <= 25_000 / 3);
}

#[test]
fn resumes_go_first() {
    let mut entry = Entry::busy(&["e1"]);
    entry.waits(NOW, &terms("w1"));
    let resume = Terms {
        is_resume: true,
        ..terms("w2")
    };
    let resume = entry.waits(NOW, &resume);
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 100), Some(Ended::Send(sent, _)) if sent == resume);
}

#[test]
fn those_who_came_back_go_before_newcomers() {
    let mut entry = Entry::busy(&["e1"]);
    let newcomer = entry.waits(NOW, &terms("w1"));
    let back = Terms {
        has_come_back: true,
        ..terms("w2")
    };
    let back = entry.waits(NOW, &back);
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(Ended::Send(sent, _)) if sent == back);
    assert_ne!(back, newcomer);
}

#[test]
fn one_workspace_does_not_fill_the_queue() {
    let mut entry = Entry::busy(&["e1", "e2", "e3", "e4"]);
    // The queue holds seven in time; two workspaces ask.
    entry.waits(NOW, &terms("other"));
    let hot =
        (0..7).filter(|_| matches!(entry.ask(NOW, &need(), &terms("hot")), Decision::Wait(_)));
    assert!(hot.count() <= 4);
    entry.waits(NOW, &terms("other"));
}

#[test]
fn refusal_comes_within_half_a_second() {
    let mut entry = Entry::busy(&["e1"]);
    let ticket = entry.waits(NOW, &terms("w"));
    // The engine turns slow: what was expected of it is void.
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    (0..20).for_each(|_| endpoint.reading_pace.note(8_000, 9_000));
    let ends = (0..500).find_map(|ms| entry.next(NOW + ms));
    assert_matches!(ends, Some(Ended::Refuse(refused, _)) if refused == ticket);
}

#[test]
fn late_request_is_served_when_nobody_else_waits() {
    let mut entry = Entry::busy(&["e1"]);
    let late = Terms {
        aim_at: NOW.before(1_000),
        ..terms("w")
    };
    let ticket = entry.waits(NOW, &late);
    entry.first_event(NOW + 200, "e1");
    assert_matches!(entry.next(NOW + 400), Some(Ended::Send(sent, _)) if sent == ticket);
}

#[test]
fn failed_engine_is_no_free_one() {
    let mut entry = Entry::busy(&["e1"]);
    entry.table = table(&["e1", "e2"]);
    entry.begin("e1");
    entry.table.note_failure(NOW, &id("e2"), Failure::Broken);
    assert_matches!(entry.ask(NOW, &need(), &terms("w")), Decision::Wait(_));
}

#[test]
fn endpoint_without_connections_ends_no_wait() {
    let mut entry = Entry::busy(&["e1", "e2"]);
    let ticket = entry.waits(NOW, &terms("w"));
    entry.first_event(NOW + 100, "e1");
    assert_eq!(
        entry.dispatcher.waiting_services().collect::<Vec<_>>(),
        [SERVICE]
    );
    let closed = [id("e1")];
    let around = Surroundings {
        closed: &closed,
        ..around(&entry.node, &entry.zone)
    };
    let ended = entry
        .dispatcher
        .next(NOW + 300, &entry.table, &around, || 0.0);
    assert_eq!(ended, None);
    assert_matches!(entry.next(NOW + 300), Some(Ended::Send(sent, _)) if sent == ticket);
}

#[test]
fn nobody_is_nobody() {
    let mut entry = Entry::new(&[]);
    assert_matches!(entry.ask(NOW, &need(), &terms("w")), Decision::Nobody);
}

#[test]
fn word_of_fullness_holds_sends() {
    let mut entry = Entry::new(&["e1"]);
    entry.table.get_mut(&id("e1")).unwrap().note_full(NOW);
    assert_matches!(entry.ask(NOW, &need(), &terms("w")), Decision::Wait(_));
    assert_matches!(entry.next(NOW + 300), Some(Ended::Send(..)));
}

#[test]
fn less_time_tells_who_came_back() {
    let mut patience = CallerPatience::default();
    for given_ms in [25_000, 21_300, 24_000] {
        assert_eq!(patience.note(NOW, "draft", given_ms), 0);
    }
    assert_eq!(patience.note(NOW, "draft", 17_000), 8_000);
    // A route whose callers have become less patient is learned anew.
    let later = NOW + 61_000;
    patience.note(NOW + 30_500, "draft", 10_000);
    assert_eq!(patience.note(later, "draft", 10_000), 0);
}

proptest! {
    /// Each waiting request ends exactly once, by a send, a refusal or its withdrawal.
    #[test]
    fn queue_loses_nobody(
        steps in prop::collection::vec((0_u8..4, 0_usize..3, 1_u64..300), 1..120),
    ) {
        let names = ["e1", "e2", "e3"];
        let mut entry = Entry::new(&names);
        let mut now = NOW;
        let mut waiting: Vec<Ticket> = Vec::new();
        for (step, which, passed_ms) in steps {
            now = now + passed_ms;
            let deadline_at = now + 8_000;
            let terms = Terms { aim_at: now + 4_500, deadline_at, ..terms(names[which]) };
            match step {
                0 | 1 => match entry.ask(now, &need(), &terms) {
                    Decision::Send(choice) => entry.begin(&choice.id.name),
                    Decision::Wait(ticket) => waiting.push(ticket),
                    Decision::Refuse(overload) => prop_assert!(overload.retry_after_ms >= 200),
                    Decision::Nobody => prop_assert!(false, "there are engines"),
                },
                2 => {
                    let endpoint = entry.table.get_mut(&id(names[which])).unwrap();
                    if endpoint.reading > 0 {
                        endpoint.end_reading(now);
                        endpoint.in_flight -= 1;
                        endpoint.held_tokens -= 8_650;
                    }
                }
                _ => {
                    if !waiting.is_empty() {
                        entry.dispatcher.withdraw(waiting.remove(which % waiting.len()));
                    }
                }
            }
            while let Some(ended) = entry.next(now) {
                let (Ended::Send(ticket, _) | Ended::Refuse(ticket, _)) = &ended;
                let place = waiting.iter().position(|it| it == ticket);
                prop_assert!(place.is_some(), "ended twice");
                waiting.remove(place.unwrap());
                if let Ended::Send(_, choice) = ended {
                    entry.begin(&choice.id.name);
                }
            }
            prop_assert_eq!(entry.dispatcher.waiting(), waiting.len());
            for name in names {
                prop_assert!(entry.table.get(&id(name)).unwrap().reading <= 1);
            }
        }
        while let Some(ended) = entry.next(now + 60_000) {
            let (Ended::Send(ticket, _) | Ended::Refuse(ticket, _)) = ended;
            waiting.retain(|it| *it != ticket);
        }
        prop_assert!(waiting.is_empty());
    }
}
