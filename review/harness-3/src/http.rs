//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message with its first line, headers in order, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = line.trim_end();
        if header.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = header.split_once(':') {
            let pair = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(pair);
        }
    }
}

/// Reads the body that the headers describe.
pub fn read_body(
    stream: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    let chunked = message.header("transfer-encoding");
    if chunked.is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or_default();
            let start = message.body.len();
            message.body.resize(start + size, 0);
            stream.read_exact(&mut message.body[start..])?;
            stream.read_line(&mut line)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length");
    match length.and_then(|it| it.parse::<usize>().ok()) {
        Some(length) => {
            message.body.resize(length, 0);
            stream.read_exact(&mut message.body)
        }
        None if is_response => stream.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

/// Writes a complete response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a consumer has seen of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Status, or 0 without an answer.
    pub status: u16,
    pub text: String,
    pub took: Duration,
    pub error: String,
    pub signed: bool,
}

/// Sends one request on a connection of its own and waits for the answer until `patience` is over.
pub fn ask(address: SocketAddr, request: &[u8], patience: Duration) -> Seen {
    let start = Instant::now();
    let result = exchange(address, request, patience);
    let took = start.elapsed();
    match result {
        Ok(answer) => Seen {
            status: answer.status(),
            text: answer.text(),
            took,
            error: String::new(),
            signed: answer.header("response-signature").is_some(),
        },
        Err(error) => Seen {
            status: 0,
            text: String::new(),
            took,
            error: error.to_string(),
            signed: false,
        },
    }
}

fn exchange(address: SocketAddr, request: &[u8], patience: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

/// Returns the bytes of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token key-of-one\r\nContent-Length: {}\r\n",
        deadline.as_millis(),
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
