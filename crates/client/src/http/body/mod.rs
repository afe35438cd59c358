//! Message bodies as one concrete type, so that the request path needs no
//! dynamic dispatch.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc;

/// Chunks that a streamed body may hold before its writer waits.
pub const STREAM_CHUNKS: usize = 32;

/// A body that is whole, or streamed from a bounded channel.
///
/// A stream that must not look complete to the peer ends with
/// [`Chunk::Abort`]; hyper then resets the connection.
#[derive(Debug)]
pub enum Body {
    /// No content left.
    Empty,
    /// The whole content.
    Full(Bytes),
    /// Content that arrives over a channel; closing the channel ends it.
    Stream(mpsc::Receiver<Chunk>),
}

/// A piece of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Content.
    Data(Bytes),
    /// The content cannot be completed.
    Abort,
}

/// The writer gave up a streamed body before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body was aborted by its writer")
    }
}

impl std::error::Error for Aborted {}

impl Body {
    /// Makes a whole body.
    pub fn full(content: impl Into<Bytes>) -> Self {
        Self::Full(content.into())
    }

    /// Makes a streamed body and the sender that feeds it.
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

/// Why an incoming body could not be read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body is longer than the bound.
    TooLong,
    /// The peer broke off before its end.
    Broken(String),
}

/// Reads an incoming body whole, up to a bound in bytes.
///
/// Of a longer body, as many bytes again are read and discarded: a client that
/// sends its whole body first would otherwise find its connection reset and
/// never read the answer.
///
/// # Errors
/// Returns a [`CollectError`] if the body is longer than `limit` or breaks off.
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

/// Reads and drops the rest of a body, up to about a bound in bytes.
async fn discard(mut body: Incoming, limit: usize) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > limit {
            return;
        }
    }
}
