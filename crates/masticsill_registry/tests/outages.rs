//! Which endpoints a control replica declares as down.

use masticsill_registry::{ConnectResult, EndpointId, OutageTable};
use masticsill_types::ClockMs;

const NOW: ClockMs = ClockMs(100_000);

fn id(number: usize) -> EndpointId {
    EndpointId::with_unknown_incarnation(format!("e{number:02}"))
}

/// A zone whose replica can't reach some of the endpoints.
struct Zone {
    endpoints: Vec<EndpointId>,
    now: ClockMs,
    table: OutageTable,
    unreachable: Vec<usize>,
}

impl Zone {
    fn new(endpoints: usize) -> Self {
        Self {
            endpoints: (0..endpoints).map(id).collect(),
            now: NOW,
            table: OutageTable::new(ClockMs(0)),
            unreachable: Vec::new(),
        }
    }

    fn report(&mut self, number: usize) {
        self.table.report(self.now, &id(number));
    }

    /// Runs the attempts that are due, and those that they entail, for a time. Returns the number of
    /// attempts.
    fn run(&mut self, time_ms: u64) -> usize {
        let end = self.now + time_ms;
        let mut pending: Vec<(ClockMs, EndpointId)> = Vec::new();
        let mut attempts = 0;
        while self.now < end {
            let ready: Vec<&EndpointId> = self.endpoints.iter().collect();
            let begun = self.table.begin_attempts(self.now, &ready);
            attempts += begun.len();
            for begun in begun {
                let number = self.endpoints.iter().position(|it| *it == begun).unwrap();
                let is_reachable = !self.unreachable.contains(&number);
                let took_ms = if is_reachable { 1 } else { 120 };
                pending.push((self.now + took_ms, begun));
            }
            for (at, ended) in pending.extract_if(.., |(at, _)| *at <= self.now) {
                let result = if self.now.since(at) == 0 && self.is_reachable(&ended) {
                    ConnectResult::Reached
                } else {
                    ConnectResult::TimedOut
                };
                self.table.note_attempt(self.now, &ended, result);
            }
            self.table.decide(self.now);
            self.now = self.now + 1;
        }
        attempts
    }

    fn is_reachable(&self, endpoint: &EndpointId) -> bool {
        let is_it = |number: &usize| id(*number) == *endpoint;
        !self.unreachable.iter().any(is_it)
    }

    fn down(&self) -> Vec<EndpointId> {
        let mut down: Vec<EndpointId> = self.table.down().cloned().collect();
        down.sort();
        down
    }
}

#[test]
fn reported_endpoint_is_down_after_one_failed_attempt() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.report(2);
    zone.run(130);
    assert_eq!(zone.down(), [id(2)]);
    assert_eq!(zone.table.revision(), 1);
}

/// A lossy link between zones makes relays report endpoints that are alive.
#[test]
fn reachable_endpoint_is_never_down_however_often_it_is_reported() {
    let mut zone = Zone::new(6);
    let mut attempts = 0;
    for _ in 0..50 {
        for number in 0..6 {
            zone.report(number);
        }
        attempts += zone.run(100);
        assert!(zone.down().is_empty());
    }
    assert_eq!(zone.table.revision(), 0);
    // At most one a second each, after the first second.
    assert!(attempts <= 6 * 8, "{attempts} attempts in 5 s");
}

/// A replica that is cut off from its zone must not take the whole zone away.
#[test]
fn replica_that_reaches_no_endpoint_declares_none() {
    let mut zone = Zone::new(10);
    zone.unreachable = (0..10).collect();
    for number in 0..10 {
        zone.report(number);
    }
    zone.run(3_000);
    assert!(zone.down().is_empty());
    assert!(zone.table.is_isolated());
}

/// It has declared an outage before it is cut off itself.
#[test]
fn replica_that_becomes_cut_off_withdraws_its_outages() {
    let mut zone = Zone::new(10);
    zone.unreachable = vec![3];
    zone.report(3);
    zone.run(500);
    assert_eq!(zone.down(), [id(3)]);
    zone.unreachable = (0..10).collect();
    zone.run(1_500);
    assert!(zone.down().is_empty());
}

/// Six tenths of the engines became unresponsive at once, and each relay found out about each of
/// them by a request of its own.
#[test]
fn common_outage_is_found_with_few_reports() {
    let mut zone = Zone::new(25);
    zone.unreachable = (0..15).collect();
    zone.report(4);
    zone.run(1_000);
    let expected: Vec<EndpointId> = (0..15).map(id).collect();
    assert_eq!(zone.down(), expected);
}

