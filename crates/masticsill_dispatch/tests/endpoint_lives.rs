//! Endpoints that restart under the same name, reported by several control replicas in any order.

use masticsill_dispatch::{EndpointTable, Failure, PlacementRequest, ZoneShare, choose};
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointIncarnation, EndpointLoad, EndpointRecord,
    EndpointState,
};
use masticsill_rollout::{ANY_VERSION, VersionFilter};
use masticsill_types::{ClockMs, NodeId, ZoneId};
use proptest::prelude::*;

const NOW: ClockMs = ClockMs(100_000);
const NAMES: [&str; 2] = ["e", "f"];
const STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Gone,
];

fn zone() -> ZoneId {
    ZoneId::new("a").unwrap()
}

fn control(number: usize) -> NodeId {
    NodeId::new(format!("c{number}")).unwrap()
}

fn id_started_at(name: &str, born_ms: u64) -> EndpointId {
    EndpointId {
        incarnation: EndpointIncarnation::started_at(born_ms),
        name: name.to_owned(),
    }
}

fn record(id: EndpointId, state: EndpointState, port: u16) -> EndpointRecord {
    EndpointRecord {
        announcement: Announcement {
            address: ([10, 0, 0, 1], port).into(),
            cold_left_ms: 0,
            id,
            keeps_prompts: true,
            sequence: 1,
            service: "s".to_owned(),
            slots: 4,
            state,
            version: String::new(),
            zone: zone(),
        },
        is_silent: false,
    }
}

fn ready(id: EndpointId) -> EndpointRecord {
    record(id, EndpointState::Ready, 80)
}

fn merge_report(table: &mut EndpointTable, record: EndpointRecord) -> Vec<EndpointId> {
    table.merge(&control(0), &[record])
}

fn chosen(table: &EndpointTable, cached: &[CachedTokens]) -> Option<(EndpointId, u64)> {
    chosen_of(table, cached, &ANY_VERSION)
}

fn chosen_of(
    table: &EndpointTable,
    cached: &[CachedTokens],
    versions: &VersionFilter,
) -> Option<(EndpointId, u64)> {
    let wanted = PlacementRequest {
        closed: &[],
        excluded: &[],
        cached,
        not_in_zone: None,
        reserved_endpoint: None,
        service: "s",
        share: ZoneShare::default(),
        versions,
        zone: &zone(),
    };
    let choice = choose(table, NOW, &wanted, |_| true, || 0.0)?;
    Some((choice.id, choice.cached_tokens))
}

/// Reports of a few incarnations of two names. Each name has its own port.
fn reports() -> impl Strategy<Value = EndpointRecord> {
    let incarnation = prop_oneof![
        Just(EndpointIncarnation::UNKNOWN),
        (1_u64..4).prop_map(EndpointIncarnation::started_at),
    ];
    let state = prop::sample::select(&STATES);
    (0..NAMES.len(), incarnation, state).prop_map(|(name, incarnation, state)| {
        let id = EndpointId {
            incarnation,
            name: NAMES[name].to_owned(),
        };
        let port = if name == 0 { 80 } else { 81 };
        record(id, state, port)
    })
}

/// The newest incarnation of a name and its most advanced state, computed from all reports at once.
fn expected(
    reports: &[EndpointRecord],
    name: &str,
) -> Option<(EndpointIncarnation, EndpointState)> {
    let reports = reports.iter().map(|it| &it.announcement);
    let of_name: Vec<_> = reports.filter(|it| it.id.name == name).collect();
    let incarnation = of_name.iter().map(|it| it.id.incarnation).max()?;
    let of_incarnation = of_name.iter().filter(|it| it.id.incarnation == incarnation);
    Some((incarnation, of_incarnation.map(|it| it.state).max()?))
}

proptest! {
    #[test]
    fn only_newest_incarnation_is_used(
        reports in prop::collection::vec(reports(), 1..16),
        again in prop::collection::vec((0_usize..3, any::<prop::sample::Index>()), 0..40),
    ) {
        let mut table = EndpointTable::default();
        for (position, report) in reports.iter().enumerate() {
            table.merge(&control(position % 3), std::slice::from_ref(report));
        }
        for (from, report) in &again {
            table.merge(&control(*from), std::slice::from_ref(report.get(&reports)));
        }
        for name in NAMES {
            let known: Vec<_> = table.iter().filter(|it| it.announcement.id.name == name).collect();
            let ready_endpoints: Vec<_> = known.iter().filter(|it| it.is_ready()).collect();
            match expected(&reports, name) {
                Some((incarnation, EndpointState::Ready)) => {
                    prop_assert_eq!(ready_endpoints.len(), 1);
                    prop_assert_eq!(ready_endpoints[0].announcement.id.incarnation, incarnation);
                }
                _ => prop_assert!(ready_endpoints.is_empty()),
            }
            let newest = expected(&reports, name).map(|(incarnation, _)| incarnation);
            let is_current_or_superseded = known.iter().all(|it| {
                let id = &it.announcement.id;
                Some(id.incarnation) == newest || table.is_superseded(id)
            });
            prop_assert!(is_current_or_superseded);
        }
    }
}

