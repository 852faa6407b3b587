//! Bodies of a fake target's answers: how their end is marked, and where a target breaks them
//! off. Records each answer that was cut.

use super::{ConnectionEnd, EVENT_GAP, State, StreamFraming};
use anyhow::Result;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pause between the two writes of a piece, in which a crash cuts it.
const SPLIT_PAUSE: Duration = Duration::from_millis(4);

/// Shares of a target's answers that end with their connection, and of those that it breaks
/// off inside an event while it lives on. Which ones depends on the seed, the request's ID and
/// the number of requests that the target received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerDraws {
    /// Seed of the draws.
    pub seed: u64,
    /// Percentage of answers with neither a length nor chunks.
    pub unframed_percent: u64,
    /// Percentage of answers that are broken off inside an event.
    pub broken_percent: u64,
}

impl AnswerDraws {
    /// Draws how one answer is sent.
    pub(super) fn draw(&self, request: &str, number: usize) -> AnswerPlan {
        let hash = |name: &str| {
            let text = format!("{name} {request} {number}");
            xxh3_64_with_seed(text.as_bytes(), self.seed)
        };
        let is_broken = hash("broken") % 100 < self.broken_percent;
        AnswerPlan {
            framing: match hash("unframed") % 100 < self.unframed_percent {
                true => StreamFraming::Connection,
                false => StreamFraming::Chunked,
            },
            connection: match hash("reset") % 2 {
                0 => ConnectionEnd::Close,
                _ => ConnectionEnd::Reset,
            },
            break_at: is_broken.then(|| hash("piece")),
            split_at: Some(hash("byte")),
        }
    }
}

/// How one answer is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerPlan {
    /// How the end of the body is marked.
    pub framing: StreamFraming,
    /// What becomes of the connection if the answer is cut.
    pub connection: ConnectionEnd,
    /// Number that selects the piece inside which the answer is broken off, if any.
    pub break_at: Option<u64>,
    /// Number that selects the byte at which pieces are split or broken off; `None` writes
    /// each piece at once.
    pub split_at: Option<u64>,
}

impl Default for AnswerPlan {
    /// A chunked answer that is closed if it is cut.
    fn default() -> Self {
        Self {
            framing: StreamFraming::Chunked,
            connection: ConnectionEnd::Close,
            break_at: None,
            split_at: None,
        }
    }
}

/// Where an answer was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPlace {
    /// Before the first event, inside the head or inside an event.
    Visible,
    /// After the event with this ID.
    AfterEvent(u64),
    /// After this many bytes of the body of a plain answer.
    AfterByte(usize),
}

/// An answer that a target began and did not finish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutAnswer {
    /// Request ID.
    pub request: String,
    /// How the end of the whole body would have been marked.
    pub framing: StreamFraming,
    /// Where it was cut.
    pub place: CutPlace,
    /// What became of the connection.
    pub connection: ConnectionEnd,
}

impl CutAnswer {
    /// Whether nothing tells the receiver that the answer is not whole (RFC 9112, section 8).
    pub fn looks_whole(&self) -> bool {
        self.framing == StreamFraming::Connection
            && self.connection == ConnectionEnd::Close
            && self.place != CutPlace::Visible
    }
}

/// Whether a body consists of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyKind {
    Events,
    Plain,
}

/// Writes the body of one answer. If it is dropped before its end, whether by a fault or
/// because the target crashed, it records the cut and ends the connection as planned.
pub(super) struct AnswerBody<'a> {
    pub stream: &'a mut BufReader<TcpStream>,
    state: &'a Mutex<State>,
    request: &'a str,
    plan: AnswerPlan,
    kind: BodyKind,
    /// Number of pieces that the whole body has.
    pieces: u64,
    /// Number of pieces that were begun.
    begun: u64,
    is_started: bool,
    is_finished: bool,
    place: CutPlace,
    /// Bytes of the body that were written.
    written: usize,
}