#[test]
fn number_of_concurrent_attempts_is_bounded() {
    let mut table = OutageTable::new(ClockMs(0));
    let endpoints: Vec<EndpointId> = (0..200).map(id).collect();
    let ready: Vec<&EndpointId> = endpoints.iter().collect();
    for endpoint in &endpoints {
        table.report(NOW, endpoint);
    }
    assert_eq!(table.begin_attempts(NOW, &ready).len(), 32);
    assert!(table.begin_attempts(NOW + 100, &ready).is_empty());
}

#[test]
fn outage_ends_with_a_connection() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.report(2);
    zone.run(3_000);
    assert_eq!(zone.down(), [id(2)]);
    zone.unreachable.clear();
    zone.run(1_100);
    assert!(zone.down().is_empty());
    // Without reports nothing is checked any more.
    zone.run(4_000);
    assert_eq!(zone.run(5_000), 0);
    assert!(zone.table.is_empty());
}

/// Attempts are a second apart after a while, and an endpoint that is back announces itself sooner.
#[test]
fn endpoint_that_sends_a_heartbeat_is_tried_at_once() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.report(2);
    // The attempts are at 0, 250, 750, 1,750 and 2,750 ms.
    zone.run(3_100);
    zone.unreachable.clear();
    zone.table.note_heartbeat(zone.now, &id(2));
    zone.run(10);
    assert!(zone.down().is_empty());
}

/// Only its serving port is stuck: if heartbeats ended the outage, another relay would lose a
/// request there after each.
#[test]
fn heartbeats_of_an_unreachable_endpoint_do_not_end_its_outage() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.report(2);
    zone.run(130);
    let mut attempts = 0;
    for _ in 0..50 {
        zone.table.note_heartbeat(zone.now, &id(2));
        attempts += zone.run(100);
        assert_eq!(zone.down(), [id(2)]);
    }
    // At most four a second there, and a few checks of the replica's own network.
    assert!(attempts <= 5 * 4 + 5 * 3, "{attempts} attempts in 5 s");
}

/// The other replica of the zone reaches the endpoint, so only a link within the zone is down.
#[test]
fn replica_leaves_an_endpoint_that_the_other_one_reaches_to_it() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.report(2);
    zone.run(500);
    assert_eq!(zone.down(), [id(2)]);
    zone.table.note_peer_reached(zone.now, &id(2), 100);
    for _ in 0..10 {
        zone.report(2);
        zone.run(1_000);
        assert!(zone.down().is_empty());
    }
}

#[test]
fn connection_of_the_other_replica_before_the_outage_does_not_end_it() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.run(1_000);
    zone.report(2);
    zone.run(500);
    zone.table.note_peer_reached(zone.now, &id(2), 600);
    zone.run(10);
    assert_eq!(zone.down(), [id(2)]);
}

#[test]
fn replica_that_has_just_started_declares_none() {
    let mut zone = Zone::new(6);
    zone.table = OutageTable::new(NOW + 2_000);
    zone.unreachable = vec![2];
    zone.report(2);
    zone.run(1_900);
    assert!(zone.down().is_empty());
    zone.run(200);
    assert_eq!(zone.down(), [id(2)]);
}

/// After a pause of the replica its timers have expired, whatever the endpoint did.
#[test]
fn attempt_during_a_pause_of_the_replica_is_ignored() {
    let mut table = OutageTable::new(ClockMs(0));
    let endpoints: Vec<EndpointId> = (0..4).map(id).collect();
    let ready: Vec<&EndpointId> = endpoints.iter().collect();
    table.report(NOW, &id(0));
    table.report(NOW, &id(1));
    assert_eq!(table.begin_attempts(NOW, &ready).len(), 2);
    table.note_attempt(NOW + 1, &id(1), ConnectResult::Reached);
    table.note_attempt(NOW + 3_000, &id(0), ConnectResult::TimedOut);
    assert!(table.decide(NOW + 3_000).is_empty());
}

/// The process has no more file descriptors, for example.
#[test]
fn local_faults_are_no_evidence() {
    let mut table = OutageTable::new(ClockMs(0));
    let endpoints: Vec<EndpointId> = (0..4).map(id).collect();
    let ready: Vec<&EndpointId> = endpoints.iter().collect();
    table.report(NOW, &id(0));
    table.report(NOW, &id(1));
    table.begin_attempts(NOW, &ready);
    table.note_attempt(NOW + 1, &id(1), ConnectResult::Reached);
    table.note_attempt(NOW + 1, &id(0), ConnectResult::Inconclusive);
    assert!(table.decide(NOW + 1).is_empty());
}

/// A new incarnation has an id of its own, and takes no state over from the former one.
#[test]
fn endpoint_that_has_ended_is_dropped() {
    let mut zone = Zone::new(6);
    zone.unreachable = vec![2];
    zone.report(2);
    zone.run(200);
    let revision = zone.table.revision();
    zone.endpoints.remove(2);
    zone.unreachable.clear();
    zone.run(10);
    assert!(zone.down().is_empty());
    assert!(zone.table.revision() > revision);
}
