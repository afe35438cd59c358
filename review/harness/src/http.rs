//! The little of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Largest head that a stand-in reads.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The first line and the headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request with its query.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Reads a head. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut size = 0;
    loop {
        let mut line = Vec::new();
        let limit = (MAX_HEAD_BYTES - size) as u64;
        let read = reader.by_ref().take(limit).read_until(b'\n', &mut line)?;
        size += read;
        if read == 0 {
            return if head.first.is_empty() {
                Ok(None)
            } else {
                Err(invalid("the connection ended in a head"))
            };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces. Without a length it goes on to the end of the
/// connection, where `to_end` allows that.
pub fn read_body(reader: &mut impl BufRead, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
    let chunked = head.field("transfer-encoding").is_some();
    if chunked {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let mut body = Vec::new();
    match head.field("content-length") {
        Some(length) => {
            body.resize(length.parse().map_err(|_| invalid("length"))?, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    /// Further headers.
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Returns the bytes of the request.
    pub fn encode(&self) -> Vec<u8> {
        let Self {
            method,
            path,
            host,
            id,
            ..
        } = self;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
             Content-Length: {}\r\n",
            self.deadline.as_millis(),
            self.body.len()
        );
        for (name, value) in self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// What a consumer saw of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer with this status; whether it bears a server's signature.
    Answer(u16, bool),
    /// The channel ended without a complete answer.
    Closed(String),
    /// No complete answer came in the time that the consumer waits.
    Nothing,
    /// The channel could not be opened.
    Unconnected,
}

/// Sends a request on a new channel, waits for its answer at most `patience`, and closes the
/// channel. Returns what was seen, and how long it took.
pub fn exchange(to: SocketAddr, request: &Request<'_>, patience: Duration) -> (Seen, Duration) {
    let begin = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return (Seen::Unconnected, begin.elapsed());
    };
    let seen = exchange_on(&mut stream, request, patience);
    (seen, begin.elapsed())
}

/// Like [`exchange`], on a channel that is open.
pub fn exchange_on(stream: &mut TcpStream, request: &Request<'_>, patience: Duration) -> Seen {
    let end = Instant::now() + patience;
    // The timeout of the socket holds for each read; a whole answer comes in few of them.
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))));
    if let Err(error) = stream.write_all(&request.encode()) {
        return Seen::Closed(format!("write: {:?}", error.kind()));
    }
    let mut reader = BufReader::new(stream);
    let answer = read_head(&mut reader).and_then(|head| {
        let Some(head) = head else {
            return Ok(None);
        };
        read_body(&mut reader, &head, true)?;
        Ok(Some(head))
    });
    match answer {
        Ok(Some(head)) => Seen::Answer(head.status(), head.field("response-signature").is_some()),
        Ok(None) => Seen::Closed("no byte of an answer".to_owned()),
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) || Instant::now() >= end =>
        {
            Seen::Nothing
        }
        Err(error) => Seen::Closed(format!("read: {:?}", error.kind())),
    }
}
