//! The loads that watchers report, and which watchers must learn of a change.

use masticsill_registry::{
    EndpointId, EndpointLoad, LimitStatement, LoadsChange, RequestRate, Watcher, WatcherTable,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};

const NOW: ClockMs = ClockMs(10_000);

fn entry(name: &str) -> Watcher {
    Watcher::Entry {
        node: NodeId::new(name).unwrap(),
        zone: ZoneId::new("a").unwrap(),
    }
}

fn load(in_flight: u32, reading: u32) -> EndpointLoad {
    EndpointLoad {
        id: EndpointId::with_unknown_incarnation("e"),
        in_flight,
        reading,
        held_tokens: 0,
        is_failing: false,
        is_leaving: false,
        stated: None,
    }
}

fn table() -> WatcherTable {
    let mut table = WatcherTable::default();
    table.record_poll(NOW, &entry("one"), 1, &[]);
    table.record_poll(NOW, &entry("two"), 1, &[]);
    table
}

#[test]
fn changed_load_is_reported_to_other_watchers_only() {
    let mut table = table();
    let before = table.loads_revision();
    assert_eq!(
        table.take_loads(NOW, &entry("one"), &[load(1, 1)]),
        LoadsChange::Changed
    );
    assert!(table.have_other_loads_changed(&entry("two"), before));
    assert!(!table.have_other_loads_changed(&entry("one"), before));
    assert!(!table.have_other_loads_changed(&entry("two"), table.loads_revision()));
    assert_eq!(table.loads_of_others(NOW, &entry("two")), [load(1, 1)]);
    assert!(table.loads_of_others(NOW, &entry("one")).is_empty());
}

#[test]
fn repeated_loads_are_no_change() {
    let mut table = table();
    table.take_loads(NOW, &entry("one"), &[load(1, 1)]);
    let again = table.take_loads(NOW, &entry("one"), &[load(1, 1)]);
    assert_eq!(again, LoadsChange::None);
    let polled = table.record_poll(NOW, &entry("one"), 2, &[load(1, 1)]);
    assert_eq!(polled, LoadsChange::None);
}

#[test]
fn loads_of_several_watchers_are_added_up() {
    let mut table = table();
    table.record_poll(NOW, &entry("three"), 1, &[load(2, 0)]);
    table.take_loads(NOW, &entry("one"), &[load(3, 1)]);
    assert_eq!(table.loads_of_others(NOW, &entry("two")), [load(5, 1)]);
}

#[test]
fn a_watcher_that_is_gone_has_no_loads() {
    let mut table = table();
    table.take_loads(NOW, &entry("one"), &[load(1, 0)]);
    let later = NOW + 10_000;
    table.record_poll(later, &entry("two"), 1, &[]);
    assert!(table.loads_of_others(later, &entry("two")).is_empty());
    assert_eq!(table.entries(&entry("two")).0, 1);
    // Its loads count again only with its next poll.
    assert_eq!(
        table.take_loads(NOW, &entry("one"), &[load(1, 0)]),
        LoadsChange::None
    );
    let back = table.record_poll(later, &entry("one"), 1, &[load(1, 0)]);
    assert_eq!(back, LoadsChange::Changed);
}

#[test]
fn revision_is_acknowledged_once_every_polling_watcher_has_it() {
    let mut table = table();
    table.record_poll(NOW, &entry("one"), 7, &[]);
    assert!(!table.is_acknowledged_by_all(NOW, 7));
    table.record_poll(NOW, &entry("two"), 7, &[]);
    assert!(table.is_acknowledged_by_all(NOW, 7));
    // A watcher that is gone is not waited for.
    table.record_poll(NOW + 2_400, &entry("one"), 8, &[]);
    assert!(!table.is_acknowledged_by_all(NOW + 2_400, 8));
    assert!(table.is_acknowledged_by_all(NOW + 2_600, 8));
}

fn stating(age_ms: u64, per_s: Option<&str>) -> EndpointLoad {
    let rate = per_s.and_then(RequestRate::parse_per_s);
    EndpointLoad {
        stated: Some(LimitStatement { age_ms, rate }),
        ..load(0, 0)
    }
}

#[test]
fn newest_stated_limit_reaches_all_watchers() {
    let mut table = table();
    let limited = table.take_loads(NOW, &entry("one"), &[stating(0, Some("2.4"))]);
    assert_eq!(limited, LoadsChange::Changed);
    // What the other one was told before is older.
    let older = table.take_loads(NOW + 50, &entry("two"), &[stating(200, None)]);
    assert_eq!(older, LoadsChange::Changed);
    for watcher in ["one", "two"] {
        let loads = table.loads_of_others(NOW + 50, &entry(watcher));
        assert_eq!(loads, [stating(50, Some("2.4"))]);
    }
    table.take_loads(NOW + 100, &entry("two"), &[stating(0, None)]);
    let loads = table.loads_of_others(NOW + 100, &entry("one"));
    assert_eq!(loads, [stating(0, None)]);
}

#[test]
fn repeated_statement_is_no_change() {
    let mut table = table();
    table.take_loads(NOW, &entry("one"), &[stating(0, Some("2.4"))]);
    let again = table.take_loads(NOW + 40, &entry("one"), &[stating(0, Some("2.4"))]);
    assert_eq!(again, LoadsChange::None);
    let loads = table.loads_of_others(NOW + 40, &entry("two"));
    assert_eq!(loads, [stating(0, Some("2.4"))]);
}

#[test]
fn negative_and_unreadable_rates_are_no_rates() {
    for text in ["", "-1", "nan", "inf", "many"] {
        assert_eq!(RequestRate::parse_per_s(text), None, "{text}");
    }
    let rate = RequestRate { per_1000_s: 2_400 };
    assert_eq!(RequestRate::parse_per_s(" 2.4 "), Some(rate));
}

#[test]
fn permits_stay_below_the_stated_limit() {
    let mut table = table();
    let ids = [EndpointId::with_unknown_incarnation("e")];
    assert_eq!(table.grant_request(NOW, &ids), None);
    table.take_loads(NOW, &entry("one"), &[stating(0, Some("2.4"))]);
    let asked = (0..1_000).map(|step| NOW + step * 10);
    let granted = asked.filter_map(|now| table.grant_request(now, &ids));
    // Less than half of the limit in ten seconds.
    assert_eq!(granted.count(), 11);
    table.take_loads(NOW + 10_000, &entry("one"), &[stating(0, None)]);
    assert_eq!(table.grant_request(NOW + 20_000, &ids), None);
}