#[test]
fn new_incarnation_starts_without_load_or_failures() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, ready(id_started_at("e", 1)));
    let previous = table.get_mut(&id_started_at("e", 1)).unwrap();
    previous.in_flight = 3;
    previous.held_tokens = 9_000;
    previous.reading = 1;
    previous.health.note_failure(NOW);
    previous.note_full(NOW);
    let changed = merge_report(&mut table, ready(id_started_at("e", 2)));
    assert_eq!(changed, [id_started_at("e", 1), id_started_at("e", 2)]);
    let newest = table.get(&id_started_at("e", 2)).unwrap();
    assert_eq!(
        (newest.in_flight, newest.held_tokens, newest.reading),
        (0, 0, 0)
    );
    assert!(!newest.is_full(NOW) && !newest.health.is_backing_off(NOW));
    let previous = table.get(&id_started_at("e", 1)).unwrap();
    assert_eq!(
        previous.in_flight, 3,
        "its requests stay counted there until they end"
    );
    assert!(!previous.is_ready() && table.is_superseded(&id_started_at("e", 1)));
}

#[test]
fn late_report_of_former_incarnation_is_ignored() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, ready(id_started_at("e", 2)));
    assert!(merge_report(&mut table, ready(id_started_at("e", 1))).is_empty());
    let gone = record(id_started_at("e", 1), EndpointState::Gone, 80);
    assert!(merge_report(&mut table, gone).is_empty());
    assert!(merge_report(&mut table, ready(EndpointId::with_unknown_incarnation("e"))).is_empty());
    assert_eq!(chosen(&table, &[]), Some((id_started_at("e", 2), 0)));
}

#[test]
fn loads_of_former_incarnation_are_ignored() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, ready(id_started_at("e", 2)));
    let load = |born_ms| EndpointLoad {
        id: id_started_at("e", born_ms),
        in_flight: 5,
        reading: 1,
        held_tokens: 7_000,
        is_failing: false,
        is_leaving: false,
        stated: None,
    };
    table.update_loads(NOW, &zone(), &[load(1)]);
    assert_eq!(
        table.get(&id_started_at("e", 2)).unwrap().others.in_flight,
        0
    );
    table.update_loads(NOW, &zone(), &[load(1), load(2)]);
    assert_eq!(
        table.get(&id_started_at("e", 2)).unwrap().others.in_flight,
        5
    );
}

#[test]
fn cached_prompts_of_former_incarnation_are_ignored() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, ready(id_started_at("e", 2)));
    let cached = |born_ms| CachedTokens {
        endpoint: id_started_at("e", born_ms),
        tokens: 8_000,
    };
    assert_eq!(
        chosen(&table, &[cached(1)]),
        Some((id_started_at("e", 2), 0))
    );
    assert_eq!(
        chosen(&table, &[cached(2)]),
        Some((id_started_at("e", 2), 8_000))
    );
}

#[test]
fn heartbeat_does_not_undo_the_word_that_an_endpoint_leaves() {
    let mut table = EndpointTable::default();
    let id = id_started_at("e", 1);
    merge_report(&mut table, ready(id.clone()));
    assert!(table.note_leaving(&id));
    assert!(!table.note_leaving(&id));
    let mut later = ready(id.clone());
    later.announcement.sequence = 2;
    merge_report(&mut table, later);
    assert_eq!(chosen(&table, &[]), None);
    let reported = table.loads_in(NOW, &zone());
    assert!(reported[0].is_leaving);
    // Another entry that has only heard heartbeats learns of it.
    let mut other = EndpointTable::default();
    merge_report(&mut other, ready(id.clone()));
    assert_eq!(other.note_leaving_reports(&reported), [id]);
    assert_eq!(chosen(&other, &[]), None);
    // The next incarnation has not said so.
    let next = id_started_at("e", 2);
    merge_report(&mut other, ready(next.clone()));
    assert_eq!(chosen(&other, &[]), Some((next, 0)));
}

/// An incarnation at the address that all share, reported as silent or as heard.
fn at_address(name: &str, is_silent: bool) -> EndpointRecord {
    EndpointRecord {
        is_silent,
        ..ready(EndpointId::with_unknown_incarnation(name))
    }
}

fn chosen_name(table: &EndpointTable) -> Option<String> {
    chosen(table, &[]).map(|(id, _)| id.name)
}

/// Guards against a former incarnation that takes the present one out of use since it became known
/// last.
#[test]
fn former_incarnation_reported_last_does_not_displace_the_present_one() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, at_address("present", false));
    merge_report(&mut table, at_address("former", true));
    assert_eq!(chosen_name(&table).as_deref(), Some("present"));
    // One whose end no control replica knows yet may be tried once.
    merge_report(&mut table, at_address("crashed", false));
    assert_eq!(chosen_name(&table).as_deref(), Some("crashed"));
    let crashed = EndpointId::with_unknown_incarnation("crashed");
    table.note_failure(NOW, &crashed, Failure::Replaced);
    assert_eq!(chosen_name(&table).as_deref(), Some("present"));
    merge_report(&mut table, at_address("crashed", false));
    assert_eq!(chosen_name(&table).as_deref(), Some("present"));
}

