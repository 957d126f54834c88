//! Calls to other nodes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticsill_membership::{Reply, Request};
use masticsill_runtime::{call_context, connect_transport};
use masticsill_wire::ServiceKind;
use masticsill_wire::node::{NodeServiceClient, ProbeViaRequest};
use tarpc::client::{Config, RpcError};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Connects to a node. The connection is closed when the last clone of the client is dropped.
pub(crate) async fn connect(address: SocketAddr, timeout_ms: u64) -> io::Result<NodeServiceClient> {
    let transport = connect_transport(address, ServiceKind::Node, timeout_ms).await?;
    let new = NodeServiceClient::new(Config::default(), transport);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    Ok(new.client)
}

/// Sends a membership request to a node on a new connection. Returns `None` on failure or timeout.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request,
    timeout_ms: u64,
) -> Option<Reply> {
    let call = async {
        let client = connect(address, timeout_ms).await.ok()?;
        client
            .exchange(call_context(timeout_ms), request)
            .await
            .ok()
    };
    with_timeout(timeout_ms, call).await
}

/// Asks a helper to probe a target. Returns whether the helper reached the target, or `None` if the
/// helper did not answer in time.
pub(crate) async fn probe_via(
    helper: SocketAddr,
    request: ProbeViaRequest,
    timeout_ms: u64,
) -> Option<bool> {
    let call = async {
        let client = connect(helper, timeout_ms).await.ok()?;
        let answer: Result<bool, RpcError> =
            client.probe_via(call_context(timeout_ms), request).await;
        answer.ok()
    };
    with_timeout(timeout_ms, call).await
}

async fn with_timeout<T>(timeout_ms: u64, call: impl Future<Output = Option<T>>) -> Option<T> {
    timeout(Duration::from_millis(timeout_ms), call)
        .await
        .ok()
        .flatten()
}
