//! Calls of a process whose control replica has stopped.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{Cluster, block_on, node};
use masticsill_control::ControlUnavailable;
use tokio::time::timeout;

/// Guards against calls that wait for a stopped replica, and hold up the end of its process.
#[test]
fn call_after_the_stop_is_answered_at_once() {
    let mut cluster = Cluster::start(1);
    let handle = cluster.handle(&node(1));
    assert_eq!(block_on(handle.read_document()), Ok(None));
    cluster.stop(&node(1));
    let answer = block_on(async {
        let call = handle.read_document();
        timeout(Duration::from_secs(2), call).await
    });
    assert_matches!(answer, Ok(Err(ControlUnavailable { .. })));
}
