//! `document` and `endpoints`: the catalogue as one document, and the endpoints that registered
//! themselves.

use masticsill_wire::admin::{DocumentJson, EndpointJson, EndpointsJson};

use crate::api::Api;
use crate::output::Output;

/// Shows the document in force as the operator sent it.
pub(crate) async fn document(api: &Api, output: Output) -> eyre::Result<()> {
    let document: DocumentJson = api.get("/v1/document").await?;
    output.show(&document, || {
        format!("version {}\n{}", document.version, document.text)
    })
}

/// Shows the endpoints that the answering control instance knows.
pub(crate) async fn endpoints(api: &Api, output: Output) -> eyre::Result<()> {
    let view: EndpointsJson = api.get("/v1/endpoints").await?;
    output.show(&view, || {
        let lines: Vec<String> = view.endpoints.iter().map(endpoint_line).collect();
        lines.join("\n")
    })
}

fn endpoint_line(endpoint: &EndpointJson) -> String {
    let EndpointJson {
        address,
        id,
        is_silent,
        sequence,
        service,
        slots,
        state,
        version,
        zone,
    } = endpoint;
    let silence = if *is_silent { "  silent" } else { "" };
    let version = match version.as_str() {
        "" => String::new(),
        version => format!("  version {version}"),
    };
    format!(
        "{id}  {service}  {zone}  {address}  {state}{silence}  {slots} slots  \
         heartbeat {sequence}{version}"
    )
}
