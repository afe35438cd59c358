//! Stand-in of model servers that are the ranks of one group and make their passes together.
//!
//! As the pages say, ranks don't compare maps. The stand-in does, as the bench would: it notes each
//! pass that begins while two ranks have different maps.

use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::random::Random;
use crate::record::Record;

pub const SETS: usize = 3;
pub const EXPERTS: usize = 96;
/// Copy of the experts of one map: 2,200 MB each at 44,000 Mbit/s.
const COPY: Duration = Duration::from_millis(400);
/// A pass of four steps with half of the slots taken.
const PASS: Duration = Duration::from_millis(40);
/// Experts that most requests choose.
const LIKED: usize = 8;
/// Those of them that change at a shift: a share of 0.625.
const SHIFTED: usize = 5;
/// Events of a stream, one a pass.
const EVENTS: usize = 24;

/// How answers are disturbed, while that is switched on.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Servers, of all, that send extra answers.
    pub extra_servers: usize,
    /// Share of their answers that they send again, late, as the next answer is due.
    pub extra: f64,
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    pub late: f64,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    fence: u64,
    map: u64,
    /// Contents of the map in use and of the one that is prepared, as they were ordered.
    content: String,
    prepared: Option<(u64, String, Option<Instant>)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
}

#[derive(Debug, Default)]
struct State {
    step: u64,
    running: usize,
    ranks: Vec<Rank>,
    liked: Vec<Vec<usize>>,
    switches: u64,
    violations: u64,
}

pub struct Group {
    state: Mutex<State>,
    stepped: Condvar,
    record: Arc<Record>,
    random: Random,
    trouble: Trouble,
    pub is_troubled: AtomicBool,
    pub addresses: Vec<SocketAddr>,
    born: u64,
}

