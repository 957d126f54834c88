//! Calls of a plain service through its agent.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use assert_matches::assert_matches;
use masticsill_testkit::{FakeService, ServiceSettings};
use masticsill_types::{GenerationId, Incarnation};
use masticsill_wire::agent::{BuryRequest, CallReply, CallRequest};

use support::{TestAgent, TestEntry, context, wait_for};

/// A service that reads the head and the short body of each request and sends these bytes.
fn verbatim_service(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = Vec::new();
            let mut bytes = [0; 4_096];
            while !request.ends_with(b"two pallets") {
                let size = stream.read(&mut bytes).unwrap();
                request.extend_from_slice(&bytes[..size]);
            }
            stream.write_all(answer).unwrap();
        }
    });
    address
}

/// What an agent makes of a service's answer to a call.
fn reply_to_verbatim(answer: &'static [u8]) -> CallReply {
    let agent = TestAgent::for_service(verbatim_service(answer), |_| {});
    let fixture = Fixture {
        entry: TestEntry::connect(&agent),
        agent,
        service: FakeService::start(ServiceSettings::default()).unwrap(),
    };
    let reply = fixture.call(fixture.request(1));
    fixture.agent.stop();
    reply
}

struct Fixture {
    agent: TestAgent,
    entry: TestEntry,
    service: FakeService,
}

impl Fixture {
    fn start() -> Self {
        let service = FakeService::start(ServiceSettings::default()).unwrap();
        let agent = TestAgent::for_service(service.address(), |_| {});
        let entry = TestEntry::connect(&agent);
        Self {
            agent,
            entry,
            service,
        }
    }

    fn request(&self, id: u128) -> CallRequest {
        CallRequest {
            deadline_ms: 20_000,
            body: b"two pallets".to_vec(),
            content_type: "text/plain".to_owned(),
            id: GenerationId(id),
            incarnation: self.agent.mesh.incarnation(),
            is_repeatable: false,
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
        }
    }

    fn call(&self, request: CallRequest) -> CallReply {
        let called = self.entry.client.call(context(), request);
        self.entry.run(called).unwrap()
    }

    fn bury(&self, id: u128, incarnation: Incarnation) -> CallReply {
        let request = BuryRequest {
            id: GenerationId(id),
            incarnation,
        };
        let buried = self.entry.client.bury(context(), request);
        self.entry.run(buried).unwrap()
    }
}

#[test]
fn repeated_call_runs_once_and_gets_the_stored_answer() {
    let fixture = Fixture::start();
    let first = fixture.call(fixture.request(1));
    assert_matches!(&first, CallReply::Answered(answer) if answer.status == 200);
    assert_eq!(fixture.call(fixture.request(1)), first);
    assert_eq!(fixture.bury(1, fixture.agent.mesh.incarnation()), first);
    assert_eq!(fixture.service.stats().sequence, 1);
    fixture.agent.stop();
}

#[test]
fn concurrent_calls_with_one_id_run_once() {
    let fixture = Fixture::start();
    fixture.service.set_delay(200);
    let client = &fixture.entry.client;
    let replies = fixture.entry.run(async {
        let first = client.call(context(), fixture.request(2));
        let second = client.call(context(), fixture.request(2));
        tokio::join!(first, second)
    });
    assert_eq!(replies.0.unwrap(), replies.1.unwrap());
    assert_eq!(fixture.service.stats().sequence, 1);
    fixture.agent.stop();
}

#[test]
fn lost_answer_is_an_unknown_outcome_and_the_call_is_not_sent_again() {
    let fixture = Fixture::start();
    fixture.service.close_after_run(1);
    assert_eq!(fixture.call(fixture.request(3)), CallReply::OutcomeUnknown);
    assert_eq!(fixture.call(fixture.request(3)), CallReply::OutcomeUnknown);
    let incarnation = fixture.agent.mesh.incarnation();
    assert_eq!(fixture.bury(3, incarnation), CallReply::OutcomeUnknown);
    assert_eq!(fixture.service.stats().sequence, 1);
    fixture.agent.stop();
}

#[test]
fn buried_calls_and_calls_for_another_incarnation_are_not_run() {
    let fixture = Fixture::start();
    let incarnation = fixture.agent.mesh.incarnation();
    assert_matches!(fixture.bury(4, incarnation), CallReply::NotRun(_));
    assert_matches!(fixture.call(fixture.request(4)), CallReply::NotRun(_));
    let mut late = fixture.request(5);
    late.incarnation = Incarnation(incarnation.0 - 1);
    assert_matches!(fixture.call(late), CallReply::NotRun(_));
    assert_eq!(
        fixture.bury(5, Incarnation(incarnation.0 - 1)),
        CallReply::OutcomeUnknown
    );
    assert_eq!(fixture.service.stats().sequence, 0);
    fixture.agent.stop();
}

#[test]
fn call_past_its_deadline_continues_and_a_repeat_gets_its_answer() {
    let fixture = Fixture::start();
    fixture.service.set_delay(500);
    let mut short_deadline = fixture.request(6);
    short_deadline.deadline_ms = 1;
    assert_eq!(fixture.call(short_deadline), CallReply::OutcomeUnknown);
    assert_matches!(fixture.call(fixture.request(6)), CallReply::Answered(_));
    assert_eq!(fixture.service.stats().sequence, 1);
    fixture.agent.stop();
}

#[test]
fn call_is_not_run_when_the_service_refuses_connections() {
    let mut fixture = Fixture::start();
    fixture.service = FakeService::start(ServiceSettings::default()).unwrap();
    assert_matches!(fixture.call(fixture.request(7)), CallReply::NotRun(_));
    fixture.agent.stop();
}

#[test]
fn leaving_agent_finishes_pending_calls_and_refuses_new_ones() {
    let fixture = Fixture::start();
    fixture.service.set_delay(300);
    let other = TestEntry::connect(&fixture.agent);
    let request = fixture.request(8);
    let running = thread::spawn(move || other.run(other.client.call(context(), request)));
    wait_for("the call runs", || fixture.service.stats().sequence == 1);
    fixture.agent.handle.leave();
    // A new id each time: a call taken before the agent began to leave keeps its answer.
    let mut ids = 9..;
    wait_for("new calls are refused", || {
        let id = ids.next().unwrap();
        matches!(fixture.call(fixture.request(id)), CallReply::NotRun(_))
    });
    let reply = running.join().unwrap();
    assert_matches!(reply.unwrap(), CallReply::Answered(_));
    wait_for("the agent is drained", || fixture.agent.handle.is_drained());
    fixture.agent.stop();
}

#[test]
fn invalid_answers_are_unknown_outcomes() {
    for answer in [
        "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 101 OK\r\nUpgrade: x\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\nX: z\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        // Cut off within the head.
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
    ] {
        let reply = reply_to_verbatim(answer.as_bytes());
        assert_eq!(reply, CallReply::OutcomeUnknown, "{answer:?}");
    }
}

#[test]
fn whole_answers_of_any_framing_are_returned() {
    for answer in [
        "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 201 Created\r\n\r\nwhole",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nwhole",
    ] {
        let reply = reply_to_verbatim(answer.as_bytes());
        assert_matches!(
            reply,
            CallReply::Answered(it) if it.status == 201 && it.body == b"whole",
            "{answer:?}"
        );
    }
}
