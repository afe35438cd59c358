//! Servers whose answers have no length end by a crash, and their channels with them.

use std::fs::File;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs};

use crate::Setting;
use crate::http::{self, Seen};
use crate::store::Store;
use crate::system::{Gateway, Record, config, free, route, server};

/// Pieces of an answer, and the pause between two of them.
const PIECES: usize = 12;
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which crashed servers are down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after which the store removes the entry of a silent server: three ping intervals.
const SILENCE: Duration = Duration::from_millis(3_600);
/// When the first server crashes, from the start of the traffic, and the pause until the next one does.
const CRASH_AT: Duration = Duration::from_secs(3);
const NEXT_CRASH: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(16);

/// Runs a server as a process of its own: `serve ID ADDRESS LOG`.
pub fn serve(words: &[String]) -> io::Result<()> {
    let [id, address, log] = words else {
        return Err(io::Error::other("serve ID ADDRESS LOG"));
    };
    let listener = TcpListener::bind(address)?;
    let log = Record::append(Path::new(log))?;
    for stream in listener.incoming().flatten() {
        let (id, log) = (id.clone(), log.clone());
        thread::spawn(move || answer(&id, stream, &log));
    }
    Ok(())
}

/// Answers the request of a channel without a length, and closes the channel after the answer.
fn answer(id: &str, stream: TcpStream, log: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let Some(mut request) = http::read_head(&mut reader)? else {
        return Ok(());
    };
    http::read_body(&mut reader, &mut request, false)?;
    let request_id = request.header("request-id").unwrap_or("-").to_owned();
    if request.header("expect-instance") != Some(id) {
        let headers = [("Request-Id", request_id.as_str()), ("Instance-Id", id)];
        return http::respond(&mut writer, "421 Misdirected Request", &headers, b"");
    }
    let is_stream = request.target().starts_with("/draft/");
    let last = request
        .header("last-event-id")
        .and_then(|it| it.parse().ok());
    let first = last.map_or(0, |last: usize| last + 1);
    log.line(&format!("{id} runs {request_id} from piece {first}"));
    let kind = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n\
         Content-Type: {kind}\r\nConnection: close\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for piece in first..PIECES {
        thread::sleep(PAUSE);
        let text = if is_stream {
            format!("id: {piece}\ndata: piece {piece} for {request_id}\n\n")
        } else {
            format!("piece {piece} of {PIECES} for {request_id};")
        };
        writer.write_all(text.as_bytes())?;
    }
    log.line(&format!("{id} has answered {request_id} in full"));
    Ok(())
}

struct Process {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    child: Child,
}

