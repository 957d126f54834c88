//! Handlers for the catalogue document and the registered endpoints.

use masticsill_wire::admin::{DocumentJson, EndpointJson, EndpointsJson, ErrorJson};
use masticsill_wire::control::{ReadAnswer, ReadRequest};
use ntex::http::StatusCode;
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};

use super::auth::authenticate;
use super::operations::{read_state, unexpected};
use super::{HttpState, reply};

/// The document in force, as confirmed by the leader.
pub(crate) async fn document(state: State<HttpState>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    match read_state(&state, ReadRequest::Document).await {
        Ok(ReadAnswer::Document(Some(document))) => match document.unpack() {
            Ok(bytes) => reply::ok(&DocumentJson {
                text: String::from_utf8_lossy(&bytes).into_owned(),
                version: document.version,
            }),
            Err(error) => reply::error(
                StatusCode::INTERNAL_SERVER_ERROR,
                &ErrorJson::new("document_damaged", error.to_string()),
            ),
        },
        Ok(ReadAnswer::Document(None)) => {
            let message = "no document was accepted yet; send one";
            reply::error(
                StatusCode::NOT_FOUND,
                &ErrorJson::new("no_document", message),
            )
        }
        Ok(_) => unexpected(),
        Err(refusal) => refusal,
    }
}

/// The endpoints in this replica's registry.
pub(crate) async fn endpoints(state: State<HttpState>, request: HttpRequest) -> HttpResponse {
    if let Err(refusal) = authenticate(&state, &request) {
        return refusal;
    }
    let records = state.endpoints.all_records();
    reply::ok(&EndpointsJson {
        endpoints: records.iter().map(EndpointJson::from).collect(),
    })
}
