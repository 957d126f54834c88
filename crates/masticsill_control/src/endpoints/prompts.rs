//! Tracks the prompt caches of the engines in this replica's zone.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use indexmap::IndexSet;
use masticsill_registry::{Announcement, CacheUpdate, EndpointId};
use masticsill_types::log_event;
use masticsill_upstream::{BufferBudget, EndpointCall, EndpointClient};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::EndpointHub;
use crate::config::PromptCacheFeed;
use crate::events;

/// Longest wait of one call for updates, in milliseconds; engines hold no call for longer.
const LONG_POLL_MS: u64 = 1_000;
/// Time added to the wait before the call counts as failed, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 500;
/// Time from one call to the next. Engines count a call that finds updates at once as a probe, so
/// all updates of a second and a half share one call. A client that returns later than that finds
/// its prompt in the index.
const POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Shortest time between two lists, in milliseconds: producing a list delays the engine's work.
const LIST_INTERVAL_MS: u64 = 10_000;
/// Pause after a failed call, doubled at each further failure: refusing a call costs the engine as
/// much as answering it, and an engine that doesn't support such calls always refuses them.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);
/// How often the registry is checked for new engines.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// Memory for the responses of all engines while they are read.
const BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// The engines that are being followed.
type Followed = Rc<RefCell<IndexSet<EndpointId>>>;

/// Follows the prompt cache of every engine of the zone while the engine takes requests; never
/// returns.
pub(crate) async fn follow_prompts(endpoints: EndpointHub, feed: PromptCacheFeed) {
    let followed = Followed::default();
    let buffers = BufferBudget::new(BUFFER_BYTES);
    loop {
        for engine in endpoints.prompt_caching_engines() {
            if followed.borrow_mut().insert(engine.id.clone()) {
                let client = EndpointClient::new(engine.address, buffers.clone());
                let (endpoints, feed) = (endpoints.clone(), feed.clone());
                spawn_local(follow(
                    endpoints,
                    feed,
                    engine,
                    client,
                    Rc::clone(&followed),
                ));
            }
        }
        sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Follows one engine until it takes no more requests.
async fn follow(
    endpoints: EndpointHub,
    feed: PromptCacheFeed,
    engine: Announcement,
    client: EndpointClient,
    followed: Followed,
) {
    let id = &engine.id;
    let mut reader = PromptCacheReader {
        feed,
        client,
        endpoints: endpoints.clone(),
        engine: id.clone(),
        listed_at: None,
    };
    let mut was_successful = None;
    let mut pause = RETRY_PAUSE;
    while endpoints.takes_requests(id) {
        let next_call = Instant::now() + POLL_INTERVAL;
        let result = reader.poll().await;
        let is_changed = was_successful != Some(result.is_ok());
        was_successful = Some(result.is_ok());
        match result {
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
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
    endpoints.forget_prompt_cache(id);
    followed.borrow_mut().swap_remove(id);
}

/// Reads the prompt cache of one engine.
struct PromptCacheReader {
    feed: PromptCacheFeed,
    client: EndpointClient,
    endpoints: EndpointHub,
    engine: EndpointId,
    listed_at: Option<Instant>,
}

impl PromptCacheReader {
    /// Requests updates once, and the full list if updates are missing: a replica that has just
    /// started finds only the latest updates.
    async fn poll(&mut self) -> Result<(), String> {
        let position = self.endpoints.prompt_cache_position(&self.engine);
        let target = format!("{}{position}", self.feed.updates_path);
        let parse = self.feed.parse_update;
        let update = parse(&self.get(&target).await?)?;
        let update = self.check_incarnation(update)?;
        let is_gap = update.is_gap;
        self.endpoints
            .apply_prompt_cache_update(&self.engine, update);
        let is_due = |at: Instant| at.elapsed() >= Duration::from_millis(LIST_INTERVAL_MS);
        if is_gap && self.listed_at.is_none_or(is_due) {
            self.listed_at = Some(Instant::now());
            let target = self.feed.list_path.clone();
            let parse = self.feed.parse_list;
            let list = parse(&self.get(&target).await?)?;
            let list = self.check_incarnation(list)?;
            self.endpoints.replace_prompt_cache(&self.engine, list);
        }
        Ok(())
    }

    /// Checks that an update comes from the followed incarnation of the engine: another incarnation
    /// may answer at the same address, with a different cache. Counts unreadable entries.
    fn check_incarnation(&mut self, update: CacheUpdate) -> Result<CacheUpdate, String> {
        if !update.may_be_from(&self.engine) {
            return Err(format!(
                "incarnation {} of the engine answered, which is not the one that is followed",
                update.incarnation
            ));
        }
        if update.unreadable > 0 {
            self.endpoints
                .record_unreadable_updates(&self.engine, update.unreadable);
        }
        Ok(update)
    }

    async fn get(&mut self, target: &str) -> Result<BytesMut, String> {
        let call = EndpointCall {
            body: "",
            fields: &[(&self.feed.wait_header, LONG_POLL_MS)],
            method: "GET",
            target,
        };
        match self
            .client
            .call(&call, LONG_POLL_MS + ANSWER_MARGIN_MS)
            .await?
        {
            (200, body) => Ok(body),
            (status, _) => Err(format!("the engine answered {status}")),
        }
    }
}
