//! HTTP interface for callers: model calls, calls to plain services, keys, and
//! the list of entries.

use std::net::SocketAddr;
use std::sync::Arc;

use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use sesamerock_client::http::body::{self, Body, CollectError};
use sesamerock_client::http::server::Handler;
use tokio::time::Instant;

use super::operator::{not_found, readiness, text};
use super::request::{self, CallRequest};
use super::{Context, dispatch, entries};
use crate::problem::Problem;

/// HTTP handler for the caller address.
#[derive(Debug)]
pub struct Caller {
    context: Arc<Context>,
}

impl Caller {
    /// Creates a handler that dispatches calls with the shared state of
    /// `context`.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn call(&self, id: &str, parts: &Parts, content: Incoming) -> Response<Body> {
        match self.read(id, parts, content).await {
            Ok(request) => dispatch::run(Arc::clone(&self.context), request).await,
            Err(problem) => problem.respond(id),
        }
    }

    async fn read(
        &self,
        id: &str,
        parts: &Parts,
        content: Incoming,
    ) -> Result<CallRequest, Problem> {
        let arrived = Instant::now();
        let settings = &self.context.settings;
        let read = body::collect(content, settings.body_bytes);
        let body = match tokio::time::timeout(settings.body_timeout, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(CollectError::TooLong)) => {
                let detail = format!("the body is longer than {} bytes", settings.body_bytes);
                return Err(refused(StatusCode::PAYLOAD_TOO_LARGE, detail));
            }
            Ok(Err(CollectError::Broken(detail))) => {
                return Err(refused(StatusCode::BAD_REQUEST, detail));
            }
            Err(_) => {
                return Err(refused(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body took too long",
                ));
            }
        };
        CallRequest::read(
            id.to_owned(),
            parts,
            body,
            arrived,
            settings.request_timeout,
        )
    }
}

impl Handler for Caller {
    async fn handle(&self, peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (parts, content) = request.into_parts();
        let id = request::id(&parts.headers);
        let path = parts.uri.path();
        match (&parts.method, path) {
            (&Method::GET, "/v1/entries") => entries::respond(&self.context, &parts),
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => readiness(&self.context),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.call(&id, &parts, content).await
            }
            (&Method::POST, "/v1/keys") => {
                dispatch::issue(&self.context, &id, parts.uri.query().unwrap_or_default()).await
            }
            (_, path) if path.starts_with("/services/") => self.call(&id, &parts, content).await,
            _ => {
                log::debug!("event=unknown_path peer={peer} path={path:?}");
                not_found()
            }
        }
    }
}

fn refused(status: StatusCode, detail: impl Into<String>) -> Problem {
    Problem::refused(status, "invalid-request", detail)
}
