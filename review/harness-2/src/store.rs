//! The platform's store: keyed topics with one partition, which can be away and come back from a
//! copy.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

type Topic = Vec<(String, Vec<u8>)>;

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// When each record was written, by topic and offset.
    written: HashMap<String, Vec<Instant>>,
    era: u64,
    is_away: bool,
    leader: Option<(String, Instant)>,
    generation: u64,
}

/// The store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind((crate::machine_ip(200), 0)).expect("no store");
        let address = listener.local_addr().expect("no address");
        let state = State {
            era: 1,
            generation: 1,
            ..State::default()
        };
        let store = Self {
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let own = store.clone();
        http::serve(listener, move |request, stream| {
            own.answer(&request, stream)
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a record and returns its offset; an empty value drops the key. `None` while the store
    /// is away.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> Option<usize> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        Some(append(&mut state, topic, key, value))
    }

    /// Makes the store unreachable: connections are closed without an answer.
    pub fn leave(&self) {
        self.lock().is_away = true;
    }

    /// Brings the store back from a copy that was made `age` before it left at `left`.
    pub fn restore(&self, left: Instant, age: Duration) -> Vec<(String, usize, usize)> {
        let mut state = self.lock();
        let copied = left.checked_sub(age).expect("copy before the start");
        let mut lost = Vec::new();
        let State {
            topics, written, ..
        } = &mut *state;
        for (name, records) in topics.iter_mut() {
            let times = written.entry(name.clone()).or_default();
            let kept = times.iter().take_while(|at| **at <= copied).count();
            lost.push((name.clone(), kept, records.len()));
            records.truncate(kept);
            times.truncate(kept);
        }
        state.era += 1;
        state.is_away = false;
        lost
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        if self.lock().is_away {
            return Ok(false);
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let (status, body) = match request.path() {
            "/v1/log-newest" => ("200 OK", newest(&self.lock(), &topic)),
            "/v1/log-read" => match self.read(request, &topic) {
                Some(answer) => answer,
                None => return Ok(false),
            },
            "/v1/log-append" => {
                let mut state = self.lock();
                let mut rest = request.body.as_slice();
                let offset = state.topics.get(&topic).map_or(0, Vec::len);
                while rest.len() > 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
                    let record = &rest[4..4 + length as usize];
                    let key = usize::from(record[0]);
                    let name = String::from_utf8_lossy(&record[1..=key]).into_owned();
                    append(&mut state, &topic, &name, &record[1 + key..]);
                    rest = &rest[4 + length as usize..];
                }
                let end = state.topics.get(&topic).map_or(0, Vec::len);
                let body = format!(r#"{{"offset":{offset},"end":{end}}}"#);
                ("200 OK", body.into_bytes())
            }
            "/v1/log-join" => ("200 OK", join(&mut self.lock(), &request.body)),
            "/v1/log-leave" => ("200 OK", b"{}".to_vec()),
            _ => ("404 Not Found", Vec::new()),
        };
        let era = self.lock().era.to_string();
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let headers = [("Store-Era", era.as_str()), ("Request-Id", id.as_str())];
        http::reply(stream, status, &headers, &body)
    }

    /// Answers a read, or returns `None` if the store leaves meanwhile.
    fn read(&self, request: &Message, topic: &str) -> Option<(&'static str, Vec<u8>)> {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let era = self.lock().era;
        loop {
            {
                let state = self.lock();
                if state.is_away || state.era != era {
                    return None;
                }
                let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
                if from > records.len() {
                    return Some(("410 Gone", br#"{"first":0}"#.to_vec()));
                }
                if records.len() > from || Instant::now() >= until {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0_u64.to_be_bytes());
                    for (key, value) in &records[from..] {
                        body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key.as_bytes());
                        body.extend(value);
                    }
                    return Some(("200 OK", body));
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn append(state: &mut State, topic: &str, key: &str, value: &[u8]) -> usize {
    let records = state.topics.entry(topic.to_owned()).or_default();
    records.push((key.to_owned(), value.to_vec()));
    let offset = records.len() - 1;
    let times = state.written.entry(topic.to_owned()).or_default();
    times.push(Instant::now());
    offset
}

fn newest(state: &State, topic: &str) -> Vec<u8> {
    let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let kept = newest.iter().filter(|(_, (_, value))| !value.is_empty());
    let items: Vec<String> = kept
        .map(|(key, (offset, value))| {
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    format!(r#"{{"items":[{items}],"truncated":false,"end":{end}}}"#).into_bytes()
}

/// Gives the only partition to one member until its time is over.
fn join(state: &mut State, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body).into_owned();
    let member = text.split(r#""member":""#).nth(1);
    let member = member.and_then(|it| it.split('"').next()).unwrap_or("");
    let now = Instant::now();
    let other = state.leader.as_ref();
    let is_held = other.is_some_and(|(leader, until)| leader != member && *until > now);
    if !is_held {
        if state.leader.as_ref().is_none_or(|it| it.0 != member) {
            state.generation += 1;
        }
        state.leader = Some((member.to_owned(), now + Duration::from_secs(1)));
    }
    let parts = if is_held {
        ""
    } else {
        r#"["sesamerock-lead",0,null]"#
    };
    let generation = state.generation;
    format!(r#"{{"generation":{generation},"parts":[{parts}]}}"#).into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0_u32;
        for index in 0..3 {
            value = value << 8 | u32::from(group.get(index).copied().unwrap_or_default());
        }
        for index in 0..4 {
            let digit = (value >> (18 - 6 * index)) as usize & 63;
            text.push(if index <= group.len() {
                char::from(ALPHABET[digit])
            } else {
                '='
            });
        }
    }
    text
}
