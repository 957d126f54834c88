//! Refuses new work without a current catalogue.

use masticsill_types::{Refusal, RefusalKind};

use crate::http::Gateway;

const RETRY_AFTER_MS: u64 = 1_000;

/// Refuses new work while the node's copy of the catalogue is not proven current.
pub(crate) fn check(gateway: &Gateway) -> Result<(), Refusal> {
    if gateway.catalogue().is_fresh(gateway.now()) {
        return Ok(());
    }
    let refusal = Refusal::not_run(
        RefusalKind::CatalogueStale,
        "this entry has no proof that its catalogue is current",
    );
    Err(refusal.retry_after(RETRY_AFTER_MS))
}
