//! Refuses requests for catalogue entries that do not exist.

use masticsill_catalogue::CatalogueEntry;
use masticsill_types::{EntryId, Refusal, RefusalKind};

use crate::http::Gateway;

/// Returns the current version of a catalogue entry.
pub(crate) fn find(gateway: &Gateway, id: &EntryId) -> Result<CatalogueEntry, Refusal> {
    let view = gateway.catalogue();
    let Some(versioned) = view.catalogue().get(id) else {
        let detail = format!("the catalogue has no entry `{id}`");
        return Err(Refusal::not_run(RefusalKind::UnknownModel, detail));
    };
    Ok(versioned.entry.clone())
}
