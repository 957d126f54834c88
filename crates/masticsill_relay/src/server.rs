//! Accepts callers, and shuts down without cutting their requests.

use std::net;
use std::rc::Rc;
use std::time::Duration;

use masticsill_types::log_event;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::connection::serve_connection;
use crate::events;
use crate::lateness::watch_lateness;
use crate::relay::Relay;

/// Pause after a failed accept, which prevents a busy loop while file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long new connections are accepted after a shutdown began: a load balancer that checks
/// readiness once a second routes elsewhere after two answers.
const ACCEPT_AFTER_SHUTDOWN: Duration = Duration::from_millis(2_500);
/// Part of the grace period reserved for the exit of the process, which takes 6 ms after the last
/// request on a fifth of a core.
pub(crate) const SHUTDOWN_MARGIN: Duration = Duration::from_millis(450);
/// Time reserved for writing the refusals of requests that have no response shortly before the end.
const FINAL_REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Interval at which the end of the last request is checked for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which idle connections are closed, crashes judged and gauges updated.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Serves callers until a graceful shutdown is complete.
pub(crate) async fn serve(relay: Rc<Relay>, listener: net::TcpListener) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log_event!(error, events::ACCEPT_FAILED, cause = error);
            return;
        }
    };
    spawn_local(run_housekeeping(Rc::clone(&relay)));
    spawn_local(watch_lateness(Rc::clone(&relay)));
    tokio::select! {
        () = accept(&relay, &listener) => {}
        () = relay.stopping.requested() => {}
    }
    let grace = Duration::from_millis(relay.config.grace_ms);
    let serving_time = grace.saturating_sub(SHUTDOWN_MARGIN + FINAL_REFUSAL_TIME);
    relay.begin_stop(serving_time);
    log_event!(
        info,
        events::RELAY_STOPPING,
        active = relay.active.get(),
        queued = relay.dispatcher.borrow().waiting()
    );
    let began = Instant::now();
    let refusing = Rc::clone(&relay);
    spawn_local(async move {
        sleep(serving_time).await;
        refusing.ending.request();
    });
    let accept_deadline = sleep_until(began + ACCEPT_AFTER_SHUTDOWN);
    tokio::select! {
        () = accept(&relay, &listener) => {}
        () = accept_deadline => {}
    }
    drop(listener);
    let end_by = began + grace.saturating_sub(SHUTDOWN_MARGIN);
    while relay.active.get() > 0 && Instant::now() < end_by {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    log_event!(
        info,
        events::RELAY_STOPPED,
        cut = relay.active.get(),
        queued = relay.dispatcher.borrow().waiting()
    );
}

async fn accept(relay: &Rc<Relay>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(Rc::clone(relay), stream));
            }
            Err(error) => {
                log_event!(warn, events::ACCEPT_FAILED, cause = error);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn run_housekeeping(relay: Rc<Relay>) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        relay.pool.borrow_mut().close_idle(relay.now());
        relay.judge_crashes();
        relay.log_rollout_leases();
        relay.update_gauges();
    }
}
