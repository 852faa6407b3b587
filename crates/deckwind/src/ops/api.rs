//! Client of the control replicas' operator interface. It finds the leader by sending a
//! request to each replica in turn.

use crate::context::{Exit, ExitError};
use anyhow::{Context as _, Result, bail};
use deckwind_core::control::{ClusterStatus, ConfigurationView};
use deckwind_core::state::{ApplyRequest, RequestTrait};
use deckwind_wire::operator::{AppliedAnswer, ErrorAnswer, RejectedAnswer};
use oxhttp::Client;
use oxhttp::model::{Body, Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which the search for a leader is given up.
const FIND_LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two rounds over all replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Timeout for one answer, in addition to the time that the request itself may wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Answer to an HTTP request.
struct Answer {
    status: StatusCode,
    body: String,
}

/// Client of the control replicas.
pub struct ControlApi {
    replicas: Vec<SocketAddr>,
    token: Option<String>,
    find_leader_timeout: Duration,
}

impl ControlApi {
    /// Creates a client for the replicas at these addresses. Without the operators' token
    /// it can only read the status, and only if the settings of the replicas hold none.
    pub fn new(replicas: Vec<SocketAddr>, token: Option<String>) -> Self {
        Self {
            replicas,
            token,
            find_leader_timeout: FIND_LEADER_TIMEOUT,
        }
    }

    /// Sets the time after which the search for a leader is given up.
    pub fn with_find_leader_timeout(mut self, timeout: Duration) -> Self {
        self.find_leader_timeout = timeout;
        self
    }

    /// Returns the status of the cluster.
    pub fn status(&self) -> Result<ClusterStatus> {
        self.get("/v1/status")
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> Result<ConfigurationView> {
        self.get("/v1/configuration")
    }

    /// Sends a change and waits for up to `wait` until it is in force.
    ///
    /// # Errors
    ///
    /// Fails with [`Exit::Rejected`] if the change was rejected, with [`Exit::Unknown`] if
    /// it was sent and its answer was lost or cut, and with [`Exit::Failed`] or a plain error
    /// otherwise.
    pub fn apply(&self, request: &ApplyRequest, wait: Duration) -> Result<AppliedAnswer> {
        let path = format!("/v1/apply?wait_ms={}", wait.as_millis());
        let body = serde_json::to_vec(request)?;
        let answer = self.send_to_leader("POST", &path, &body, wait)?;
        match answer.status {
            StatusCode::OK => serde_json::from_str(&answer.body).map_err(|_| answer_lost(request)),
            StatusCode::CONFLICT => {
                let rejected: RejectedAnswer = serde_json::from_str(&answer.body)?;
                Err(exit_error(Exit::Rejected, rejected.message))
            }
            StatusCode::GATEWAY_TIMEOUT => Err(answer_lost(request)),
            _ => Err(answer_error(&answer)),
        }
        .with_context(|| format!("request id {}", request.request_id))
        .map_err(preserve_exit)
    }

    /// Lifts the quarantine of requests with a trait. Lifting it again has no further effect.
    pub fn lift(&self, suspect: RequestTrait) -> Result<AppliedAnswer> {
        let path = format!("/v1/quarantine/lift/{suspect}");
        let answer = self.send_to_leader("POST", &path, &[], Duration::ZERO)?;
        match answer.status {
            StatusCode::OK => Ok(serde_json::from_str(&answer.body)?),
            _ => Err(answer_error(&answer)),
        }
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.send_to_leader("GET", path, &[], Duration::ZERO)?;
        if answer.status != StatusCode::OK {
            return Err(answer_error(&answer));
        }
        serde_json::from_str(&answer.body).context("failed to parse the answer")
    }

    /// Sends a request to each replica in turn until the leader answers. Sending it again
    /// is safe, since a change carries its request id.
    ///
    /// # Errors
    ///
    /// Fails with [`Exit::Unknown`] if a replica may have received a change and none answered
    /// as the leader, and with a plain error otherwise.
    fn send_to_leader(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<Answer> {
        let deadline = Instant::now() + self.find_leader_timeout;
        let mut last = None;
        let mut may_have_arrived = false;
        while Instant::now() < deadline {
            for replica in &self.replicas {
                match self.send_to_replica(*replica, method, path, body, wait) {
                    Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => {}
                    Ok(answer) => return Ok(answer),
                    Err(e) => {
                        may_have_arrived |= !is_connection_refused(&e);
                        last = Some(e);
                    }
                }
            }
            std::thread::sleep(ROUND_PAUSE);
        }
        match last {
            Some(e) if may_have_arrived && method != "GET" => {
                let message = format!("the answer was lost; send the change again: {e:#}");
                Err(exit_error(Exit::Unknown, message))
            }
            Some(e) => Err(e.context("no control replica answered as the leader")),
            None => bail!("the control replicas have no leader at the moment; try again"),
        }
    }

    fn send_to_replica(
        &self,
        replica: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<Answer> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{replica}{path}"));
        if let Some(token) = &self.token {
            req = req.header("authorization", format!("Bearer {token}"));
        }
        let req = req.body(Body::from(body.to_vec()))?;
        send(req, ANSWER_TIMEOUT + wait).with_context(|| format!("control replica {replica}"))
    }
}

/// Whether the request can't have arrived, because nothing listens at the address.
fn is_connection_refused(e: &anyhow::Error) -> bool {
    let io = e
        .chain()
        .find_map(|cause| cause.downcast_ref::<io::Error>());
    io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}

fn send(req: Request<Body>, timeout: Duration) -> Result<Answer> {
    let client = Client::new().with_global_timeout(timeout);
    let res = client.request(req)?;
    let status = res.status();
    let body = res.into_body().to_string()?;
    Ok(Answer { status, body })
}

/// Reads JSON from the operator interface of a router.
pub(super) fn get_json<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T> {
    let req = Request::builder()
        .uri(format!("http://{address}{path}"))
        .body(Body::default())?;
    let answer = send(req, ANSWER_TIMEOUT)?;
    if answer.status != StatusCode::OK {
        return Err(answer_error(&answer));
    }
    Ok(serde_json::from_str(&answer.body)?)
}

fn exit_error(exit: Exit, message: String) -> anyhow::Error {
    ExitError { exit, message }.into()
}

fn answer_lost(request: &ApplyRequest) -> anyhow::Error {
    let message = format!(
        "the answer was lost; send the change again with --request-id {}",
        request.request_id
    );
    exit_error(Exit::Unknown, message)
}

/// Converts an error with its context into an [`ExitError`] with the same exit code.
fn preserve_exit(e: anyhow::Error) -> anyhow::Error {
    let exit = crate::context::exit_of(&e);
    exit_error(exit, format!("{e:#}"))
}

fn answer_error(answer: &Answer) -> anyhow::Error {
    let parsed: Result<ErrorAnswer, _> = serde_json::from_str(&answer.body);
    let text = parsed.map_or_else(|_| answer.body.clone(), |e| e.error);
    anyhow::anyhow!("{}: {text}", answer.status)
}
