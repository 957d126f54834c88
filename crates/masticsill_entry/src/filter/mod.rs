//! The filter chain that every request passes before it is admitted.

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

/// One check of the chain.
#[derive(Clone, Copy, Debug)]
enum Filter {
    CatalogueLease,
    Draining,
}

const CHAIN: [Filter; 2] = [Filter::Draining, Filter::CatalogueLease];

impl Filter {
    fn apply(self, gateway: &Gateway) -> Result<(), Refusal> {
        match self {
            Self::CatalogueLease => catalogue_lease::check(gateway),
            Self::Draining => draining::check(gateway),
        }
    }
}

/// A request that passed the chain.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// The catalogue entry in force.
    pub(crate) entry: CatalogueEntry,
    /// The model that its engines have loaded.
    pub(crate) target: ModelTarget,
}

impl Admitted {
    /// Pins all that the generation needs.
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

/// A call that passed the chain.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    /// The class of the catalogue entry.
    pub(crate) class: Class,
    /// Whether the service's calls may be repeated.
    pub(crate) is_repeatable: bool,
    /// The owner of the catalogue entry.
    pub(crate) owner: WorkspaceId,
    /// The service's name.
    pub(crate) service: ModelId,
}

/// Admits a generation. A caller that comes back continues old work, so the catalogue's lease and
/// a shutdown do not keep it out.
///
/// # Errors
///
/// The refusal of the first check that fails.
pub(crate) fn admit(
    gateway: &Gateway,
    request: &GenerationRequest,
    is_continued: bool,
) -> Result<Admitted, Refusal> {
    if !is_continued {
        apply_chain(gateway)?;
    }
    let entry = known_entry::find(gateway, &request.catalogue_entry)?;
    match entry.back_end.clone() {
        BackEnd::Engine { target } => Ok(Admitted { entry, target }),
        BackEnd::PlainService { .. } => Err(wrong_kind(&request.catalogue_entry)),
    }
}

/// Admits a call of a plain service.
///
/// # Errors
///
/// The refusal of the first check that fails.
pub(crate) fn admit_service(gateway: &Gateway, id: &EntryId) -> Result<AdmittedCall, Refusal> {
    apply_chain(gateway)?;
    let entry = known_entry::find(gateway, id)?;
    match entry.back_end {
        BackEnd::Engine { .. } => Err(wrong_kind(id)),
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
    CHAIN.iter().try_for_each(|filter| filter.apply(gateway))
}

fn wrong_kind(id: &EntryId) -> Refusal {
    let detail = format!("catalogue entry `{id}` is served by another kind of back end");
    Refusal::not_run(RefusalKind::UnknownModel, detail)
}
