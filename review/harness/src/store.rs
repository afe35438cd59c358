//! Stand-in of the platform's store: a log with keyed topics.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
    members: Vec<(String, Instant, Duration)>,
    generation: u64,
    holder: Option<String>,
    /// Topics whose partition is down: its calls are answered with 503.
    down: HashSet<String>,
}

/// The store, which runs until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind the store");
        let address = listener.local_addr().expect("address");
        let store = Self {
            address,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of a keyed topic, as operator or server.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
    }

    /// Takes the partition of a topic down, or up again.
    pub fn set_down(&self, topic: &str, down: bool) {
        let mut state = self.state.0.lock().unwrap();
        if down {
            state.down.insert(topic.to_owned());
        } else {
            state.down.remove(topic);
        }
        self.state.1.notify_all();
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut state = self.state.0.lock().unwrap();
        let log = state.topics.entry(topic.to_owned()).or_default();
        let offset = log.len() as u64;
        log.extend(records);
        let end = log.len() as u64;
        self.state.1.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else {
                return;
            };
            let (status, answer) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&answer);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or_default().to_owned();
        if self.state.0.lock().unwrap().down.contains(&topic) {
            return (503, Vec::new());
        }
        match path {
            "/v1/log-append" => {
                let mut records = Vec::new();
                let mut rest = body;
                while rest.len() >= 4 {
                    let size = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    records.push(rest[4..4 + size].to_vec());
                    rest = &rest[4 + size..];
                }
                let (offset, end) = self.append(&topic, records);
                (
                    200,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            "/v1/log-read" => {
                let from: usize = query
                    .get("from")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = query
                    .get("waitMs")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0);
                self.read(&topic, from, Duration::from_millis(wait))
            }
            "/v1/log-newest" => (200, self.newest(&topic)),
            "/v1/log-join" => (200, self.join(&String::from_utf8_lossy(body))),
            "/v1/log-leave" => {
                let text = String::from_utf8_lossy(body).into_owned();
                let member = text_field(&text, "member");
                let mut state = self.state.0.lock().unwrap();
                state.members.retain(|(name, ..)| *name != member);
                if state.holder.as_deref() == Some(&member) {
                    state.holder = None;
                }
                state.generation += 1;
                (200, b"{}".to_vec())
            }
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.down.contains(topic) {
                return (503, Vec::new());
            }
            let length = state.topics.get(topic).map_or(0, Vec::len);
            let left = end.saturating_duration_since(Instant::now());
            if length > from || left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let log = state
            .topics
            .get(topic)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut answer = (log.len() as u64).to_be_bytes().to_vec();
        answer.extend_from_slice(&0_u64.to_be_bytes());
        for record in log.iter().skip(from) {
            answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
            answer.extend_from_slice(record);
        }
        (200, answer)
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let log = state
            .topics
            .get(topic)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let size = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=size]).into_owned();
            newest.insert(key, (offset, &record[1 + size..]));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let items = items.join(",");
        let end = log.len();
        format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}").into_bytes()
    }

    fn join(&self, text: &str) -> Vec<u8> {
        let member = text_field(text, "member");
        let ttl = text.split("\"ttlMs\":").nth(1).unwrap_or("1000");
        let ttl: String = ttl.chars().take_while(char::is_ascii_digit).collect();
        let ttl = Duration::from_millis(ttl.parse().unwrap_or(1000));
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        let before = state.members.len();
        state
            .members
            .retain(|(_, at, ttl)| now.duration_since(*at) < *ttl);
        let mut changed = state.members.len() != before;
        match state.members.iter_mut().find(|(name, ..)| *name == member) {
            Some(known) => known.1 = now,
            None => {
                state.members.push((member.clone(), now, ttl));
                changed = true;
            }
        }
        let holds = state.holder.clone();
        if !holds.is_some_and(|holder| state.members.iter().any(|(name, ..)| *name == holder)) {
            state.holder = Some(member.clone());
            changed = true;
        }
        state.generation += u64::from(changed);
        let parts = if state.holder.as_deref() == Some(&member) {
            "[\"sesamerock-lead\",0,0]"
        } else {
            ""
        };
        let generation = state.generation;
        format!("{{\"generation\":{generation},\"ttlMs\":1000,\"parts\":[{parts}]}}").into_bytes()
    }
}

/// Returns a text field of a small JSON object.
fn text_field(text: &str, name: &str) -> String {
    let begin = format!("\"{name}\":\"");
    let value = text.split(&begin).nth(1).unwrap_or_default();
    value.split('"').next().unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let value = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= part.len() {
                text.push(char::from(
                    DIGITS[(value >> (18 - 6 * index)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}
