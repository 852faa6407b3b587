//! HTTP/1.1 client with JSON bodies and one connection per request.

use anyhow::{Result, anyhow};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time for which requests are retried while no control replica answers: as long as tests wait
/// for a condition.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Client with a bearer key.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    key: String,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body as JSON; null if it can't be parsed.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The code of an error answer; empty if there is none.
    pub fn code(&self) -> String {
        let code = self.json()["error"]["code"].clone();
        code.as_str().unwrap_or_default().to_string()
    }

    /// The value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Text of a chat answer that isn't streamed.
    pub fn content(&self) -> String {
        let content = self.json()["choices"][0]["message"]["content"].clone();
        content.as_str().unwrap_or_default().to_string()
    }
}

/// A streamed answer, read token by token.
pub struct Streaming {
    /// HTTP status.
    pub status: u16,
    body: Incoming,
    buf: Vec<u8>,
    connection: JoinHandle<()>,
}

impl Streaming {
    /// Returns the text of the next token, or `None` at the end of the answer.
    pub async fn token(&mut self) -> Result<Option<String>> {
        loop {
            let event = self.next_event().await?;
            if event.contains("event: error") {
                return Err(anyhow!("{event}"));
            }
            let data = event.lines().find_map(|l| l.strip_prefix("data: "));
            match data {
                Some("[DONE]") => return Ok(None),
                Some(json) => {
                    let chunk: serde_json::Value = serde_json::from_str(json)?;
                    if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                        return Ok(Some(text.to_string()));
                    }
                }
                None => {}
            }
        }
    }

    async fn next_event(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8(event)?);
            }
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| {
                let rest = String::from_utf8_lossy(&self.buf);
                anyhow!(
                    "the stream (status {}) ended early; unread bytes: {rest}",
                    self.status
                )
            })??;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    /// Reads the answer to its end and returns its text.
    pub async fn text(mut self) -> Result<String> {
        let mut text = String::new();
        while let Some(token) = self.token().await? {
            text.push_str(&token);
        }
        Ok(text)
    }

    /// Reads the answer to its end and returns the time from `start` to the first token,
    /// and the gaps between the later ones.
    pub async fn timed(mut self, start: Instant) -> Result<(Duration, Vec<Duration>)> {
        let mut gaps = Vec::new();
        let mut first = None;
        let mut last = start;
        while self.token().await?.is_some() {
            let now = Instant::now();
            match first {
                None => first = Some(now - start),
                Some(_) => gaps.push(now - last),
            }
            last = now;
        }
        let first = first.ok_or_else(|| anyhow!("the answer ended without a token"))?;
        Ok((first, gaps))
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl Caller {
    /// Creates a client of the router at `address`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_string(),
        }
    }

    async fn send(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, JoinHandle<()>)> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (mut tx, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok((tx.send_request(req).await?, connection))
    }

    /// Posts a body with these headers in addition. Retries, as callers do, requests that
    /// were refused without being run for lack of a lease or of a control replica: the
    /// only replica of a test loses its lease when its VM is busy for half a second.
    pub async fn post(
        &self,
        path: &str,
        body: impl Into<Bytes>,
        headers: &[(&str, &str)],
    ) -> Result<Answer> {
        let body = body.into();
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            let answer = self.post_once(path, body.clone(), headers).await?;
            let is_not_run = answer.header("deckwind-ran") == Some("not-run");
            let is_unavailable = matches!(answer.code().as_str(), "no-control" | "no-lease");
            if !(is_unavailable && is_not_run) || Instant::now() > deadline {
                return Ok(answer);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Posts a body like [`Self::post`], without retries.
    pub async fn post_once(
        &self,
        path: &str,
        body: impl Into<Bytes>,
        headers: &[(&str, &str)],
    ) -> Result<Answer> {
        let (res, connection) = self.send(self.request(path, body.into(), headers)?).await?;
        let (head, body) = res.into_parts();
        let body = body.collect().await?.to_bytes();
        connection.abort();
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }

    fn request(
        &self,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> Result<Request<Full<Bytes>>> {
        let mut req = Request::post(path)
            .header("host", self.address.to_string())
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        Ok(req.body(Full::new(body))?)
    }

    /// Sends a chat request whose answer isn't streamed.
    pub async fn chat(
        &self,
        template: &str,
        prompt: &str,
        max_tokens: u32,
        headers: &[(&str, &str)],
    ) -> Result<Answer> {
        let body = chat_body(template, prompt, max_tokens, false);
        self.post("/v1/chat/completions", body, headers).await
    }

    /// Sends a chat request whose answer is streamed.
    pub async fn stream(&self, template: &str, prompt: &str, max_tokens: u32) -> Result<Streaming> {
        self.stream_with(template, prompt, max_tokens, &[]).await
    }

    /// Sends a chat request whose answer is streamed, with these headers in addition.
    pub async fn stream_with(
        &self,
        template: &str,
        prompt: &str,
        max_tokens: u32,
        headers: &[(&str, &str)],
    ) -> Result<Streaming> {
        let body = chat_body(template, prompt, max_tokens, true);
        let req = self.request("/v1/chat/completions", body.into(), headers)?;
        let (res, connection) = self.send(req).await?;
        Ok(Streaming {
            status: res.status().as_u16(),
            body: res.into_body(),
            buf: Vec::new(),
            connection,
        })
    }
}

fn chat_body(template: &str, prompt: &str, max_tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": template,
        "messages": [{ "role": "user", "content": prompt }],
        "stream": stream,
        "max_tokens": max_tokens,
    })
    .to_string()
}
