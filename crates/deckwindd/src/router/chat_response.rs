//! Sends the answer of a chat session to its caller: as one response body, or as
//! server-sent events (WHATWG HTML, section 9.2).

use super::channel_body::{self, BodySender};
use super::chat::ChatEvent;
use super::chat_body::{ChatRequest, chunk, completion};
use super::claims::HeldClaim;
use super::shared::{HeldTicket, InProgress, RouterShared};
use super::template_answers::{self as answers, Body, CallerError, Ran, response};
use super::template_callers::MAX_BUFFERED_TOKENS;
use bytes::Bytes;
use deckwind_core::router::CheckedRequest;
use deckwind_core::session::EndReason;
use deckwind_core::state::Outcome;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Chat request whose session is running, with the resources that it holds until it ends.
pub struct ChatResponder {
    pub shared: Arc<RouterShared>,
    pub id: String,
    pub chat: ChatRequest,
    pub checked_request: CheckedRequest,
    pub held: Option<HeldClaim>,
    pub rx: mpsc::Receiver<ChatEvent>,
    pub first: Option<ChatEvent>,
    /// Number of tokens that the caller has already received.
    pub received_tokens: u32,
    pub _ticket: HeldTicket,
    pub _in_progress: InProgress,
}

/// Builds the error of a session that ended without a complete answer. A status of 503
/// guarantees that nothing ran, so it is used only if the session sent no step.
fn incomplete_answer(reason: EndReason, ran: bool) -> CallerError {
    let message = format!("the session ended without its whole answer: {reason:?}");
    let (status, ran) = match ran {
        true => (StatusCode::BAD_GATEWAY, Ran::Unknown),
        false => (StatusCode::SERVICE_UNAVAILABLE, Ran::NotRun),
    };
    CallerError::new(status, "no-targets", ran, message).retry_after(Duration::from_secs(1))
}

impl ChatResponder {
    /// Waits for the first token, so that an early failure can still set the HTTP status.
    ///
    /// # Errors
    ///
    /// Fails if the session ends before its first token without being complete.
    pub async fn wait_for_first(&mut self) -> Result<(), CallerError> {
        let first = self.next().await;
        let now = self.shared.clock.now();
        let took = now.since(self.checked_request.arrived);
        let has_token = matches!(first, ChatEvent::Token(_));
        self.shared
            .core()
            .answered(now, &self.checked_request, has_token.then_some(took));
        match first {
            ChatEvent::End { reason, ran } if reason != EndReason::Complete => {
                let outcome = match ran {
                    true => Outcome::Unknown,
                    false => Outcome::NotRun,
                };
                self.record(outcome).await;
                Err(incomplete_answer(reason, ran))
            }
            event => {
                metrics::histogram!("deckwind_router_first_token_seconds")
                    .record(took.as_secs_f64());
                self.first = Some(event);
                Ok(())
            }
        }
    }

    async fn next(&mut self) -> ChatEvent {
        if let Some(first) = self.first.take() {
            return first;
        }
        let event = self.rx.recv().await;
        event.unwrap_or(ChatEvent::End {
            reason: EndReason::TooManyFaults,
            ran: true,
        })
    }

    async fn record(&mut self, outcome: Outcome) {
        if let Some(held) = self.held.take() {
            held.finish(outcome).await;
        }
    }

    /// Collects the whole answer into one response.
    ///
    /// # Errors
    ///
    /// Fails if the session ends before the answer is complete.
    pub async fn into_full_response(mut self) -> Result<Response<Body>, CallerError> {
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            match self.next().await {
                ChatEvent::Token(token) => {
                    text.push_str(&token.text);
                    tokens += 1;
                }
                ChatEvent::End {
                    reason: EndReason::Complete,
                    ..
                } => break,
                ChatEvent::End { reason, .. } => {
                    self.record(Outcome::Unknown).await;
                    return Err(incomplete_answer(reason, true));
                }
            }
        }
        let body = self.completion(&text, tokens);
        self.record_answer(&body).await;
        Ok(response(200, "application/json", body))
    }

    fn completion(&self, text: &str, tokens: u32) -> Vec<u8> {
        let prompt = self.chat.prompt().len();
        completion(&self.id, &self.chat.model, text, prompt, tokens)
    }

    async fn record_answer(&mut self, body: &[u8]) {
        self.record(Outcome::Answer {
            status: 200,
            body: body.to_vec(),
            truncated: false,
        })
        .await;
    }

    /// Returns a response that streams the answer as server-sent events.
    pub fn into_event_stream(self) -> Response<Body> {
        let (tx, body) = channel_body::channel(MAX_BUFFERED_TOKENS);
        tokio::spawn(self.send_events(tx));
        let mut res = Response::new(body.boxed());
        let headers = res.headers_mut();
        let event_stream = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, event_stream);
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        res
    }

    /// Sends the answer as server-sent events. An answer that is not whole breaks off after
    /// the event that says why. If the caller disconnects, `tx` is closed; `self` is then
    /// dropped with the receiver of the session, which cancels its stages.
    async fn send_events(mut self, tx: BodySender) {
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            let event = tokio::select! {
                event = self.next() => event,
                () = tx.closed() => return,
            };
            let data = match &event {
                ChatEvent::Token(token) => {
                    text.push_str(&token.text);
                    tokens += 1;
                    if tokens <= self.received_tokens {
                        continue;
                    }
                    self.format_token(tokens - 1, &token.text)
                }
                ChatEvent::End {
                    reason: EndReason::Complete,
                    ..
                } => self.format_end(),
                ChatEvent::End { reason, .. } => {
                    let body = answers::error_body(&incomplete_answer(*reason, true));
                    format!("event: error\ndata: {body}\n\n")
                }
            };
            let ended = matches!(event, ChatEvent::End { .. });
            let is_complete = matches!(
                event,
                ChatEvent::End {
                    reason: EndReason::Complete,
                    ..
                }
            );
            if is_complete {
                let body = self.completion(&text, tokens);
                self.record_answer(&body).await;
            }
            let sent = tx.send(Bytes::from(data)).await;
            if sent.is_ok() && !ended {
                continue;
            }
            if sent.is_err() || (is_complete && tx.end().await.is_err()) {
                log::debug!("event=caller_left request={}", self.id);
            }
            return;
        }
    }

    fn format_token(&self, position: u32, text: &str) -> String {
        let chunk = chunk(&self.id, &self.chat.model, Some(text));
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("id: {position}\ndata: {json}\n\n")
    }

    fn format_end(&self) -> String {
        let chunk = chunk(&self.id, &self.chat.model, None);
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\ndata: [DONE]\n\n")
    }
}
