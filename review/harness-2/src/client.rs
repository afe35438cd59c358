//! Consumers.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// Sends a GET request without a key on a new connection.
pub fn get(to: SocketAddr, target: &str, longest: Duration) -> io::Result<Message> {
    let text = format!("GET {target} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n");
    exchange(to, text.as_bytes(), longest)
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, request: &[u8], longest: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(longest))?;
    stream.set_write_timeout(Some(longest))?;
    stream.write_all(request)?;
    let answer = http::read(&mut BufReader::new(stream), true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the text of a consumer's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    )
}
