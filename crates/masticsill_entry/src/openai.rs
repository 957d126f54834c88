//! JSON types of the HTTP interface for callers, compatible with the `OpenAI` completions API.

use masticsill_types::{FinishReason, Refusal};
use serde::{Deserialize, Serialize};

/// The options that both completion interfaces share. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct Options {
    pub(crate) max_tokens: Option<u32>,
    pub(crate) model: String,
    pub(crate) seed: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) temperature: Option<f64>,
    pub(crate) top_p: Option<f64>,
}

/// Body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    #[serde(flatten)]
    pub(crate) options: Options,
    pub(crate) prompt: String,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) max_completion_tokens: Option<u32>,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(flatten)]
    pub(crate) options: Options,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    pub(crate) content: String,
    pub(crate) role: String,
}

impl From<ChatRequest> for CompletionRequest {
    fn from(chat: ChatRequest) -> Self {
        let mut options = chat.options;
        options.max_tokens = chat.max_completion_tokens.or(options.max_tokens);
        Self {
            options,
            prompt: join_messages(&chat.messages),
        }
    }
}

fn join_messages(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>\n");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str("<|assistant|>\n");
    prompt
}

/// Which of the two completion interfaces a caller uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Interface {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A whole completion or one chunk of a streamed completion.
#[derive(Debug, Serialize)]
pub(crate) struct Completion<'a> {
    pub(crate) choices: [Choice<'a>; 1],
    pub(crate) id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<Usage>,
}

/// The only choice of a completion.
#[derive(Debug, Serialize)]
pub(crate) struct Choice<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<Message<'a>>,
    pub(crate) finish_reason: Option<&'static str>,
    pub(crate) index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) text: Option<&'a str>,
}

/// A message of a chat completion.
#[derive(Debug, Serialize)]
pub(crate) struct Message<'a> {
    pub(crate) content: &'a str,
    pub(crate) role: &'static str,
}

/// Token usage of a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct Usage {
    pub(crate) completion_tokens: u32,
}

impl<'a> Completion<'a> {
    /// Creates a chunk of a streamed completion.
    pub(crate) fn chunk(
        interface: Interface,
        id: &'a str,
        model: &'a str,
        text: &'a str,
        finish: Option<FinishReason>,
    ) -> Self {
        let (object, delta, plain) = match interface {
            Interface::Chat => ("chat.completion.chunk", Some(assistant(text)), None),
            Interface::Text => ("text_completion", None, Some(text)),
        };
        let choice = Choice {
            delta,
            finish_reason: finish.map(FinishReason::as_str),
            index: 0,
            message: None,
            text: plain,
        };
        Self {
            choices: [choice],
            id,
            model,
            object,
            usage: None,
        }
    }

    /// Creates a whole completion.
    pub(crate) fn whole(
        interface: Interface,
        id: &'a str,
        model: &'a str,
        text: &'a str,
        finish: FinishReason,
        usage: Usage,
    ) -> Self {
        let (object, message, plain) = match interface {
            Interface::Chat => ("chat.completion", Some(assistant(text)), None),
            Interface::Text => ("text_completion", None, Some(text)),
        };
        let choice = Choice {
            delta: None,
            finish_reason: Some(finish.as_str()),
            index: 0,
            message,
            text: plain,
        };
        Self {
            choices: [choice],
            id,
            model,
            object,
            usage: Some(usage),
        }
    }
}

fn assistant(content: &str) -> Message<'_> {
    Message {
        content,
        role: "assistant",
    }
}

/// Response body of `GET /v1/models`.
#[derive(Debug, Serialize)]
pub(crate) struct ModelList {
    pub(crate) data: Vec<ModelItem>,
    pub(crate) object: &'static str,
}

/// A model that callers can request.
#[derive(Debug, Serialize)]
pub(crate) struct ModelItem {
    pub(crate) id: String,
    pub(crate) object: &'static str,
    pub(crate) owned_by: String,
}

/// Response body of all errors.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    pub(crate) error: ErrorDetail<'a>,
}

/// The error, the outcome of the request as far as it is known, and a remedy.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorDetail<'a> {
    pub(crate) kind: &'static str,
    pub(crate) message: &'a str,
    pub(crate) outcome: &'static str,
    pub(crate) remedy: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
}

impl<'a> From<&'a Refusal> for ErrorBody<'a> {
    fn from(refusal: &'a Refusal) -> Self {
        let error = ErrorDetail {
            kind: refusal.kind.as_str(),
            message: &refusal.detail,
            outcome: refusal.outcome.as_str(),
            remedy: refusal.kind.remedy(),
            retry_after_ms: refusal.retry_after_ms,
        };
        Self { error }
    }
}
