//! Client of the administration API. A call is repeated, each time at the next address, until it is
//! answered or the retry window ends.

use std::cell::Cell;
use std::time::{Duration, Instant};

use masticsill_runtime::is_unsent;
use masticsill_wire::admin::ErrorJson;
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::Arguments;
use crate::failure::Failure;

/// Timeout of one attempt, unless the caller sets another.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before a call is sent to the next address.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Largest response body that is read.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Client of the control instances.
pub(crate) struct Api {
    addresses: Vec<String>,
    /// Time after which a call without an answer is not sent again.
    retry_window: Duration,
    client: Client,
    /// Index of the address in use, modulo the number of addresses.
    current: Cell<usize>,
    token: String,
}

/// No attempt of a call was answered.
#[derive(Debug)]
pub(crate) struct Unanswered {
    /// Error of the last attempt.
    pub(crate) cause: String,
    /// Whether an instance may have executed the call in any attempt.
    pub(crate) is_outcome_unknown: bool,
}

impl From<Unanswered> for Failure {
    fn from(unanswered: Unanswered) -> Self {
        Self::Unavailable {
            cause: unanswered.cause,
        }
    }
}

/// Result of a call: the response, the refusal, or no answer at all.
pub(crate) type Answer<T> = Result<Result<T, ErrorJson>, Unanswered>;

impl Api {
    pub(crate) async fn connect(arguments: &Arguments) -> Result<Self, Failure> {
        if arguments.addresses.is_empty() {
            let text = "no address was given; use --address or MASTICSILL_ADDRESS";
            return Err(Failure::Usage(text.to_owned()));
        }
        let Some(token) = arguments.token.clone() else {
            let text = "no token was given; use --token-file or MASTICSILL_TOKEN";
            return Err(Failure::Usage(text.to_owned()));
        };
        let client = Client::builder()
            .disable_timeout()
            .response_payload_limit(MAX_BODY_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| Failure::Usage(error.to_string()))?;
        Ok(Self {
            addresses: arguments.addresses.clone(),
            retry_window: Duration::from_secs(arguments.timeout_s),
            client,
            current: Cell::new(0),
            token,
        })
    }

    /// Returns the time after which a call without an answer is not sent again.
    pub(crate) fn retry_window(&self) -> Duration {
        self.retry_window
    }

    /// Reads a resource.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.get_within(path, ATTEMPT_TIMEOUT).await
    }

    /// Reads a resource with the given timeout for each attempt, for requests that the instance may
    /// hold open.
    pub(crate) async fn get_within<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, Failure> {
        let answer = self.call::<(), T>(Method::GET, path, None, timeout).await?;
        answer.map_err(Failure::Refused)
    }

    /// Sends a body. The call must be idempotent, because it is sent again when no answer arrives.
    pub(crate) async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Answer<T> {
        self.call(method, path, Some(body), ATTEMPT_TIMEOUT).await
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Answer<T> {
        let until = Instant::now() + self.retry_window;
        let mut is_outcome_unknown = false;
        loop {
            let request = self.request(method.clone(), path);
            let unanswered = match attempt(request, body, timeout).await {
                Ok(answer) => return Ok(answer),
                Err(unanswered) => unanswered,
            };
            is_outcome_unknown |= unanswered.is_outcome_unknown;
            self.current.set(self.current.get() + 1);
            if Instant::now() >= until {
                return Err(Unanswered {
                    cause: unanswered.cause,
                    is_outcome_unknown,
                });
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let address = &self.addresses[self.current.get() % self.addresses.len()];
        let url = format!("http://{address}{path}");
        self.client.request(method, url).bearer_auth(&self.token)
    }
}

async fn attempt<B: Serialize, T: DeserializeOwned>(
    request: ClientRequest,
    body: Option<&B>,
    timeout: Duration,
) -> Answer<T> {
    let sent = async {
        match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        }
    };
    let unanswered = |cause: String, is_outcome_unknown| Unanswered {
        cause,
        is_outcome_unknown,
    };
    let response = match tokio::time::timeout(timeout, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            let is_outcome_unknown = !is_unsent(&error);
            return Err(unanswered(error.to_string(), is_outcome_unknown));
        }
        Err(_) => {
            return Err(unanswered(
                "the instance did not answer in time".to_owned(),
                true,
            ));
        }
    };
    read_answer(response).await
}

async fn read_answer<T: DeserializeOwned>(response: ClientResponse) -> Answer<T> {
    let status = response.status();
    let unreadable = |cause: String| Unanswered {
        cause,
        is_outcome_unknown: true,
    };
    let body = response.body().limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    if status.is_success() {
        let answer = serde_json::from_slice(&body);
        return answer
            .map(Ok)
            .map_err(|error| unreadable(error.to_string()));
    }
    let not_an_answer = || unreadable(format!("the address answered status {status}"));
    // A body that reads like a refusal is none with a status that says something else.
    if !(status.is_client_error() || status.is_server_error()) {
        return Err(not_an_answer());
    }
    let error: ErrorJson = serde_json::from_slice(&body).map_err(|_| not_an_answer())?;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Unanswered {
            is_outcome_unknown: error.reason == "outcome_unknown",
            cause: error.message,
        });
    }
    Ok(Err(error))
}