impl Group {
    /// Starts the ranks, one at each address, and the passes.
    pub fn start(ips: &[IpAddr], seed: u64, trouble: Trouble, record: &Arc<Record>) -> Arc<Self> {
        let listeners = ips
            .iter()
            .map(|ip| TcpListener::bind((*ip, 0)).expect("bind a rank"));
        let listeners: Vec<TcpListener> = listeners.collect();
        let addresses = listeners.iter().map(|it| it.local_addr().expect("address"));
        let rank = Rank {
            counts: vec![0; SETS * EXPERTS],
            ..Rank::default()
        };
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let group = Arc::new(Self {
            state: Mutex::new(State {
                ranks: vec![rank; ips.len()],
                ..State::default()
            }),
            stepped: Condvar::new(),
            record: Arc::clone(record),
            random: Random::new(seed),
            trouble,
            is_troubled: AtomicBool::new(false),
            addresses: addresses.collect(),
            born: now.expect("time").as_millis() as u64,
        });
        group.shift();
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || {
                        let _ = group.serve(index, stream);
                    });
                }
            });
        }
        let passing = Arc::clone(&group);
        thread::spawn(move || passing.pass());
        group
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns the switches and the passes that began with different maps.
    pub fn results(&self) -> (u64, u64) {
        let state = self.state();
        (state.switches, state.violations)
    }

    pub fn entry(&self, index: usize, zone: &str) -> String {
        format!(
            "{{\"service\":\"assist\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":12,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":0,\"born\":{}}}",
            self.addresses[index], self.born
        )
    }

    /// Changes which experts are in demand: the first time all, later [`SHIFTED`] of each set.
    pub fn shift(&self) {
        let mut state = self.state();
        if state.liked.is_empty() {
            state.liked = vec![vec![0; LIKED]; SETS];
            for liked in state.liked.iter_mut().flatten() {
                *liked = self.random.below(EXPERTS);
            }
            return;
        }
        for liked in &mut state.liked {
            liked.rotate_left(SHIFTED);
            for expert in &mut liked[LIKED - SHIFTED..] {
                *expert = self.random.below(EXPERTS);
            }
        }
    }

    /// Makes passes while there is work.
    fn pass(&self) {
        loop {
            thread::sleep(PASS);
            let mut state = self.state();
            let next = state.step + 1;
            if state.running == 0 || state.ranks.iter().any(|rank| rank.held == Some(next)) {
                continue;
            }
            state.step = next;
            let liked = state.liked.clone();
            let mut has_switched = false;
            for rank in &mut state.ranks {
                if rank.armed.is_some_and(|(_, step)| step == next)
                    && let Some((version, content, _)) = rank.prepared.take()
                {
                    rank.map = version;
                    rank.content = content;
                    rank.armed = None;
                    has_switched = true;
                }
                for set in 0..SETS {
                    for expert in 0..EXPERTS {
                        rank.counts[set * EXPERTS + expert] += 1;
                    }
                    for expert in &liked[set] {
                        rank.counts[set * EXPERTS + expert] += 24;
                    }
                }
            }
            state.switches += u64::from(has_switched);
            let first = &state.ranks[0];
            let differs = |rank: &Rank| rank.map != first.map || rank.content != first.content;
            if state.ranks.iter().any(differs) {
                state.violations += 1;
                if has_switched {
                    let maps: Vec<u64> = state.ranks.iter().map(|rank| rank.map).collect();
                    self.record
                        .say(format_args!("pass {next} begins with maps {maps:?}"));
                }
            }
            drop(state);
            self.stepped.notify_all();
        }
    }

    fn is_troubled(&self) -> bool {
        self.is_troubled.load(Ordering::Relaxed)
    }

    fn serve(self: &Arc<Self>, index: usize, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // An answer that this server will send again.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head, false)?;
            if let Some(extra) = extra.take() {
                self.record.line(format_args!(
                    "rank {index} sends an answer again, as that to {} is due",
                    describe(&head, &body)
                ));
                writer.write_all(&extra)?;
            }
            let is_order = head.path() == "/v1/order";
            if is_order && self.is_troubled() && self.random.share() < self.trouble.late {
                let delay = Duration::from_millis(2_000 + self.random.below(10_000) as u64);
                let text = describe(&head, &body);
                self.record.line(format_args!(
                    "rank {index} will carry out {text} in {} ms, unanswered",
                    delay.as_millis()
                ));
                let group = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(delay);
                    let status = group.order(index, &head, &body);
                    group
                        .record
                        .line(format_args!("rank {index} has late {text}: {status}"));
                });
                // Nothing further comes on this channel.
                thread::sleep(Duration::from_secs(13));
                return Ok(());
            }
            if !head.path().starts_with("/v1/") {
                self.stream(&head, &mut writer)?;
                continue;
            }
            let (status, text) = match head.path() {
                "/v1/report" => (200, self.report(index)),
                "/v1/order" => {
                    let status = self.order(index, &head, &body);
                    let text = describe(&head, &body);
                    self.record
                        .line(format_args!("rank {index} has {text}: {status}"));
                    (status, "{}".to_owned())
                }
                path if path.starts_with("/v1/picked") => (200, self.picked(index, path)),
                _ => (404, String::new()),
            };
            let id = head
                .field("request-id")
                .map(|id| format!("Request-Id: {id}\r\n"));
            let id = id.unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 {status} x\r\n{id}Content-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            writer.write_all(answer.as_bytes())?;
            if self.is_troubled()
                && index < self.trouble.extra_servers
                && self.random.share() < self.trouble.extra
            {
                extra = Some(answer.into_bytes());
            }
        }
        Ok(())
    }

    /// Answers a request with a stream, an event a pass.
    fn stream(&self, head: &Head, writer: &mut impl Write) -> io::Result<()> {
        let id = head.field("request-id").unwrap_or("-");
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
             Keep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(text.as_bytes())?;
        self.state().running += 1;
        let mut written = Ok(());
        for number in 1..=EVENTS {
            let state = self.state();
            let step = state.step;
            drop(self.stepped.wait_while(state, |state| state.step == step));
            let event = format!("id: {number}\ndata: some words\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            written = writer.write_all(chunk.as_bytes());
            if written.is_err() {
                break;
            }
        }
        self.state().running -= 1;
        written?;
        writer.write_all(b"0\r\n\r\n")
    }

    fn report(&self, index: usize) -> String {
        let state = self.state();
        let rank = &state.ranks[index];
        let prepared = rank
            .prepared
            .as_ref()
            .filter(|(_, _, until)| is_over(*until));
        let prepared = prepared.map_or("null".to_owned(), |(version, ..)| version.to_string());
        let armed = rank.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        let held = rank.held.map_or("null".to_owned(), |step| step.to_string());
        format!(
            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{},\
             \"kvUsed\":1,\"kvTotal\":280000,\"handles\":0,\"pace\":1.0,\"born\":{},\"group\":\
             {{\"name\":\"g\",\"epoch\":1,\"rank\":{index},\"state\":\"open\"}},\"size\":{},\
             \"step\":{},\"map\":{},\"prepared\":{prepared},\"armed\":{armed},\"held\":{held}}}",
            state.running / state.ranks.len().max(1),
            self.born,
            state.ranks.len(),
            state.step,
            rank.map
        )
    }

    fn picked(&self, index: usize, path: &str) -> String {
        let state = self.state();
        let rank = &state.ranks[index];
        if path.contains("lists") {
            let experts = lists(&rank.content, index);
            let version = rank.map;
            return format!("{{\"map\":{{\"version\":{version},\"experts\":{experts}}}}}");
        }
        let step = state.step;
        format!(
            "{{\"step\":{step},\"epoch\":1,\"counts\":{:?}}}",
            rank.counts
        )
    }

    /// Carries out an order, and returns the status of its answer.
    fn order(&self, index: usize, head: &Head, body: &[u8]) -> u16 {
        let expected = format!("i-{index}");
        if head
            .field("expect-instance")
            .is_some_and(|named| named != expected)
        {
            return 421;
        }
        let text = String::from_utf8_lossy(body);
        let number = |name: &str| number(&text, name);
        let mut state = self.state();
        let step_now = state.step;
        let rank = &mut state.ranks[index];
        let fence = number("fence").unwrap_or(0);
        if fence < rank.fence {
            return 412;
        }
        rank.fence = fence;
        if number("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        let version = number("version").unwrap_or(0);
        let step = number("step").unwrap_or(0);
        match word(&text, "op").as_str() {
            "prepare" => {
                if rank
                    .prepared
                    .as_ref()
                    .is_some_and(|(known, ..)| *known == version)
                {
                    return 200;
                }
                if version <= rank.highest || rank.armed.is_some() {
                    return 409;
                }
                let content = text.split("\"map\":").nth(1).unwrap_or_default().to_owned();
                rank.highest = version;
                rank.prepared = Some((version, content, Some(Instant::now() + COPY)));
                202
            }
            "arm" => {
                if rank.armed == Some((version, step)) {
                    return 200;
                }
                let prepared = rank.prepared.as_ref();
                let prepared = prepared.filter(|(_, _, until)| is_over(*until));
                if prepared.is_none_or(|(known, ..)| *known != version) || step <= step_now {
                    return 409;
                }
                rank.armed = Some((version, step));
                200
            }
            "disarm" => {
                if version != 0 && rank.map == version {
                    return 409;
                }
                if rank.armed.is_some_and(|(known, _)| known == version) {
                    rank.armed = None;
                }
                200
            }
            "hold" => {
                if rank.held == Some(step) {
                    return 200;
                }
                if step <= step_now || rank.held.is_some() {
                    return 409;
                }
                rank.held = Some(step);
                200
            }
            "go" => {
                if rank.held == Some(step) {
                    rank.held = None;
                    return 200;
                }
                409
            }
            _ => 400,
        }
    }
}

fn is_over(until: Option<Instant>) -> bool {
    until.is_none_or(|until| Instant::now() >= until)
}

/// Returns what a request is, for the record.
fn describe(head: &Head, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    if head.path() != "/v1/order" {
        return head.path().to_owned();
    }
    let value = |name: &str| number(&text, name).map_or("-".to_owned(), |it| it.to_string());
    let (version, step, fence) = (value("version"), value("step"), value("fence"));
    format!(
        "order {} version={version} step={step} fence={fence}",
        word(&text, "op")
    )
}

/// Returns a number of a small JSON object.
fn number(text: &str, name: &str) -> Option<u64> {
    let value = text.split(&format!("\"{name}\":")).nth(1)?;
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns a text of a small JSON object.
fn word(text: &str, name: &str) -> String {
    let value = text
        .split(&format!("\"{name}\":\""))
        .nth(1)
        .unwrap_or_default();
    value.split('"').next().unwrap_or_default().to_owned()
}

/// Returns the experts of a rank, by set, of a map that is written by set and rank.
fn lists(content: &str, rank: usize) -> String {
    // `[[[0,2],[1,0]],..]`: the third level holds the experts of one rank.
    let mut sets: Vec<Vec<String>> = Vec::new();
    let mut depth = 0;
    let mut list = String::new();
    for letter in content.chars() {
        match letter {
            '[' => {
                depth += 1;
                if depth == 2 {
                    sets.push(Vec::new());
                }
                list.clear();
            }
            ']' => {
                if depth == 3
                    && let Some(set) = sets.last_mut()
                {
                    set.push(list.clone());
                }
                depth -= 1;
                if depth == 0 {
                    break;
                }
            }
            letter => list.push(letter),
        }
    }
    let of_rank = |set: &Vec<String>| format!("[{}]", set.get(rank).cloned().unwrap_or_default());
    let sets: Vec<String> = sets.iter().map(of_rank).collect();
    format!("[{}]", sets.join(","))
}
