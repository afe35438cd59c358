//! Model servers that are ranks of one group, as the platform's pages describe them.

use std::collections::HashSet;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record;
use crate::store::Store;

pub const RANKS: usize = 12;
const SETS: usize = 3;
const EXPERTS: usize = 96;
/// Copies of one expert: 2,200 MB at 44,000 Mbit/s.
const COPY: Duration = Duration::from_millis(400);
/// Duration of a pass.
const PASS: Duration = Duration::from_millis(60);
/// Choices that a rank makes in a pass and set.
const CHOICES: f64 = 480.0;
/// Time after which a late order is carried out. The pages say seconds; the bench has 2 to 12 s.
const LATE_HOLD: Duration = Duration::from_millis(2_500);
const LATE_ARM: Duration = Duration::from_millis(4_000);
/// Ranks whose first answer to an order to arm is late.
const LATE_RANKS: [usize; 2] = [4, 9];

/// Experts of one rank, by set.
type Held = Vec<Vec<u16>>;

#[derive(Debug, Default)]
struct Rank {
    map: u64,
    held_experts: Held,
    /// Version, experts and when their copy is complete.
    prepared: Option<(u64, Held, Instant)>,
    highest_version: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
    counts: Vec<Vec<u64>>,
}

#[derive(Debug, Default)]
struct State {
    ranks: Vec<Rank>,
    step: u64,
    streams: Vec<(u64, Sender<u64>)>,
    /// Number of changes of the experts in demand.
    shift: u64,
    /// Orders that have been late once: rank, operation, version and step.
    late: HashSet<(usize, String, u64, u64)>,
    orders: u64,
    late_orders: u64,
    broken: Vec<String>,
    changes: u64,
}

/// The group; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Group(Arc<Mutex<State>>);