impl Process {
    fn start(
        id: String,
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
        log: &Path,
    ) -> io::Result<Self> {
        let child = Command::new(env::current_exe()?)
            .args(["serve", &id, &address.to_string()])
            .arg(log)
            .stdin(Stdio::null())
            .spawn()?;
        let end = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(address).is_err() {
            if Instant::now() > end {
                return Err(io::Error::other("a server did not start"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(Self {
            id,
            address,
            zone,
            service,
            child,
        })
    }

    fn announce(&self, store: &Store, born: u64) {
        let text = server(self.service, self.address, self.zone, 12, "ready", born);
        store.put("keyed.servers", &self.id, &text);
    }

    fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn play(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let log = setting.folder.join("servers.txt");
    File::create(&log)?;
    let mut servers = Vec::new();
    for (index, zone) in ["a", "b", "c"].into_iter().enumerate() {
        for service in ["assist", "desk"] {
            let id = format!("i-{service}-{index}");
            let one = Process::start(id, service, zone, free(), &log)?;
            one.announce(&store, 1_000 + index as u64);
            servers.push(one);
        }
    }
    let resumable = route("/draft/", "streaming", 8_000, 500, 2, "assist");
    let resumable = resumable.replace(
        "\"public\"",
        "\"resumable\":true,\"targetGapMs\":500,\"public\"",
    );
    let routes = [resumable, route("/stock/", "safe", 5_000, 1_000, 2, "desk")];
    store.put(
        "keyed.op",
        "config",
        &config(7, &routes, &["assist", "desk"]),
    );
    let mut gateways = Vec::new();
    for (index, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let name = format!("front-{zone}-{index}");
        gateways.push(Gateway::start(&setting.folder, &name, zone, &store)?);
    }
    thread::sleep(Duration::from_secs(4));
    let all: Arc<Mutex<Vec<(String, Seen)>>> = Arc::default();
    let fronts: Vec<SocketAddr> = gateways.iter().map(|it| it.front).collect();
    let traffic = {
        let (record, all) = (record.clone(), Arc::clone(&all));
        thread::spawn(move || send(&fronts, &record, &all))
    };
    if setting.trouble {
        thread::sleep(CRASH_AT);
        for index in [0, 1] {
            servers[index].kill();
            record.line(&format!("{} is killed", servers[index].id));
            let start = Instant::now();
            thread::sleep(SILENCE);
            store.put("keyed.servers", &servers[index].id, "");
            thread::sleep(DOWN - SILENCE);
            let old = &servers[index];
            let id = format!("{}-again", old.id);
            let one = Process::start(id, old.service, old.zone, old.address, &log)?;
            one.announce(&store, 9_000 + index as u64);
            record.line(&format!("{} is there", one.id));
            servers[index] = one;
            thread::sleep(NEXT_CRASH.saturating_sub(start.elapsed()));
        }
    }
    let _ = traffic.join();
    for line in fs::read_to_string(&log)?.lines() {
        record.line(&format!("server: {line}"));
    }
    Ok(judge(
        record,
        &all.lock().unwrap_or_else(PoisonError::into_inner),
    ))
}

fn send(fronts: &[SocketAddr], record: &Record, all: &Arc<Mutex<Vec<(String, Seen)>>>) {
    let mut consumers = Vec::new();
    let start = Instant::now();
    let mut index = 0;
    while start.elapsed() < LENGTH {
        for kind in ["draft", "stock"] {
            let front = fronts[index % fronts.len()];
            let (record, all) = (record.clone(), Arc::clone(all));
            consumers.push(thread::spawn(move || {
                let id = format!("{kind}-{index:03}");
                let (method, deadline) = if kind == "draft" {
                    ("POST", 8)
                } else {
                    ("GET", 5)
                };
                let deadline = Duration::from_secs(deadline);
                // Each request is about a thing of its own.
                let path = format!("/{kind}/{index}");
                let request = http::request(method, &path, &id, deadline, &[], b"");
                record.line(&format!("{id} is sent to {front}"));
                let seen = http::ask(front, &request, deadline);
                let text = seen.text.replace('\n', "|");
                record.line(&format!(
                    "{id} gets {} after {} ms, signed {}, error {:?}: {text}",
                    seen.status,
                    seen.took.as_millis(),
                    seen.signed,
                    seen.error
                ));
                let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
                all.push((id, seen));
            }));
        }
        index += 1;
        thread::sleep(Duration::from_millis(60));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
}

/// Returns whether each answer that looks complete is.
fn judge(record: &Record, all: &[(String, Seen)]) -> bool {
    let mut short = 0;
    let (mut whole, mut failed) = (0, 0);
    for (id, seen) in all {
        if seen.status != 200 {
            failed += 1;
            continue;
        }
        let pieces = (0..PIECES).filter(|piece| {
            let text = if id.starts_with("draft") {
                format!("data: piece {piece} for {id}\n\n")
            } else {
                format!("piece {piece} of {PIECES} for {id};")
            };
            seen.text.contains(&text)
        });
        let pieces = pieces.count();
        if pieces == PIECES {
            whole += 1;
        } else {
            short += 1;
            record.line(&format!(
                "{id} ends as complete with {pieces} of {PIECES} pieces"
            ));
        }
    }
    record.line(&format!(
        "requests {}, whole answers {whole}, failed or broken off {failed}, successes that end \
         early and look complete {short}",
        all.len()
    ));
    short == 0
}
