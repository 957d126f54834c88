//! Whether `ntex` 3.12 keeps what a relay promises: when a handler learns that its caller has left,
//! and what its client makes of bytes that follow an answer on a kept connection.
//!
//! Run with `cargo run --release -p masticsill_bench --example ntex_traps`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use masticsill_runtime::HttpHost;
use ntex::client::Client;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpResponse};

/// Longest that the handler runs.
const HANDLER: Duration = Duration::from_secs(3);
/// Interval of the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(700);

/// When something ended, in milliseconds since the start; zero before.
type EndedAt = Arc<AtomicU64>;

/// Notes when it is dropped.
struct Guard {
    began: Instant,
    ended_at: EndedAt,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let elapsed_ms = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.ended_at.store(elapsed_ms, Ordering::SeqCst);
    }
}

fn main() {
    report("a handler that waits", "/wait", true);
    report("the same, its caller stays", "/wait", false);
    report("a stream with an event each 0.7 s", "/stream", true);
    println!("client: {}", second_answer());
}

/// Calls a path, leaves after 0.1 s or stays, and prints when the handler ended.
fn report(name: &str, path: &str, leaves: bool) {
    let ended_at = EndedAt::default();
    let shared = Arc::clone(&ended_at);
    let any = "127.0.0.1:0".parse().expect("an address");
    let host = HttpHost::start("traps", any, 1, move |config| {
        config
            .state(Arc::clone(&shared))
            .route("/wait", web::get().to(wait))
            .route("/stream", web::get().to(stream));
    });
    let host = host.expect("loopback can be bound");
    let mut caller = TcpStream::connect(host.address()).expect("the host listens");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    caller
        .write_all(request.as_bytes())
        .expect("the request leaves");
    thread::sleep(Duration::from_millis(100));
    if leaves {
        drop(caller);
        thread::sleep(HANDLER + Duration::from_millis(500));
    } else {
        thread::sleep(HANDLER + Duration::from_millis(500));
        drop(caller);
    }
    println!(
        "{name}: ended {} ms after it began",
        ended_at.load(Ordering::SeqCst)
    );
    let _ = host.stop();
}

fn guard(ended_at: &EndedAt) -> Guard {
    Guard {
        began: Instant::now(),
        ended_at: Arc::clone(ended_at),
    }
}

async fn wait(ended_at: State<EndedAt>) -> HttpResponse {
    let _guard = guard(&ended_at);
    ntex::time::sleep(HANDLER).await;
    HttpResponse::Ok().finish()
}

async fn stream(ended_at: State<EndedAt>) -> HttpResponse {
    let guard = guard(&ended_at);
    let events = futures::stream::unfold(guard, |guard| async move {
        ntex::time::sleep(EVENT_INTERVAL).await;
        let is_over = guard.began.elapsed() > HANDLER;
        let event = Ok::<Bytes, std::io::Error>(Bytes::from_static(b"data: x\n\n"));
        (!is_over).then_some((event, guard))
    });
    HttpResponse::Ok().streaming(Box::pin(events))
}

/// Serves one answer and, unasked, a second; what the client makes of its next request.
fn second_answer() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            thread::spawn(move || answer_twice(connection));
        }
    });
    let system = ntex::rt::System::new("client", ntex::rt::DefaultRuntime);
    system.block_on(ask_twice(address))
}

fn answer_twice(mut connection: TcpStream) {
    let mut request = [0; 4_096];
    while connection.read(&mut request).is_ok_and(|size| size > 0) {
        let own = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
        let foreign = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
        let _ = connection.write_all(own);
        thread::sleep(Duration::from_millis(50));
        let _ = connection.write_all(foreign);
    }
}

async fn ask_twice(address: SocketAddr) -> String {
    let client = Client::builder().build(ntex::SharedCfg::default()).await;
    let client = client.expect("a client needs nothing");
    let mut bodies = Vec::new();
    for _ in 0..2 {
        let answer = client.get(format!("http://{address}/")).send().await;
        let body = match answer {
            Ok(answer) => answer.body().await.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        bodies.push(format!("{body:?}"));
        ntex::time::sleep(Duration::from_millis(200)).await;
    }
    bodies.join(", then ")
}