impl Group {
    /// Starts the servers of the group. Returns it with their addresses.
    pub fn start(store: &Store, zones: &[&str]) -> (Self, Vec<SocketAddr>) {
        let group = Self::default();
        let ranks = (0..RANKS).map(|rank| Rank {
            // Map 0 assigns the experts in turn.
            held_experts: vec![
                (0..EXPERTS as u16)
                    .filter(|it| usize::from(*it) % RANKS == rank)
                    .collect();
                SETS
            ],
            counts: vec![vec![0; EXPERTS]; SETS],
            ..Rank::default()
        });
        group.lock().ranks = ranks.collect();
        let mut addresses = Vec::new();
        for rank in 0..RANKS {
            let ip = crate::machine_ip(100 + rank as u8);
            let listener = TcpListener::bind((ip, 0)).expect("no server");
            let address = listener.local_addr().expect("no address");
            let id = format!("i-{:08x}", crate::seed() as u32 ^ (rank as u32) << 24);
            let born = SystemTime::now().duration_since(UNIX_EPOCH);
            let born = born.map_or(0, |it| it.as_millis() as u64);
            let (own, own_id) = (group.clone(), id.clone());
            http::serve(listener, move |request, stream| {
                own.answer(rank, &own_id, born, &request, stream)
            });
            let (store, zone) = (store.clone(), zones[rank % zones.len()].to_owned());
            std::thread::spawn(move || {
                for seq in 0_u64.. {
                    let entry = format!(
                        r#"{{"service":"chalk-assist","address":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#
                    );
                    store.put("keyed.servers", &id, entry.as_bytes());
                    sleep(Duration::from_millis(1_200));
                }
            });
            addresses.push(address);
        }
        let own = group.clone();
        std::thread::spawn(move || own.run_passes());
        (group, addresses)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes which experts are in demand.
    pub fn shift(&self) {
        self.lock().shift += 1;
    }

    /// Returns the passes that began with different maps, the last pass, and the orders with those
    /// that were late.
    pub fn result(&self) -> (Vec<String>, u64, u64, u64) {
        let state = self.lock();
        (
            state.broken.clone(),
            state.step,
            state.orders,
            state.late_orders,
        )
    }

    /// Returns how often the group began a pass with another map.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// Executes passes while there is work. All ranks execute each pass together.
    fn run_passes(&self) {
        loop {
            let mut state = self.lock();
            let next = state.step + 1;
            let is_held = state.ranks.iter().any(|rank| rank.held == Some(next));
            if state.streams.is_empty() || is_held {
                drop(state);
                sleep(Duration::from_millis(1));
                continue;
            }
            state.begin_pass(next);
            drop(state);
            sleep(PASS);
        }
    }

    fn answer(
        &self,
        rank: usize,
        own: &str,
        born: u64,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let expected = request.header("expect-instance");
        let ids = [("Request-Id", id.as_str())];
        if expected.is_some_and(|it| it != own) {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return http::reply(stream, "421 Misdirected Request", &headers, b"");
        }
        match request.path() {
            "/v1/report" => {
                let body = self.lock().report(rank, born);
                http::reply(stream, "200 OK", &ids, body.as_bytes())
            }
            "/v1/picked" => {
                let body = self.lock().picked(rank, request.query("lists").is_some());
                http::reply(stream, "200 OK", &ids, body.as_bytes())
            }
            "/v1/order" => {
                let order = Order::parse(&request.body);
                let lateness = self.lock().lateness(rank, &order);
                if let Some(delay) = lateness {
                    record::line(&format!(
                        "late rank={rank} {order}: carried out in {delay:?}"
                    ));
                    sleep(delay);
                    let status = self.lock().carry_out(rank, &order);
                    record::line(&format!("carried out late rank={rank} {order}: {status}"));
                    return Ok(false);
                }
                let status = self.lock().carry_out(rank, &order);
                record::line(&format!("order rank={rank} {order}: {status}"));
                http::reply(stream, status, &ids, b"{}")
            }
            "/health" => http::reply(stream, "200 OK", &[("Instance-Id", own)], b""),
            _ => self.run(&id, stream),
        }
    }

    /// Runs a request: one event a pass.
    fn run(&self, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        const EVENTS: u64 = 8;
        let (sender, receiver) = channel();
        self.lock().streams.push((EVENTS, sender));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Response-Signature: 3e1b.07.{id}\r\nKeep-Alive: timeout=4\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut number = 0;
        while let Ok(left) = receiver.recv() {
            if number == 0 {
                stream.write_all(head.as_bytes())?;
            }
            number += 1;
            let event = format!("id: {number}\ndata: {id}\n\n");
            let piece = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(piece.as_bytes())?;
            if left == 0 {
                break;
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

impl State {
    fn begin_pass(&mut self, step: u64) {
        self.step = step;
        let before = self.ranks[0].map;
        for (number, rank) in self.ranks.iter_mut().enumerate() {
            if let Some((version, _)) = rank.armed.filter(|it| it.1 == step) {
                rank.armed = None;
                rank.map = version;
                if let Some((_, experts, _)) = rank.prepared.take() {
                    rank.held_experts = experts;
                }
                record::line(&format!(
                    "rank={number} uses map {version} from pass {step}"
                ));
            }
        }
        self.changes += u64::from(self.ranks[0].map != before);
        let maps: Vec<u64> = self.ranks.iter().map(|rank| rank.map).collect();
        if maps.iter().any(|it| *it != maps[0]) {
            record::line(&format!("pass {step} begins with maps {maps:?}"));
            self.broken.push(format!("pass {step} with maps {maps:?}"));
        }
        for set in 0..SETS {
            for place in 0..EXPERTS {
                // A steep distribution, whose order differs after each shift.
                let weight = 1.0 / (place as f64 + 1.0).powf(1.3) / 3.25;
                let expert = (place * 37 + set * 11 + self.shift as usize * 29) % EXPERTS;
                for rank in &mut self.ranks {
                    rank.counts[set][expert] += (CHOICES * weight).round() as u64;
                }
            }
        }
        self.streams.retain_mut(|(left, sender)| {
            *left -= 1;
            sender.send(*left).is_ok() && *left > 0
        });
    }

    fn report(&self, number: usize, born: u64) -> String {
        let rank = &self.ranks[number];
        let is_copied = |it: &&(u64, Held, Instant)| it.2 <= Instant::now();
        let prepared = rank.prepared.as_ref().filter(is_copied);
        let prepared = prepared.map_or("null".to_owned(), |it| it.0.to_string());
        let armed = rank.armed.map_or("null".to_owned(), |(version, step)| {
            format!(r#"{{"version":{version},"step":{step}}}"#)
        });
        let held = rank.held.map_or("null".to_owned(), |it| it.to_string());
        let running = self.streams.len().div_ceil(RANKS);
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"waiting":0,"running":{running},"kvUsed":0,"kvTotal":280000,"handles":0,"born":{born},"pace":1.0,"group":{{"name":"g0","epoch":1,"rank":{number},"state":"open"}},"size":{RANKS},"step":{},"map":{},"prepared":{prepared},"armed":{armed},"held":{held}}}"#,
            self.step, rank.map
        )
    }

    fn picked(&self, number: usize, lists: bool) -> String {
        let rank = &self.ranks[number];
        let step = self.step;
        if lists {
            let experts = &rank.held_experts;
            let version = rank.map;
            return format!(
                r#"{{"step":{step},"epoch":1,"map":{{"version":{version},"experts":{experts:?}}},"prepared":null}}"#
            );
        }
        let counts: Vec<u64> = rank.counts.iter().flatten().copied().collect();
        format!(r#"{{"step":{step},"epoch":1,"counts":{counts:?}}}"#)
    }

    /// Returns after which time an order is carried out that gets no answer. In each switch these
    /// are the first order to hold and the first ones to arm of two ranks.
    fn lateness(&mut self, rank: usize, order: &Order) -> Option<Duration> {
        self.orders += 1;
        if !crate::has_trouble() {
            return None;
        }
        let delay = match order.op.as_str() {
            "hold" => LATE_HOLD,
            "arm" if LATE_RANKS.contains(&rank) => LATE_ARM,
            _ => return None,
        };
        let key = (rank, order.op.clone(), order.version, order.step);
        let is_first = self.late.insert(key);
        self.late_orders += u64::from(is_first);
        is_first.then_some(delay)
    }

    /// Carries out an order. Returns the status of its answer.
    fn carry_out(&mut self, number: usize, order: &Order) -> &'static str {
        const CONFLICT: &str = "409 Conflict";
        let begun = self.step;
        let rank = &mut self.ranks[number];
        if order.fence < rank.fence {
            return "412 Precondition Failed";
        }
        rank.fence = order.fence;
        if order.epoch != 1 {
            return CONFLICT;
        }
        let now = Instant::now();
        match order.op.as_str() {
            "prepare" => {
                if rank
                    .prepared
                    .as_ref()
                    .is_some_and(|it| it.0 == order.version)
                {
                    return "200 OK";
                }
                if order.version <= rank.highest_version || rank.armed.is_some() {
                    return CONFLICT;
                }
                let experts: Held = order.map.iter().map(|set| set[number].clone()).collect();
                let sets = experts.iter().zip(&rank.held_experts);
                let new = sets.map(|(new, old)| new.iter().filter(|it| !old.contains(it)).count());
                let new: usize = new.sum();
                rank.highest_version = order.version;
                rank.prepared = Some((order.version, experts, now + COPY * new as u32));
                "202 Accepted"
            }
            "arm" => {
                if rank.armed == Some((order.version, order.step)) {
                    return "200 OK";
                }
                let prepared = rank.prepared.as_ref();
                let is_prepared = prepared.is_some_and(|it| it.0 == order.version && it.2 <= now);
                if !is_prepared || order.step <= begun {
                    return CONFLICT;
                }
                rank.armed = Some((order.version, order.step));
                "202 Accepted"
            }
            "disarm" => {
                if rank.map == order.version && order.version > 0 {
                    return CONFLICT;
                }
                rank.armed = rank.armed.filter(|it| it.0 != order.version);
                "200 OK"
            }
            "hold" => {
                if rank.held == Some(order.step) {
                    return "200 OK";
                }
                if rank.held.is_some() || order.step <= begun {
                    return CONFLICT;
                }
                rank.held = Some(order.step);
                "202 Accepted"
            }
            "go" => {
                if rank.held.is_some_and(|it| it != order.step) {
                    return CONFLICT;
                }
                rank.held = None;
                "200 OK"
            }
            _ => "400 Bad Request",
        }
    }
}

/// An order to a server.
#[derive(Debug, Default)]
struct Order {
    op: String,
    fence: u64,
    epoch: u64,
    version: u64,
    step: u64,
    /// Experts by set and rank.
    map: Vec<Vec<Vec<u16>>>,
}

impl Order {
    fn parse(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body).into_owned();
        let number = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            let digits = rest.split(|it: char| !it.is_ascii_digit()).next()?;
            digits.parse().ok()
        };
        let op = text.split(r#""op":""#).nth(1);
        let op = op.and_then(|it| it.split('"').next()).unwrap_or_default();
        let map = text.split(r#""map":[[["#).nth(1);
        let map = map.and_then(|it| it.split("]]]").next());
        let list = |it: &str| {
            let numbers = it.split(',').filter_map(|it| it.trim().parse().ok());
            numbers.collect()
        };
        let map = map.map_or(Vec::new(), |it| {
            let sets = it.split("]],[[");
            sets.map(|set| set.split("],[").map(list).collect())
                .collect()
        });
        Self {
            op: op.to_owned(),
            fence: number("fence").unwrap_or_default(),
            epoch: number("epoch").unwrap_or(1),
            version: number("version").unwrap_or_default(),
            step: number("step").unwrap_or_default(),
            map,
        }
    }
}

impl std::fmt::Display for Order {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "op={} version={} step={} fence={}",
            self.op, self.version, self.step, self.fence
        )
    }
}