impl<'a> AnswerBody<'a> {
    pub fn new(
        stream: &'a mut BufReader<TcpStream>,
        state: &'a Mutex<State>,
        request: &'a str,
        plan: AnswerPlan,
        (kind, pieces): (BodyKind, u64),
    ) -> Self {
        Self {
            stream,
            state,
            request,
            plan,
            kind,
            pieces,
            begun: 0,
            is_started: false,
            is_finished: false,
            place: CutPlace::Visible,
            written: 0,
        }
    }

    /// Writes the head.
    pub async fn start(&mut self, head: &str) -> Result<()> {
        self.is_started = true;
        self.stream.write_all(head.as_bytes()).await?;
        if self.kind == BodyKind::Plain {
            self.place = CutPlace::AfterByte(0);
        }
        Ok(())
    }

    /// Writes the next piece: an event with its ID, or the body of a plain answer. Returns
    /// whether the answer continues.
    pub async fn write(&mut self, id: u64, piece: &str) -> Result<bool> {
        self.begun += 1;
        let pieces = self.pieces.max(1);
        let is_broken = self
            .plan
            .break_at
            .is_some_and(|n| n % pieces + 1 == self.begun);
        let split_at = self.plan.split_at.filter(|_| piece.len() > 1);
        let split_at = split_at.map(|n| 1 + (n ^ self.begun) as usize % (piece.len() - 1));
        if let Some(at) = split_at {
            self.write_part(&piece[..at], None).await?;
            match is_broken {
                true => return self.break_off().await,
                false => tokio::time::sleep(SPLIT_PAUSE).await,
            }
        }
        self.write_part(&piece[split_at.unwrap_or(0)..], Some(id))
            .await?;
        Ok(true)
    }

    /// Writes the beginning of a piece and breaks the answer off inside it.
    pub async fn write_beginning(&mut self, beginning: &str) -> Result<bool> {
        self.write_part(beginning, None).await?;
        self.break_off().await
    }

    /// Marks the end of the body; returns whether the connection stays open.
    pub async fn finish(mut self) -> Result<bool> {
        if self.plan.framing == StreamFraming::Chunked {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        self.is_finished = true;
        Ok(self.plan.framing == StreamFraming::Chunked)
    }

    async fn break_off(&mut self) -> Result<bool> {
        if self.plan.connection == ConnectionEnd::Reset {
            // A reset that overtakes the bytes would drop them at the receiver.
            tokio::time::sleep(EVENT_GAP).await;
        }
        Ok(false)
    }

    /// Writes a part of a piece; `ends` is the ID of the event that it completes.
    async fn write_part(&mut self, part: &str, ends: Option<u64>) -> Result<()> {
        let written = match self.plan.framing {
            StreamFraming::Chunked => {
                let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                self.stream.write_all(chunk.as_bytes()).await
            }
            StreamFraming::Connection => self.write_counted(part.as_bytes()).await,
        };
        match (written, ends, self.kind) {
            // The caller of the answer has gone: nobody reads where it was cut.
            (Err(e), ..) => {
                self.place = CutPlace::Visible;
                return Err(e.into());
            }
            (Ok(()), Some(id), BodyKind::Events) => self.place = CutPlace::AfterEvent(id),
            (Ok(()), ..) => {}
        }
        Ok(())
    }

    /// Writes bytes one write at a time, so that a crash between two of them is recorded at
    /// the right byte.
    async fn write_counted(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let count = self.stream.write(bytes).await?;
            if count == 0 {
                return Err(std::io::ErrorKind::WriteZero.into());
            }
            self.written += count;
            bytes = &bytes[count..];
            self.place = match self.kind {
                BodyKind::Events => CutPlace::Visible,
                BodyKind::Plain => CutPlace::AfterByte(self.written),
            };
        }
        Ok(())
    }
}

impl Drop for AnswerBody<'_> {
    fn drop(&mut self) {
        if !self.is_started || self.is_finished {
            return;
        }
        let mut connection = self.plan.connection;
        if connection == ConnectionEnd::Reset && self.stream.get_ref().set_zero_linger().is_err() {
            connection = ConnectionEnd::Close;
        }
        let mut state = self.state.lock().expect("no holder panics");
        state.cut_answers.push(CutAnswer {
            request: self.request.to_string(),
            framing: self.plan.framing,
            place: self.place,
            connection,
        });
    }
}
