//! Follows what the engines of this replica's zone keep of prompts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use indexmap::IndexSet;
use masticsill_registry::{Announcement, CacheUpdate, EndpointId};
use masticsill_types::log_event;
use masticsill_upstream::{EndpointCall, EndpointClient};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::EndpointHub;
use crate::config::PromptCacheFeed;
use crate::events;

/// Longest wait of one call; engines let none wait longer.
const WAIT_MS: u64 = 1_000;
/// Time beyond it in which an answer must come.
const ANSWER_MS: u64 = 500;
/// Time from one call to the next: engines count a call that finds news at once as a probe, so
/// what happens in a second and a half shares one. A caller that comes back later than that finds
/// its prompt.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Time from one list to the next: a list delays the engine's work.
const LIST_INTERVAL_MS: u64 = 10_000;
/// Pause after a call that failed, doubled at each further failure: a refusal costs as much as an
/// answer, and an engine that has no such news never answers otherwise.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// How often new engines are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Engines that are followed.
type Followed = Rc<RefCell<IndexSet<EndpointId>>>;

/// Follows every engine of the zone while it takes requests, until the duty ends.
pub(crate) async fn follow_prompts(endpoints: EndpointHub, call: PromptCacheFeed) {
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
    call: PromptCacheFeed,
    engine: Announcement,
    followed: Followed,
) {
    let id = &engine.id;
    let mut news = EngineNews {
        call,
        client: EndpointClient::new(engine.address),
        endpoints: endpoints.clone(),
        engine: id.clone(),
        listed_at: None,
    };
    let mut was_heard = None;
    let mut pause = RETRY_PAUSE;
    while endpoints.takes_requests(id) {
        let next_call = Instant::now() + INTERVAL;
        let asked = news.ask().await;
        let is_changed = was_heard != Some(asked.is_ok());
        was_heard = Some(asked.is_ok());
        match asked {
            Ok(()) => {
                if is_changed {
                    log_event!(info, events::PROMPTS_FOLLOWED, endpoint = id);
                }
                pause = RETRY_PAUSE;
                sleep_until(next_call).await;
            }
            Err(cause) => {
                if is_changed {
                    log_event!(info, events::PROMPTS_LOST, endpoint = id, cause = cause);
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
    endpoints.forget_kept(id);
    followed.borrow_mut().swap_remove(id);
}

/// What is asked of one engine.
struct EngineNews {
    call: PromptCacheFeed,
    client: EndpointClient,
    endpoints: EndpointHub,
    engine: EndpointId,
    listed_at: Option<Instant>,
}

impl EngineNews {
    /// Asks for news once, and for the whole list where news are lost: a replica that has just
    /// started finds the newest ones only.
    async fn ask(&mut self) -> Result<(), String> {
        let position = self.endpoints.kept_position(&self.engine);
        let target = format!("{}{position}", self.call.updates_path);
        let read = self.call.parse_update;
        let news = read(&self.get(&target).await?)?;
        let news = self.own(news)?;
        let is_gap = news.is_gap;
        self.endpoints.take_kept(&self.engine, news);
        let is_due = |at: Instant| at.elapsed() >= Duration::from_millis(LIST_INTERVAL_MS);
        if is_gap && self.listed_at.is_none_or(is_due) {
            self.listed_at = Some(Instant::now());
            let target = self.call.list_path.clone();
            let read = self.call.parse_list;
            let list = read(&self.get(&target).await?)?;
            let list = self.own(list)?;
            self.endpoints.take_all_kept(&self.engine, list);
        }
        Ok(())
    }

    /// News of the engine that is followed: at its address, another life of it may answer, which
    /// keeps nothing of what this one did.
    fn own(&mut self, news: CacheUpdate) -> Result<CacheUpdate, String> {
        if !news.may_be_from(&self.engine) {
            return Err(format!("the engine's life {} answers", news.incarnation));
        }
        if news.unreadable > 0 {
            self.endpoints
                .note_unreadable_news(&self.engine, news.unreadable);
        }
        Ok(news)
    }

    async fn get(&mut self, target: &str) -> Result<BytesMut, String> {
        let call = EndpointCall {
            body: "",
            fields: &[(&self.call.wait_header, WAIT_MS)],
            method: "GET",
            target,
        };
        match self.client.call(&call, WAIT_MS + ANSWER_MS).await? {
            (200, body) => Ok(body),
            (status, _) => Err(format!("the engine answered {status}")),
        }
    }
}
