//! Computes the network traffic of the catalogue relay per node, from messages encoded as on the
//! wire.
//!
//! Printed are the size of the messages with their `tarpc` envelope, and for several member counts
//! the bytes per second of a node and of a control replica. Up to the member count from which nodes
//! form a tree, each control replica answers its share of all nodes. Beyond it, the number of hops
//! to the quorum and the maximum age of a proof are printed too.

use masticsill_mesh::RenewalPeriods;
use masticsill_types::CatalogueVersion;
use masticsill_wire::control::{RenewReply, RenewRequest};
use masticsill_wire::node::{NodeServiceRequest, NodeServiceResponse};
use serde::Serialize;
use tarpc::{ClientMessage, Request, Response, context};

const CONTROL_REPLICAS: u64 = 7;
const TREE_FANOUT: u64 = 4;
const MAX_DIRECT_MEMBERS_PER_CONTROL_REPLICA: u64 = 24;
const LENGTH_PREFIX_BYTES: u64 = 4;
/// IP and TCP headers of the three segments of a call on an established connection.
const CALL_HEADER_BYTES: u64 = 3 * 52;

fn size(message: &impl Serialize) -> u64 {
    let bytes = postcard::to_stdvec(message).expect("wire messages can be encoded");
    bytes.len() as u64 + LENGTH_PREFIX_BYTES
}

fn call_bytes() -> u64 {
    let request = ClientMessage::Request(Request {
        context: context::current(),
        id: 100_000,
        message: NodeServiceRequest::Renew {
            request: RenewRequest {
                have: CatalogueVersion(100_000),
            },
        },
    });
    let reply = Response {
        request_id: 100_000,
        message: Ok(NodeServiceResponse::Renew(RenewReply {
            age_ms: Some(1_000),
            update: None,
            version: CatalogueVersion(100_000),
        })),
    };
    let (request, reply) = (size(&request), size(&reply));
    println!("renew: {request} B asked and {reply} B answered, {CALL_HEADER_BYTES} B of headers");
    request + reply + CALL_HEADER_BYTES
}

fn main() {
    let call = call_bytes();
    let periods = RenewalPeriods::default();
    for members in [60_u64, 150, 350, 700, 2_150] {
        if members <= CONTROL_REPLICAS * MAX_DIRECT_MEMBERS_PER_CONTROL_REPLICA {
            let own = call * 1_000 / periods.renew_ms;
            let control = own * members / CONTROL_REPLICAS;
            println!("{members:5} members: node {own} B/s, control replica {control} B/s");
            continue;
        }
        let mut hops = 1;
        let mut reached = CONTROL_REPLICAS * TREE_FANOUT;
        let mut level = reached;
        while reached < members - CONTROL_REPLICAS {
            level *= TREE_FANOUT;
            reached += level;
            hops += 1;
        }
        let own = call * (1 + TREE_FANOUT) * 1_000 / periods.tree_renew_ms;
        let control = call * TREE_FANOUT * 1_000 / periods.tree_renew_ms;
        let age_ms = hops * periods.tree_renew_ms;
        println!(
            "{members:5} members: node {own} B/s, control replica {control} B/s, \
             {hops} steps, proofs at most {age_ms} ms old and half of that on average"
        );
    }
}
