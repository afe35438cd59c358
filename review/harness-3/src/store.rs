//! Stand-in for the platform's metadata store: keyed topics, reads that wait, and groups.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    /// Members with the time of their last join and how long they stay without another.
    members: BTreeMap<String, (Instant, Duration)>,
    /// Member that holds all partitions.
    holder: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    groups: HashMap<String, Group>,
    /// Topic whose partition is down, if one is: its calls get no answer.
    silent: Option<String>,
    /// Topic whose calls are refused with 503, if there is one.
    busy: Option<String>,
    /// When reads have handed out the latest record of the servers, one for each reader.
    handed_out: Vec<Instant>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key, value.as_bytes().to_vec());
    }

    /// Begins the outage of one topic, whose calls get no answer, also those that wait, or ends it.
    pub fn silence(&self, topic: Option<&str>) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.silent = topic.map(str::to_owned);
        drop(state);
        self.state.1.notify_all();
    }

    /// Begins the outage of one topic, whose calls are refused, also those that wait, or ends it.
    pub fn refuse(&self, topic: Option<&str>) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.busy = topic.map(str::to_owned);
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns when reads handed out the latest record of the servers.
    pub fn handed_out(&self) -> Vec<Instant> {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.handed_out.clone()
    }

    fn append(&self, topic: &str, key: &str, value: Vec<u8>) -> u64 {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value));
        let end = records.len() as u64;
        if topic == "keyed.servers" {
            state.handed_out.clear();
        }
        drop(state);
        self.state.1.notify_all();
        end
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut request, false)?;
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| field(name).and_then(|it| it.parse().ok()).unwrap_or(0_u64);
        let topic = field("topic").unwrap_or_default();
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.silent.as_deref() == Some(topic) {
            drop(state);
            return hang();
        }
        if state.busy.as_deref() == Some(topic) {
            drop(state);
            return http::respond(writer, "503 Busy", &[("Request-Id", &id)], b"");
        }
        let (kind, body) = match path {
            "/v1/log-newest" => ("application/json", newest(&state, topic).into_bytes()),
            "/v1/log-read" => {
                let (from, wait) = (number("from"), number("waitMs"));
                let until = Instant::now() + Duration::from_millis(wait);
                while records(&state, topic).len() as u64 <= from
                    && Instant::now() < until
                    && state.busy.as_deref() != Some(topic)
                {
                    let left = until.saturating_duration_since(Instant::now());
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                    if state.silent.as_deref() == Some(topic) {
                        drop(state);
                        return hang();
                    }
                }
                if state.busy.as_deref() == Some(topic) {
                    drop(state);
                    return http::respond(writer, "503 Busy", &[("Request-Id", &id)], b"");
                }
                let all = records(&state, topic).len() as u64;
                if topic == "keyed.servers" && from < all {
                    state.handed_out.push(Instant::now());
                }
                let records = records(&state, topic);
                let end = records.len() as u64;
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from as usize) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                ("application/octet-stream", body)
            }
            "/v1/log-append" => {
                drop(state);
                let mut rest = request.body.as_slice();
                let mut end = 0;
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    let key = &record[1..1 + usize::from(record[0])];
                    let value = record[1 + key.len()..].to_vec();
                    end = self.append(topic, &String::from_utf8_lossy(key), value);
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{},\"end\":{end}}}", end.saturating_sub(1));
                ("application/json", body.into_bytes())
            }
            "/v1/log-join" => {
                let text = request.text();
                let group = text_field(&text, "group");
                let member = text_field(&text, "member");
                let ttl = Duration::from_millis(number_field(&text, "ttlMs"));
                let known = state.groups.entry(group).or_default();
                let now = Instant::now();
                let size = known.members.len();
                known
                    .members
                    .retain(|_, (at, ttl)| now.duration_since(*at) < *ttl);
                let left = known.members.len() != size;
                let joined = known.members.insert(member.clone(), (now, ttl)).is_none();
                if left || joined {
                    known.generation += 1;
                }
                let lapsed = known
                    .holder
                    .as_ref()
                    .is_none_or(|it| !known.members.contains_key(it));
                if lapsed {
                    known.holder = Some(member.clone());
                    known.generation += 1;
                }
                let held = known.holder.as_deref() == Some(member.as_str());
                let parts = if held {
                    "[[\"sesamerock-lead\",0,0]]"
                } else {
                    "[]"
                };
                let body = format!("{{\"generation\":{},\"parts\":{parts}}}", known.generation);
                ("application/json", body.into_bytes())
            }
            "/v1/log-leave" => {
                let text = request.text();
                let member = text_field(&text, "member");
                let known = state.groups.entry(text_field(&text, "group")).or_default();
                known.members.remove(&member);
                known.generation += 1;
                if known.holder.as_deref() == Some(member.as_str()) {
                    known.holder = None;
                }
                ("application/json", b"{}".to_vec())
            }
            _ => {
                drop(state);
                return http::respond(writer, "404 Not Found", &[], b"");
            }
        };
        http::respond(
            writer,
            "200 OK",
            &[("Content-Type", kind), ("Request-Id", &id)],
            &body,
        )
    }
}

/// Leaves a call without an answer. Its channel returns nothing further.
fn hang() -> io::Result<()> {
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn records<'a>(state: &'a State, topic: &str) -> &'a [(String, Vec<u8>)] {
    state.topics.get(topic).map_or(&[], Vec::as_slice)
}

fn newest(state: &State, topic: &str) -> String {
    let records = records(state, topic);
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    newest.retain(|_, (_, value)| !value.is_empty());
    let items = newest.iter().map(|(key, (offset, value))| {
        let value = base64(value);
        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
    });
    let items: Vec<String> = items.collect();
    format!(
        "{{\"items\":[{}],\"truncated\":false,\"end\":{}}}",
        items.join(","),
        records.len()
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let all = three
            .iter()
            .fold(0_u32, |all, byte| all << 8 | u32::from(*byte));
        let all = all << (8 * (3 - three.len()));
        for digit in 0..4 {
            text.push(if digit <= three.len() {
                char::from(DIGITS[(all >> (18 - 6 * digit) & 63) as usize])
            } else {
                '='
            });
        }
    }
    text
}

fn text_field(json: &str, name: &str) -> String {
    let rest = json
        .split_once(&format!("\"{name}\":\""))
        .map(|(_, rest)| rest);
    let value = rest.and_then(|rest| rest.split_once('"'));
    value.map(|(value, _)| value.to_owned()).unwrap_or_default()
}

fn number_field(json: &str, name: &str) -> u64 {
    let rest = json
        .split_once(&format!("\"{name}\":"))
        .map(|(_, rest)| rest);
    let digits = rest
        .unwrap_or_default()
        .chars()
        .take_while(char::is_ascii_digit);
    digits.collect::<String>().parse().unwrap_or_default()
}
