//! HTTP message bodies as one concrete type, which keeps dynamic dispatch out of
//! the request path.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc;

/// Number of chunks that a streamed body buffers before its writer has to wait.
pub const STREAM_CHUNKS: usize = 32;

/// A body that is either complete in memory or streamed from a bounded channel.
///
/// A stream that must not look complete to the peer ends with
/// [`Chunk::Abort`]; hyper then resets the connection.
#[derive(Debug)]
pub enum Body {
    /// No content, or all of it was already sent.
    Empty,
    /// The complete content.
    Full(Bytes),
    /// Content that arrives over a channel; closing the channel ends it.
    Stream(mpsc::Receiver<Chunk>),
}

/// A chunk of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// The next bytes of the content.
    Data(Bytes),
    /// The writer cannot complete the content; the connection is reset.
    Abort,
}

/// Error of a streamed body whose writer sent [`Chunk::Abort`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body was aborted by its writer")
    }
}

impl std::error::Error for Aborted {}

impl Body {
    /// Creates a body from content that is already complete.
    pub fn full(content: impl Into<Bytes>) -> Self {
        Self::Full(content.into())
    }

    /// Creates a streamed body and the sender for its chunks.
    pub fn stream() -> (mpsc::Sender<Chunk>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
        (sender, Self::Stream(receiver))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let this = self.get_mut();
        match this {
            Self::Empty => Poll::Ready(None),
            Self::Full(content) => {
                let content = std::mem::take(content);
                *this = Self::Empty;
                Poll::Ready((!content.is_empty()).then(|| Ok(Frame::data(content))))
            }
            Self::Stream(receiver) => receiver.poll_recv(cx).map(|chunk| match chunk {
                Some(Chunk::Data(content)) => Some(Ok(Frame::data(content))),
                Some(Chunk::Abort) => Some(Err(Aborted)),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Full(content) => content.is_empty(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(content) => SizeHint::with_exact(content.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Reason why an incoming body could not be read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body is longer than the limit.
    TooLong,
    /// Reading failed before the end of the body; holds the error's text.
    Broken(String),
}

/// Reads an incoming body of at most `limit` bytes to its end.
///
/// If the body is longer, up to about `limit` further bytes are read and discarded:
/// a client that sends its whole body before it reads would otherwise see a
/// connection reset and never receive the answer.
///
/// # Errors
/// Returns a [`CollectError`] if the body is longer than `limit` or reading it fails.
pub async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, CollectError> {
    match Limited::new(&mut body, limit).collect().await {
        Ok(content) => Ok(content.to_bytes()),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => {
            discard(body, limit).await;
            Err(CollectError::TooLong)
        }
        Err(error) => Err(CollectError::Broken(error.to_string())),
    }
}

/// Reads and discards the rest of a body, up to about `limit` bytes.
async fn discard(mut body: Incoming, limit: usize) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > limit {
            return;
        }
    }
}
