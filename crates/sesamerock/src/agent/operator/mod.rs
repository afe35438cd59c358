//! HTTP endpoints of an agent for operators: health, group status and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sesamerock_client::engine::Engine;
use sesamerock_client::http::body::Body;
use sesamerock_client::http::server::Handler;

use super::Context;
use super::group::Status;
use super::probe::Observation;
use crate::entry::operator::{json, not_found, text};

/// Serves `/healthz`, `/readyz`, `/group` and `/metrics`.
#[derive(Debug)]
pub struct Operator<E> {
    context: Arc<Context<E>>,
}

impl<E> Operator<E> {
    /// Creates the handler on the state of an agent.
    pub fn new(context: Arc<Context<E>>) -> Self {
        Self { context }
    }

    fn ready(&self) -> Response<Body> {
        let view = self.context.control.view();
        let alive = matches!(self.context.probe.observation(), Observation::Alive(_));
        if alive && view.in_contact() && !view.leaving() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

impl<E: Engine> Handler for Operator<E> {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/readyz" => self.ready(),
            "/group" => {
                let status = Status {
                    stalled: self.context.stalled.get(),
                    ..self.context.group.status()
                };
                json(StatusCode::OK, &status)
            }
            "/metrics" => text(StatusCode::OK, self.context.metrics.render()),
            _ => not_found(),
        }
    }
}
