//! `GET /v1/models`.

use ntex::web::HttpResponse;
use ntex::web::types::State;

use super::server::Gateway;
use crate::openai::{ModelItem, ModelList};

/// Lists the catalogue entries whose back end is an engine.
pub(crate) async fn list_models(gateway: State<Gateway>) -> HttpResponse {
    let view = gateway.catalogue();
    let entries = view.catalogue().entries();
    let served = entries.filter(|versioned| versioned.entry.back_end.target().is_some());
    let data = served
        .map(|versioned| ModelItem {
            id: versioned.entry.id.as_str().to_owned(),
            object: "model",
            owned_by: versioned.entry.owner.as_str().to_owned(),
        })
        .collect();
    HttpResponse::Ok().json(&ModelList {
        data,
        object: "list",
    })
}
