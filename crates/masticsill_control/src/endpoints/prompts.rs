//! Follows what the engines of this replica's zone keep of prompts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::log_event;
use masticsill_upstream::{Caller, EndpointCall};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::EndpointHub;
use crate::config::PromptNewsCall;
use crate::events;

/// Longest wait of one call; engines let none wait longer.
const WAIT_MS: u64 = 1_000;
/// Time beyond it in which an answer must come.
const ANSWER_MS: u64 = 500;
/// Time from one call to the next: engines count a call that finds news at once as a probe, so
/// what happens in a second and a half shares one. A caller that comes back later than that finds
/// its prompt.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often new engines are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Engines that are followed.
type Followed = Rc<RefCell<IndexSet<EndpointId>>>;

/// Follows every engine of the zone while it takes requests, until the duty ends.
pub(crate) async fn follow_prompts(endpoints: EndpointHub, call: PromptNewsCall) {
    let followed = Followed::default();
    loop {
        for engine in endpoints.keeping_engines() {
            if followed.borrow_mut().insert(engine.id.clone()) {
                let (endpoints, call) = (endpoints.clone(), call.clone());
                spawn_local(follow(endpoints, call, engine, Rc::clone(&followed)));
            }
        }
        sleep(LOOK_INTERVAL).await;
    }
}

/// Follows one engine until it takes no more requests.
async fn follow(
    endpoints: EndpointHub,
    call: PromptNewsCall,
    engine: Announcement,
    followed: Followed,
) {
    let id = &engine.id;
    let mut caller = Caller::new(engine.address);
    let mut was_heard = None;
    while endpoints.takes_requests(id) {
        let next_call = Instant::now() + INTERVAL;
        let asked = ask(&endpoints, &call, &mut caller, id).await;
        let is_changed = was_heard != Some(asked.is_ok());
        was_heard = Some(asked.is_ok());
        match asked {
            Ok(()) => {
                if is_changed {
                    log_event!(info, events::PROMPTS_FOLLOWED, endpoint = id);
                }
                sleep_until(next_call).await;
            }
            Err(cause) => {
                if is_changed {
                    log_event!(info, events::PROMPTS_LOST, endpoint = id, cause = cause);
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    endpoints.forget_kept(id);
    followed.borrow_mut().swap_remove(id);
}

async fn ask(
    endpoints: &EndpointHub,
    call: &PromptNewsCall,
    caller: &mut Caller,
    id: &EndpointId,
) -> Result<(), String> {
    let target = format!("{}{}", call.path, endpoints.kept_position(id));
    let call_now = EndpointCall {
        body: "",
        fields: &[(&call.wait_field, WAIT_MS)],
        method: "GET",
        target: &target,
    };
    let (status, body) = caller.call(&call_now, WAIT_MS + ANSWER_MS).await?;
    if status != 200 {
        return Err(format!("the engine answered {status}"));
    }
    endpoints.take_kept(id, (call.read)(&body)?);
    Ok(())
}
