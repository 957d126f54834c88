//! The administration API over HTTP.

mod common;

use std::net::SocketAddr;

use common::{Cluster, await_until, entry_json, node};
use ntex::client::Client;
use ntex::http::Method;
use serde_json::{Value, json};

/// Sends one call; returns the status and the body.
async fn call(client: &Client, addresses: Addresses, request: Request) -> (u16, Value) {
    let Request(number, token, method, path, body) = request;
    let url = format!("http://{}{path}", addresses[number - 1]);
    let sent = client.request(method, url).bearer_auth(token);
    let response = if body.is_null() {
        sent.send().await
    } else {
        sent.send_json(&body).await
    };
    let response = response.unwrap();
    let status = response.status().as_u16();
    let body = response.body().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Number of the replica, token, method, path and body.
struct Request(usize, &'static str, Method, &'static str, Value);

type Addresses = [SocketAddr; 3];

fn addresses(cluster: &Cluster) -> Addresses {
    [1, 2, 3].map(|number| cluster.http_address(number))
}

fn put_of(change_id: &str, owner: &str, expected_version: u64) -> Value {
    let entry = entry_json("shop/orders", owner);
    json!({ "change_id": change_id, "entry": entry, "expected_version": expected_version })
}

fn delete_of(change_id: &str, expected_version: u64) -> Value {
    json!({ "change_id": change_id, "expected_version": expected_version })
}

fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    system.block_on(future)
}

/// Calls in order, each with the expected status and an expected part of the body.
fn operator_calls() -> Vec<(Request, u16, &'static str)> {
    const ENTRY: &str = "/v1/catalogue/shop/orders";
    const OWN: &str = "fliesenwerk";
    let invalid = json!({
        "change_id": "x", "entry": entry_json("a b", OWN), "expected_version": 0
    });
    let unknown_field = json!({ "change_id": "x", "expected_version": 0, "force": true });
    vec![
        (
            Request(1, "none", Method::GET, "/v1/catalogue", Value::Null),
            401,
            "unauthorized",
        ),
        (
            Request(1, "one", Method::PUT, ENTRY, put_of("c1", "kwaet-thang", 0)),
            403,
            "forbidden",
        ),
        (
            Request(1, "one", Method::PUT, ENTRY, put_of("c2", OWN, 0)),
            200,
            "\"version\":1",
        ),
        (
            Request(2, "one", Method::PUT, ENTRY, put_of("c2", OWN, 0)),
            200,
            "\"version\":1",
        ),
        (
            Request(3, "all", Method::PUT, ENTRY, put_of("c3", OWN, 0)),
            409,
            "\"in_force\":1",
        ),
        (
            Request(3, "one", Method::PUT, ENTRY, put_of("c2", OWN, 1)),
            409,
            "change_id_reused",
        ),
        (
            Request(2, "all", Method::PUT, ENTRY, invalid),
            422,
            "\"field\":\"id\"",
        ),
        (
            Request(2, "all", Method::DELETE, ENTRY, unknown_field),
            400,
            "force",
        ),
        (
            Request(3, "all", Method::GET, ENTRY, Value::Null),
            200,
            "planner",
        ),
        (
            Request(1, "all", Method::GET, "/v1/catalogue", Value::Null),
            200,
            "shop/orders",
        ),
        (
            Request(1, "all", Method::GET, "/v1/catalogue?wait=1", Value::Null),
            400,
            "wait_ms",
        ),
        (
            Request(2, "one", Method::DELETE, ENTRY, delete_of("c4", 1)),
            200,
            "\"version\":2",
        ),
        (
            Request(1, "all", Method::GET, ENTRY, Value::Null),
            404,
            "unknown_entry",
        ),
        (
            Request(2, "one", Method::POST, "/v1/replicas", json!({})),
            403,
            "forbidden",
        ),
        (
            Request(3, "one", Method::GET, "/v1/replicas", Value::Null),
            200,
            "\"standing\":\"voter\"",
        ),
        (
            Request(
                1,
                "one",
                Method::GET,
                "/v1/audit?after=1&limit=2",
                Value::Null,
            ),
            200,
            "c3",
        ),
    ]
}

#[test]
fn every_replica_serves_operators_and_explains_refusals() {
    let cluster = Cluster::start(3);
    let addresses = addresses(&cluster);
    block_on(async move {
        let client = Client::new().await;
        for (number, (request, status, shown)) in operator_calls().into_iter().enumerate() {
            let (found, body) = call(&client, addresses, request).await;
            let body = body.to_string();
            assert_eq!(found, status, "case {number}: {body}");
            assert!(body.contains(shown), "case {number}: {body}");
        }
    });
}

#[test]
fn a_catalogue_watch_returns_the_change_that_ended_its_wait() {
    let cluster = Cluster::start(3);
    let addresses = addresses(&cluster);
    block_on(async move {
        let client = Client::new().await;
        let watch = Request(
            1,
            "all",
            Method::GET,
            "/v1/catalogue?watch=0&wait_ms=20000",
            Value::Null,
        );
        let put = put_of("c1", "fliesenwerk", 0);
        let change = Request(2, "all", Method::PUT, "/v1/catalogue/shop/orders", put);
        let watched = call(&client, addresses, watch);
        let changed = call(&client, addresses, change);
        let ((_, update), (status, _)) = futures::future::join(watched, changed).await;
        assert_eq!(status, 200);
        assert_eq!(update["version"], 1);
        assert_eq!(update["entries"][0]["entry"]["id"], "shop/orders");
    });
}

#[test]
fn readiness_tells_whether_a_leader_is_known() {
    let mut cluster = Cluster::start(3);
    let addresses = addresses(&cluster);
    let ready = || {
        block_on(async move {
            let client = Client::new().await;
            let request = Request(1, "", Method::GET, "/readyz", Value::Null);
            call(&client, addresses, request).await.0
        })
    };
    await_until("readiness", || ready() == 200);
    cluster.abort(&node(2));
    cluster.abort(&node(3));
    await_until("the loss of readiness", || ready() == 503);
}
