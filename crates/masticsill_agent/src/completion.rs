//! One run of a generation at the engine.

use std::net::SocketAddr;

use futures::StreamExt;
use masticsill_generation::{EngineEvent, RunNumber, RunRequest};
use masticsill_runtime::Ring;
use masticsill_types::{
    AttemptFailure, FinishReason, GenerationSpec, Token, TokenIndex, log_event,
};
use masticsill_wire::engine::{ChunkToken, CompletionBody, CompletionChunk};
use ntex::client::{Client, ClientResponse};
use ntex::http::StatusCode;

use crate::events;
use crate::messages::{EndpointEvent, send_event};
use crate::server_events::EventDecoder;

const END_OF_STREAM: &[u8] = b"[DONE]";
const MILLI_PER_UNIT: f64 = 1_000.0;

/// Runs a generation until the engine ends it. Every end is reported, including failures.
pub(crate) async fn run_generation(
    client: Client,
    address: SocketAddr,
    run_request: RunRequest,
    endpoint_events: Ring<EndpointEvent>,
) {
    let run = run_request.run;
    let Err(failure) = stream_tokens(&client, address, run_request, &endpoint_events).await else {
        return;
    };
    log_event!(
        debug,
        events::RUN_FAILED,
        run = run.0,
        failure = format!("{failure:?}")
    );
    send_event(
        &endpoint_events,
        EndpointEvent::Run(run, EngineEvent::Failed(failure)),
    )
    .await;
}

async fn stream_tokens(
    client: &Client,
    address: SocketAddr,
    run_request: RunRequest,
    endpoint_events: &Ring<EndpointEvent>,
) -> Result<(), AttemptFailure> {
    let mut response = request(client, address, &run_request).await?;
    let mut decoder = EventDecoder::default();
    while let Some(bytes) = response.next().await {
        let bytes = bytes.map_err(|_| AttemptFailure::EngineLost)?;
        for event in read_events(&mut decoder, &bytes)? {
            let is_last = is_finish(&event);
            let is_taken =
                send_event(endpoint_events, EndpointEvent::Run(run_request.run, event)).await;
            if is_last || !is_taken {
                return Ok(());
            }
        }
    }
    Err(AttemptFailure::EngineLost)
}

async fn request(
    client: &Client,
    address: SocketAddr,
    run_request: &RunRequest,
) -> Result<ClientResponse, AttemptFailure> {
    let url = format!("http://{address}/v1/completions");
    let body = completion_body(
        &run_request.spec,
        run_request.run,
        &run_request.resume_token_ids,
    );
    // A new connection for each run: a pooled one may belong to an earlier engine process.
    let request = client.post(url).force_close().no_decompress();
    let sent = request.send_json(&body).await;
    let response = sent.map_err(|_| AttemptFailure::EngineLost)?;
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::NOT_FOUND => Err(AttemptFailure::VersionMissing),
        _ => Err(AttemptFailure::EngineRefused),
    }
}

fn completion_body(spec: &GenerationSpec, run: RunNumber, resumed: &[u32]) -> CompletionBody {
    let sampling = &spec.sampling;
    CompletionBody {
        adapter: spec.target.adapter.clone(),
        max_tokens: sampling.max_tokens,
        model: spec.target.model.clone(),
        priority: spec.class.engine_priority(),
        prompt: spec.prompt.clone(),
        request_id: format!("{}-{}", spec.id, run.0),
        resume_token_ids: resumed.to_vec(),
        seed: sampling.seed,
        stream: true,
        temperature: f64::from(sampling.temperature_milli) / MILLI_PER_UNIT,
        top_p: f64::from(sampling.top_p_milli) / MILLI_PER_UNIT,
        version: spec.target.version.clone(),
    }
}

/// Decodes the events that are complete; adjacent chunks are merged into one event.
fn read_events(
    decoder: &mut EventDecoder,
    bytes: &[u8],
) -> Result<Vec<EngineEvent>, AttemptFailure> {
    let mut events = Vec::new();
    for data in decoder.push(bytes) {
        if data == END_OF_STREAM {
            break;
        }
        let chunk: CompletionChunk =
            serde_json::from_slice(&data).map_err(|_| AttemptFailure::EngineLost)?;
        add_chunk(&mut events, chunk);
    }
    Ok(events)
}

fn add_chunk(events: &mut Vec<EngineEvent>, chunk: CompletionChunk) {
    let reason = chunk.finish_reason.as_deref().map(read_finish);
    let added = chunk.tokens.into_iter().map(read_token);
    if let Some(EngineEvent::Tokens {
        finish,
        first_index,
        tokens,
    }) = events.last_mut()
    {
        let next_index = first_index.0 as usize + tokens.len();
        if finish.is_none() && next_index == chunk.index as usize {
            tokens.extend(added);
            *finish = reason;
            return;
        }
    }
    events.push(EngineEvent::Tokens {
        finish: reason,
        first_index: TokenIndex(chunk.index),
        tokens: added.collect(),
    });
}

fn read_token(token: ChunkToken) -> Token {
    Token {
        id: token.id,
        bytes: token.bytes,
    }
}

fn read_finish(reason: &str) -> FinishReason {
    if reason == FinishReason::Length.as_str() {
        FinishReason::Length
    } else {
        FinishReason::Stop
    }
}

fn is_finish(event: &EngineEvent) -> bool {
    match event {
        EngineEvent::Tokens { finish, .. } => finish.is_some(),
        EngineEvent::Failed(_) => true,
    }
}
