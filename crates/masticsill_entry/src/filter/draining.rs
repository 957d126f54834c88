//! Refuses new work once the balancer's grace period is over.

use masticsill_types::{Refusal, RefusalKind};

use crate::http::Gateway;

const RETRY_AFTER_MS: u64 = 500;

/// Refuses new work once the entry accepts no more requests.
pub(crate) fn check(gateway: &Gateway) -> Result<(), Refusal> {
    if gateway.readiness.is_accepting() {
        return Ok(());
    }
    let refusal = Refusal::not_run(RefusalKind::ShuttingDown, "this entry is shutting down");
    Err(refusal.retry_after(RETRY_AFTER_MS))
}
