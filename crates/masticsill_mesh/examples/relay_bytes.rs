//! Works out what the catalogue relay costs a node, from messages encoded as on the wire.
//!
//! Printed: the measured size of the messages with their `tarpc` envelope, the bytes a second of
//! a node that asks a control replica, of a control replica that answers its part of all nodes,
//! and of a node in the tree; then the steps to the quorum and the age that a proof has at most.

use masticsill_mesh::RenewalPeriods;
use masticsill_types::CatalogueVersion;
use masticsill_wire::control::{RenewReply, RenewRequest};
use masticsill_wire::node::{NodeServiceRequest, NodeServiceResponse};
use serde::Serialize;
use tarpc::{ClientMessage, Request, Response, context};

const CONTROLS: u64 = 7;
const FANOUT: u64 = 4;
const DIRECT_MEMBERS: u64 = 24;
const LENGTH_PREFIX_BYTES: u64 = 4;
/// IP and TCP headers of the three segments of a call on a connection that stays.
const SEGMENTS_BYTES: u64 = 3 * 52;

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
    println!("renew: {request} B asked and {reply} B answered, {SEGMENTS_BYTES} B of headers");
    request + reply + SEGMENTS_BYTES
}

fn main() {
    let call = call_bytes();
    let periods = RenewalPeriods::default();
    for members in [60_u64, 150, 350, 700, 2_150] {
        if members <= CONTROLS * DIRECT_MEMBERS {
            let own = call * 1_000 / periods.renew_ms;
            let control = own * members / CONTROLS;
            println!("{members:5} members: node {own} B/s, control replica {control} B/s");
            continue;
        }
        let mut steps = 1;
        let mut reached = CONTROLS * FANOUT;
        let mut level = reached;
        while reached < members - CONTROLS {
            level *= FANOUT;
            reached += level;
            steps += 1;
        }
        let own = call * (1 + FANOUT) * 1_000 / periods.tree_renew_ms;
        let control = call * FANOUT * 1_000 / periods.tree_renew_ms;
        let age_ms = steps * periods.tree_renew_ms;
        println!(
            "{members:5} members: node {own} B/s, control replica {control} B/s, \
             {steps} steps, proofs at most {age_ms} ms old and half of that on average"
        );
    }
}