/// Guards against a doubt that outlives the silence of the incarnation which raised it.
#[test]
fn present_incarnation_is_used_once_the_other_falls_silent() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, at_address("present", false));
    merge_report(&mut table, at_address("former", false));
    assert_eq!(chosen_name(&table).as_deref(), Some("former"));
    merge_report(&mut table, at_address("former", true));
    assert_eq!(chosen_name(&table).as_deref(), Some("present"));
}

/// Guards against a crashed incarnation that is used again when its successor ends.
#[test]
fn ended_successor_does_not_return_the_address() {
    let mut table = EndpointTable::default();
    merge_report(&mut table, at_address("former", false));
    merge_report(&mut table, at_address("successor", false));
    merge_report(&mut table, at_address("former", true));
    let mut gone = at_address("successor", false);
    gone.announcement.state = EndpointState::Gone;
    merge_report(&mut table, gone.clone());
    assert_eq!(chosen_name(&table), None);
    gone.is_silent = true;
    merge_report(&mut table, gone);
    assert_eq!(chosen_name(&table), None);
}

/// Guards against a begun stream that ends while the only endpoint of its version seems to have lost
/// its address.
#[test]
fn request_bound_to_a_version_tries_an_endpoint_whose_address_is_in_doubt() {
    let mut table = EndpointTable::default();
    let versions = VersionFilter::only("v1");
    let of_version = |name: &str, version: &str| {
        let mut record = at_address(name, false);
        version.clone_into(&mut record.announcement.version);
        record
    };
    merge_report(&mut table, of_version("present", "v1"));
    merge_report(&mut table, of_version("former", "v0"));
    let present = EndpointId::with_unknown_incarnation("present");
    assert!(table.has_ready("s", &versions, &[]));
    assert_eq!(
        chosen_of(&table, &[], &versions),
        Some((present.clone(), 0))
    );
    // The endpoint at the address has answered for the other one.
    table.note_failure(NOW, &present, Failure::Replaced);
    assert!(!table.has_ready("s", &versions, &[]));
    assert_eq!(chosen_of(&table, &[], &versions), None);
}

fn is_silent(table: &EndpointTable) -> bool {
    let id = EndpointId::with_unknown_incarnation("e");
    table.get(&id).unwrap().is_silent()
}

/// Guards against an endpoint that is avoided for good, since the replica that took it for silent is
/// gone.
#[test]
fn silence_reported_by_a_lost_replica_ends_with_the_next_report() {
    let mut table = EndpointTable::default();
    let lost = control(0);
    for replica in [&lost, &control(1)] {
        table.merge(replica, &[at_address("e", true)]);
    }
    table.note_control_lost(&lost);
    assert!(is_silent(&table));
    table.merge(&control(1), &[at_address("e", false)]);
    assert!(!is_silent(&table));
    // It answers again, and what it has reported still holds.
    table.merge(&lost, &[]);
    assert!(is_silent(&table));
}

/// Guards against an endpoint that counts as heard since nobody tells of it any more.
#[test]
fn silence_reported_by_lost_replicas_lasts_until_another_reports() {
    let mut table = EndpointTable::default();
    let replicas = [0, 1].map(control);
    for replica in &replicas {
        table.merge(replica, &[at_address("e", true)]);
    }
    for replica in &replicas {
        table.note_control_lost(replica);
    }
    assert!(is_silent(&table));
    // A new replica doesn't know the endpoint yet.
    table.merge(&control(2), &[]);
    assert!(is_silent(&table));
    table.merge(&control(2), &[at_address("e", false)]);
    assert!(!is_silent(&table));
}

/// Guards against a former incarnation that keeps the address, since the replica that takes the present
/// one for silent is gone.
#[test]
fn present_incarnation_returns_once_the_replica_that_missed_it_is_lost() {
    let mut table = EndpointTable::default();
    table.merge(&control(0), &[at_address("present", true)]);
    table.merge(&control(1), &[at_address("present", false)]);
    table.merge(&control(1), &[at_address("former", true)]);
    assert_eq!(chosen_name(&table).as_deref(), Some("former"));
    let changed = ["present", "former"].map(EndpointId::with_unknown_incarnation);
    assert_eq!(table.note_control_lost(&control(0)), changed);
    assert_eq!(chosen_name(&table).as_deref(), Some("present"));
}

proptest! {
    /// Guards against a choice that depends on which control replica was heard first.
    #[test]
    fn heard_incarnation_has_the_address_in_any_order_of_reports(
        order in Just((0..9_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let records = [at_address("a", true), at_address("b", false), at_address("c", true)];
        let mut table = EndpointTable::default();
        for number in order {
            table.merge(&control(number / 3), &[records[number % 3].clone()]);
        }
        prop_assert_eq!(chosen_name(&table), Some("b".to_owned()));
    }
}
