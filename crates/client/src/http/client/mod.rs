//! HTTP client whose errors distinguish requests that were never sent from those
//! that may have had an effect.

use std::time::Duration;

use bytes::Bytes;
use http::uri::Authority;
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Builder, Client as Pool};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use super::body;
use crate::error::Error;

/// Maximum length of the response body kept in [`Error::Refused`], in bytes.
const MAX_DETAIL_BYTES: usize = 512;

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout for a JSON request and its complete answer.
    pub json_timeout: Duration,
    /// Maximum length of a JSON answer, in bytes.
    pub json_bytes: usize,
    /// Maximum number of idle connections kept per host.
    pub idle_per_host: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            json_timeout: Duration::from_secs(2),
            json_bytes: 16 << 20,
            idle_per_host: 256,
        }
    }
}

/// An HTTP client that pools its connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    settings: Settings,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Client {
    /// Creates a client with an empty connection pool.
    pub fn new(settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let pool = Builder::new(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .pool_max_idle_per_host(settings.idle_per_host)
            .build(connector);
        Self { pool, settings }
    }

    /// Sends a request over a pooled connection.
    ///
    /// If the peer has closed the pooled connection, the HTTP library retries a
    /// request that was never sent. Use [`Client::connect`] for a request that
    /// must not be repeated.
    ///
    /// # Errors
    /// [`Error::NotSent`] if no connection could be made, otherwise
    /// [`Error::Unknown`].
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::NotSent(error.to_string())
            } else {
                Error::Unknown(error_chain(&error))
            }
        })
    }

    /// Opens a connection outside the pool, for a request that is sent at most once.
    ///
    /// # Errors
    /// [`Error::NotSent`] if the connection could not be made.
    pub async fn connect(&self, authority: &Authority) -> Result<SingleUseConnection, Error> {
        let connect = TcpStream::connect(authority.as_str());
        let stream = tokio::time::timeout(self.settings.connect_timeout, connect)
            .await
            .map_err(not_sent)?
            .map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        tokio::spawn(connection);
        let host = HeaderValue::from_str(authority.as_str()).map_err(not_sent)?;
        Ok(SingleUseConnection { sender, host })
    }

    /// Gets a JSON document. `wait` extends the timeout, for long polling.
    ///
    /// # Errors
    /// Any [`Error`]; a status other than 2xx is [`Error::Refused`].
    pub async fn get<T: DeserializeOwned>(&self, uri: &str, wait: Duration) -> Result<T, Error> {
        let request = Request::get(uri).body(Full::default()).map_err(not_sent)?;
        self.exchange(request, wait).await
    }

    /// Posts a JSON document and reads a JSON answer.
    ///
    /// # Errors
    /// Any [`Error`]; a status other than 2xx is [`Error::Refused`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        uri: &str,
        content: &impl Serialize,
    ) -> Result<T, Error> {
        let content = serde_json::to_vec(content).map_err(not_sent)?;
        let request = Request::post(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::from(content))
            .map_err(not_sent)?;
        self.exchange(request, Duration::ZERO).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<T, Error> {
        let limit = self.settings.json_timeout + wait;
        let read = async {
            let response = self.send(request).await?;
            let status = response.status();
            let content = body::collect(response.into_body(), self.settings.json_bytes)
                .await
                .map_err(|error| Error::Unknown(format!("{error:?}")))?;
            if status.is_success() {
                return serde_json::from_slice(&content)
                    .map_err(|error| Error::Malformed(error.to_string()));
            }
            let end = content.len().min(MAX_DETAIL_BYTES);
            let detail = String::from_utf8_lossy(&content[..end]).into_owned();
            Err(Error::Refused {
                status: status.as_u16(),
                detail,
            })
        };
        tokio::time::timeout(limit, read)
            .await
            .unwrap_or_else(|elapsed| Err(Error::Unknown(elapsed.to_string())))
    }
}

/// A client bound to the base URL of one service of the platform.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: Client,
    base: String,
}

impl ServiceClient {
    /// Creates a client for the service at `base`, such as `http://127.0.0.1:80`.
    pub fn new(client: Client, base: impl Into<String>) -> Self {
        Self {
            client,
            base: base.into(),
        }
    }

    /// Gets a JSON document; the service may delay its answer by up to `wait`.
    ///
    /// # Errors
    /// As [`Client::get`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, Error> {
        self.client.get(&format!("{}{path}", self.base), wait).await
    }

    /// Posts a JSON document and reads a JSON answer.
    ///
    /// # Errors
    /// As [`Client::post`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        content: &impl Serialize,
    ) -> Result<T, Error> {
        self.client
            .post(&format!("{}{path}", self.base), content)
            .await
    }
}

/// An open connection that is used for exactly one request.
#[derive(Debug)]
pub struct SingleUseConnection {
    sender: SendRequest<Full<Bytes>>,
    host: HeaderValue,
}

impl SingleUseConnection {
    /// Sends the request and consumes the connection.
    ///
    /// # Errors
    /// [`Error::Unknown`], since some bytes may have been sent.
    pub async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        request.headers_mut().insert(http::header::HOST, self.host);
        if let Some(path) = request.uri().path_and_query().cloned() {
            *request.uri_mut() = Uri::from(path);
        }
        self.sender
            .send_request(request)
            .await
            .map_err(|error| Error::Unknown(error_chain(&error)))
    }
}

fn not_sent(error: impl std::fmt::Display) -> Error {
    Error::NotSent(error.to_string())
}

/// Joins the texts of an error and its causes; the outermost text of a hyper error
/// rarely names the cause.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
