//! The HTTP server for readiness, gateway addresses and metrics.
//!
//! Nobody controls the clients of these ports either. Each port has a registry of its connections and
//! a budget of its own, so that a crowd at one of them takes neither the memory of the process nor the
//! connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::callers::{self, Registry};
use crate::memory::Budget;
use crate::pool;
use crate::relay::answer::{Body, local_response};
use crate::socket::Socket;

/// Time without a request header after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest header of a request: the least that the HTTP library can be limited to.
const MAX_HEADER_BYTES: usize = 8 << 10;
/// Share of a port in the memory for requests and answers of callers.
const MEMORY_DIVISOR: usize = 8;

/// Returns the connections of one port of a process that may hold `max_buffered` bytes of callers.
pub fn registry(settings: callers::Settings, max_buffered: usize) -> Arc<Registry> {
    let budget = Budget::new(max_buffered / MEMORY_DIVISOR);
    Arc::new(Registry::new(settings, Arc::new(budget)))
}

/// Serves HTTP/1 on a listener, answering each request by `answer`. Never returns.
pub async fn serve<F>(listener: TcpListener, clients: Arc<Registry>, answer: F)
where
    F: Fn(&Request<Incoming>) -> Response<Body> + Clone + Send + Sync + 'static,
{
    tokio::spawn(Arc::clone(&clients).watch());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (clients, answer) = (Arc::clone(&clients), answer.clone());
                tokio::spawn(serve_connection(stream, clients, answer));
            }
            Err(error) => {
                log::warn!("event=edge_accept_failed reason=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection<F>(stream: TcpStream, clients: Arc<Registry>, answer: F)
where
    F: Fn(&Request<Incoming>) -> Response<Body>,
{
    if let Err(error) = pool::set_socket_options(&stream) {
        log::debug!("event=connection_untuned reason=\"{error}\"");
    }
    let peer = match stream.peer_addr() {
        Ok(peer) => peer,
        Err(error) => {
            log::debug!("event=edge_connection_lost reason=\"{error}\"");
            return;
        }
    };
    let socket = Socket::new(stream);
    socket.limit_send_buffer(callers::SEND_BUFFER);
    let registration = clients.register(socket.clone(), peer);
    let service = service_fn(|request: Request<Incoming>| {
        let response = answer(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        served = connection => {
            if let Err(error) = served {
                log::debug!("event=edge_connection_lost reason=\"{error}\"");
            }
        }
        () = registration.caller.closed() => {}
    }
}

/// Returns a response with status 404.
pub fn not_found() -> Response<Body> {
    local_response(StatusCode::NOT_FOUND, "unknown path")
}
