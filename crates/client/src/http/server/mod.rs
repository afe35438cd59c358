//! HTTP server with limits on connections and request headers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::Body;

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of open connections; further ones wait in the listen queue.
    pub connections: usize,
    /// Timeout for receiving a request header; also limits the idle time of a
    /// keep-alive connection.
    pub header_timeout: Duration,
    /// Maximum length of a request header, in bytes.
    pub header_bytes: usize,
    /// Maximum number of header fields.
    pub header_fields: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_timeout: Duration::from_secs(30),
            header_bytes: 64 << 10,
            header_fields: 100,
        }
    }
}

/// Application logic of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request from the client at `peer`.
    fn handle(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Serves connections until `stop` is cancelled, then shuts down gracefully: open
/// connections finish their current requests, and the call returns when all are
/// closed.
pub async fn serve(
    listener: TcpListener,
    settings: Settings,
    handler: Arc<impl Handler>,
    stop: CancellationToken,
) {
    let slots = Arc::new(Semaphore::new(settings.connections));
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        let Some((stream, peer, slot)) = accepted else {
            continue;
        };
        let service_handler = Arc::clone(&handler);
        let stop = stop.clone();
        let settings = settings.clone();
        tasks.spawn(async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&service_handler);
                async move { Ok::<_, Infallible>(handler.handle(peer, request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(settings.header_timeout)
                .max_buf_size(settings.header_bytes)
                // The buffer size alone would admit a longer header that arrives
                // in full with the last read.
                .max_header_size(settings.header_bytes)
                .max_headers(settings.header_fields)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let ended = tokio::select! {
                ended = &mut connection => ended,
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!("event=connection_failed peer={peer} error={error:?}");
            }
            drop(slot);
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(
    tokio::net::TcpStream,
    SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            // Disables Nagle's algorithm, which would hold back the small frames
            // of a token stream until an acknowledgement arrives.
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("event=nodelay_failed peer={peer} error={error}");
            }
            Some((stream, peer, slot))
        }
        Err(error) => {
            // The cause may persist, such as a lack of file descriptors; the delay
            // avoids a busy loop.
            log::warn!("event=accept_failed error={error}");
            tokio::time::sleep(Duration::from_millis(20)).await;
            None
        }
    }
}
