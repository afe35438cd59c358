//! The HTTP server for readiness, gateway addresses and metrics.

use std::convert::Infallible;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::relay::answer::{Body, local_response};

/// Time without a request header after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves HTTP/1 on a listener, answering each request by `answer`. Never returns.
pub async fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request<Incoming>) -> Response<Body> + Clone + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=edge_accept_failed reason=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=edge_connection_lost reason=\"{error}\"");
            }
        });
    }
}

/// Returns a response with status 404.
pub fn not_found() -> Response<Body> {
    local_response(StatusCode::NOT_FOUND, "unknown path")
}
