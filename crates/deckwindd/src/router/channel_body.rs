//! Body whose parts are sent by another task.

use super::routes::BodyError;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Part of a body.
enum BodyMessage {
    Data(Bytes),
    End,
}

/// Sends the parts of a body. If it is dropped without [`BodySender::end`], the body
/// breaks off, so that a partial answer does not look complete.
pub struct BodySender(mpsc::Sender<BodyMessage>);

/// The connection that reads the body is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Body that ends only when its sender says so.
pub struct ChannelBody {
    rx: mpsc::Receiver<BodyMessage>,
    state: BodyState,
}

enum BodyState {
    Open,
    /// Broke off, and the connection may write what it has taken before it learns of it.
    Breaking,
    Ended,
}

/// Returns a sender, and the body that it feeds. At most `capacity` parts are buffered.
pub fn channel(capacity: usize) -> (BodySender, ChannelBody) {
    let (tx, rx) = mpsc::channel(capacity);
    let state = BodyState::Open;
    (BodySender(tx), ChannelBody { rx, state })
}

impl BodySender {
    /// Sends some bytes, and waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub async fn send(&self, data: Bytes) -> Result<(), CallerLeft> {
        let sent = self.0.send(BodyMessage::Data(data)).await;
        sent.map_err(|_| CallerLeft)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub async fn end(self) -> Result<(), CallerLeft> {
        let sent = self.0.send(BodyMessage::End).await;
        sent.map_err(|_| CallerLeft)
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.state {
            BodyState::Open => {}
            BodyState::Breaking => {
                self.state = BodyState::Ended;
                return Poll::Ready(Some(Err("the answer ended early".into())));
            }
            BodyState::Ended => return Poll::Ready(None),
        }
        match ready!(self.rx.poll_recv(cx)) {
            Some(BodyMessage::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(BodyMessage::End) => {
                self.state = BodyState::Ended;
                Poll::Ready(None)
            }
            None => {
                // A connection drops what it has not written yet when its body fails, and
                // writes once its body is pending.
                self.state = BodyState::Breaking;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}
