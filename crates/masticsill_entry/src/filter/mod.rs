//! The filters that every request must pass before it is admitted.

mod catalogue_lease;
mod draining;
mod known_entry;

use masticsill_catalogue::{BackEnd, CatalogueEntry};
use masticsill_types::{
    Class, EntryId, GenerationId, GenerationSpec, ModelId, ModelTarget, Refusal, RefusalKind,
    WorkspaceId,
};

use crate::http::Gateway;
use crate::request::GenerationRequest;

/// A filter for new work.
#[derive(Clone, Copy, Debug)]
enum Filter {
    CatalogueLease,
    Draining,
}

/// The filters in the order in which they are applied.
const FILTERS: [Filter; 2] = [Filter::Draining, Filter::CatalogueLease];

impl Filter {
    fn apply(self, gateway: &Gateway) -> Result<(), Refusal> {
        match self {
            Self::CatalogueLease => catalogue_lease::check(gateway),
            Self::Draining => draining::check(gateway),
        }
    }
}

/// An admitted generation request.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// The current version of the catalogue entry.
    pub(crate) entry: CatalogueEntry,
    /// The model that the engines of the catalogue entry serve.
    pub(crate) target: ModelTarget,
}

impl Admitted {
    /// Builds the specification of the generation, which fixes the model and the settings for its
    /// whole run.
    pub(crate) fn into_spec(self, id: GenerationId, request: GenerationRequest) -> GenerationSpec {
        GenerationSpec {
            catalogue_entry: request.catalogue_entry,
            class: self.entry.class,
            id,
            prompt: request.prompt,
            sampling: request.sampling,
            target: self.target,
            workspace: self.entry.owner,
        }
    }
}

/// An admitted call of a plain service.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    /// The class of the catalogue entry.
    pub(crate) class: Class,
    /// Whether calls of the service may be repeated.
    pub(crate) is_repeatable: bool,
    /// The owner of the catalogue entry.
    pub(crate) owner: WorkspaceId,
    /// Name of the service.
    pub(crate) service: ModelId,
}

/// Admits a generation. A caller that reattaches continues existing work, so it is admitted even if
/// the catalogue lease has lapsed or the entry is shutting down.
///
/// # Errors
///
/// Returns the refusal of the first check that fails.
pub(crate) fn admit(
    gateway: &Gateway,
    request: &GenerationRequest,
    is_reattach: bool,
) -> Result<Admitted, Refusal> {
    if !is_reattach {
        apply_chain(gateway)?;
    }
    let entry = known_entry::find(gateway, &request.catalogue_entry)?;
    match entry.back_end.clone() {
        BackEnd::Engine { target } => Ok(Admitted { entry, target }),
        BackEnd::PlainService { .. } => Err(wrong_back_end_kind(&request.catalogue_entry)),
    }
}

/// Admits a call of a plain service.
///
/// # Errors
///
/// Returns the refusal of the first check that fails.
pub(crate) fn admit_service(gateway: &Gateway, id: &EntryId) -> Result<AdmittedCall, Refusal> {
    apply_chain(gateway)?;
    let entry = known_entry::find(gateway, id)?;
    match entry.back_end {
        BackEnd::Engine { .. } => Err(wrong_back_end_kind(id)),
        BackEnd::PlainService {
            service,
            is_repeatable,
        } => Ok(AdmittedCall {
            class: entry.class,
            is_repeatable,
            owner: entry.owner,
            service,
        }),
    }
}

fn apply_chain(gateway: &Gateway) -> Result<(), Refusal> {
    FILTERS.iter().try_for_each(|filter| filter.apply(gateway))
}

fn wrong_back_end_kind(id: &EntryId) -> Refusal {
    let detail = format!("catalogue entry `{id}` is served by another kind of back end");
    Refusal::not_run(RefusalKind::UnknownModel, detail)
}
