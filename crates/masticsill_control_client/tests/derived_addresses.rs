//! Addresses of replicas that are derived from their names.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_control_client::AddressBook;
use masticsill_types::NodeId;

fn node(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Guards against derived addresses that hide those which are known.
#[test]
fn derived_address_is_the_last_resort() {
    let configured = IndexMap::from([(node("10.0.0.1"), address("10.0.0.9:7"))]);
    let book = AddressBook::from_settings(configured);
    assert_eq!(book.get(&node("10.0.0.2")), None);
    book.derive_from_ip_names(5);
    assert_eq!(book.get(&node("10.0.0.1")), Some(address("10.0.0.9:7")));
    assert_eq!(book.get(&node("10.0.0.2")), Some(address("10.0.0.2:5")));
    assert_eq!(book.get(&node("control-2")), None);
    book.record_announced(node("10.0.0.2"), address("10.0.0.2:6"));
    assert_eq!(book.get(&node("10.0.0.2")), Some(address("10.0.0.2:6")));
}
