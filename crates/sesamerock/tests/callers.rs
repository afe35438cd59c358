//! Edge cases of the callers' interface: malformed, slow, long and repeated requests to a
//! cluster in one process, mostly over raw TCP connections.

use std::net::SocketAddr;
use std::time::Duration;

use sesamerock::dev::{Cluster, MODEL, Settings};
use sesamerock::settings;
use sesamerock_standin::engine;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Largest request body that the entries accept.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Longest time that the entries wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of every wait, far above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A cluster of two zones that is stopped on drop.
struct World {
    cluster: Cluster,
    stop: CancellationToken,
}

impl World {
    async fn start(engine: engine::Settings) -> Self {
        let stop = CancellationToken::new();
        let settings = Settings {
            zones: ["a", "b"].map(str::to_owned).to_vec(),
            engines_per_zone: 1,
            entries: 4,
            engine,
            entry: settings::Entry {
                body_bytes: MAX_BODY_BYTES,
                body_timeout: BODY_TIMEOUT,
                entries_max_age: Duration::from_secs(1),
                ..settings::Entry::default()
            },
            ..Settings::default()
        };
        let cluster = Cluster::start(settings, &stop)
            .await
            .expect("the cluster starts");
        cluster.publish().await.expect("the note is accepted");
        cluster.wait_ready().await.expect("the cluster is ready");
        Self { cluster, stop }
    }

    fn entry(&self) -> SocketAddr {
        self.cluster.callers[0]
    }

    /// Returns the number of calls that run or wait at all engines.
    async fn calls_at_engines(&self) -> u64 {
        let mut calls = 0;
        for (_, engine) in &self.cluster.engines {
            let load = json(&get(engine.address(), "/load").await);
            calls += load["running"].as_u64().expect("a number");
            calls += load["waiting"].as_u64().expect("a number");
        }
        calls
    }

    /// Returns the number of calls that all agents count as in flight.
    async fn calls_at_agents(&self) -> u64 {
        let mut calls = 0;
        for agent in &self.cluster.agents {
            calls += metric(*agent, "sesamerock_calls").await;
        }
        calls
    }

    /// Returns the number of orders that all services have executed.
    fn placed_orders(&self) -> usize {
        let services = self.cluster.services.iter();
        services
            .map(|(_, service)| service.executions().len())
            .sum()
    }

    fn generated_tokens(&self) -> u64 {
        self.cluster
            .engines
            .iter()
            .map(|(_, engine)| engine.record().tokens)
            .sum()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// An HTTP answer as received; header fields are in lower case.
#[derive(Debug)]
struct Answer {
    status: u16,
    head: String,
    body: String,
}

impl Answer {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").expect("an answer has a head");
        let head = head.to_ascii_lowercase();
        let status = head[9..12].parse().expect("a status is a number");
        let body = if head.contains("transfer-encoding: chunked") {
            decode_chunked(body)
        } else {
            body.to_owned()
        };
        Self { status, head, body }
    }

    fn has(&self, field: &str) -> bool {
        self.head.lines().any(|line| line == field)
    }
}

/// Decodes a chunked body; the stand-ins send only ASCII.
fn decode_chunked(mut rest: &str) -> String {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk has a size");
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    body
}

fn json(answer: &Answer) -> serde_json::Value {
    serde_json::from_str(&answer.body).expect("the body is JSON")
}

async fn connect_and_send(address: SocketAddr, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the entry accepts");
    stream
        .write_all(text)
        .await
        .expect("the request can be sent");
    stream
}

/// Reads an answer until the server closes the connection.
async fn read_answer(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let all = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    all.expect("the answer ends in time")
        .expect("the answer can be read");
    Answer::parse(&bytes)
}

/// Renders a request with `connection: close`.
fn render_request(line: &str, fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{fields}content-length: {length}\r\n\r\n{body}"
    )
}

async fn send(address: SocketAddr, line: &str, fields: &str, body: &str) -> Answer {
    read_answer(connect_and_send(address, render_request(line, fields, body).as_bytes()).await)
        .await
}

async fn get(address: SocketAddr, path: &str) -> Answer {
    send(address, &format!("GET {path}"), "", "").await
}

fn completion(tokens: u64, streamed: bool) -> String {
    format!(
        r#"{{"model":"{MODEL}","max_tokens":{tokens},"stream":{streamed},"messages":[{{"role":"user","content":"hello"}}]}}"#
    )
}

/// Returns the value of a metric, or zero if it has not been recorded yet.
async fn metric(address: SocketAddr, name: &str) -> u64 {
    let metrics = get(address, "/metrics").await.body;
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next())
        .map_or(0, |value| value.parse().expect("a number"))
}

const CHAT: &str = "POST /v1/chat/completions";
const ORDER: &str = "POST /services/orders/orders";

/// Waits until `holds` returns true, and panics with `condition` after a timeout.
async fn wait_until(condition: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            Instant::now() < deadline,
            "not within {WAIT_TIMEOUT:?}: {condition}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Asserts that an answer is a problem document with the caller's request id and
/// `executed: no`.
fn assert_refused(answer: &Answer, status: u16, id: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(
        answer.has("content-type: application/problem+json"),
        "{answer:?}"
    );
    let document = json(answer);
    assert_eq!(document["status"], status, "{document}");
    assert_eq!(document["executed"], "no", "{document}");
    assert_eq!(document["request_id"], id, "{document}");
}

async fn assert_serves(world: &World) {
    let answer = send(world.entry(), CHAT, "", &completion(2, false)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against a refusal without a problem document, without the caller's request id, or
/// without the statement that nothing was executed.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_problem_documents_with_the_request_id() {
    let world = World::start(engine::Settings::default()).await;
    let unknown = completion(2, false).replace(MODEL, "no-such-model");
    let cases = [
        (413, CHAT, "", "x".repeat(MAX_BODY_BYTES + 1)),
        (400, CHAT, "", "{\"model\":".to_owned()),
        (400, CHAT, "", "{}".to_owned()),
        (404, CHAT, "", unknown),
        (404, "POST /services/no-such-service/x", "", String::new()),
        (
            400,
            CHAT,
            "x-request-timeout-ms: soon\r\n",
            completion(2, false),
        ),
        (
            504,
            CHAT,
            "x-request-timeout-ms: 0\r\n",
            completion(2, false),
        ),
        (
            504,
            ORDER,
            "x-request-timeout-ms: 0\r\nidempotency-key: late\r\n",
            "{}".to_owned(),
        ),
        (400, "POST /v1/keys", "", String::new()),
        (
            404,
            "POST /v1/keys?service=no-such-service",
            "",
            String::new(),
        ),
    ];
    for (index, (status, line, fields, body)) in cases.iter().enumerate() {
        let id = format!("edge-{index}");
        let answer = send(
            world.entry(),
            line,
            &format!("x-request-id: {id}\r\n{fields}"),
            body,
        )
        .await;
        assert_refused(&answer, *status, &id);
    }
    assert_eq!(world.placed_orders(), 0, "a refused order was placed");
    // A timeout too large for the clock to represent must not fail the request.
    let fields = format!("x-request-timeout-ms: {}\r\n", u64::MAX);
    let answer = send(world.entry(), CHAT, &fields, &completion(2, false)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against a deadline that is counted from the end of the body instead of the header.
#[tokio::test(flavor = "multi_thread")]
async fn the_deadline_counts_from_the_header() {
    let world = World::start(engine::Settings::default()).await;
    let fields = "x-request-id: late\r\nexpect: 100-continue\r\nx-request-timeout-ms: 200\r\n";
    let body = completion(2, false);
    let text = render_request(CHAT, fields, &body);
    let mut stream =
        connect_and_send(world.entry(), &text.as_bytes()[..text.len() - body.len()]).await;
    // The entry sends 100 Continue after it has read the header.
    let mut interim = [0; 25];
    let received = timeout(WAIT_TIMEOUT, stream.read_exact(&mut interim)).await;
    received.expect("in time").expect("an interim answer");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    sleep(Duration::from_millis(250)).await;
    stream
        .write_all(body.as_bytes())
        .await
        .expect("the body can be sent");
    assert_refused(&read_answer(stream).await, 504, "late");
}

/// Guards against a call that waits for capacity until its deadline and is then reported as
/// possibly executed.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_only_waited_is_reported_as_not_executed() {
    let engine = engine::Settings {
        capacity: 2,
        ..engine::Settings::default()
    };
    let world = World::start(engine).await;
    let long = render_request(CHAT, "", &completion(1_000_000, true));
    let mut streams = Vec::new();
    // More calls than both engines accept; the rest wait ahead of the calls below.
    for _ in 0..24 {
        streams.push(connect_and_send(world.entry(), long.as_bytes()).await);
    }
    wait_until("the agents are full", async || {
        world.calls_at_agents().await >= 4
    })
    .await;
    for round in 0..3 {
        let fields = format!("x-request-id: wait-{round}\r\nx-request-timeout-ms: 2000\r\n");
        let answer = send(world.entry(), CHAT, &fields, &completion(2, false)).await;
        let document = json(&answer);
        assert!([503, 504].contains(&answer.status), "{document}");
        assert_eq!(document["executed"], "no", "{document}");
    }
    drop(streams);
}

/// Guards against a 413 that a caller never sees, because the entry resets the
/// connection while the caller is still sending.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_sends_a_long_body_first_sees_the_refusal() {
    let world = World::start(engine::Settings::default()).await;
    let body = "x".repeat(2 * MAX_BODY_BYTES - 1);
    for _ in 0..5 {
        let answer = send(world.entry(), CHAT, "x-request-id: long\r\n", &body).await;
        assert_refused(&answer, 413, "long");
    }
}

/// Guards against slow callers that occupy a connection without limit or delay other callers.
/// One body arrives a byte at a time, the others stop after the first byte.
#[tokio::test(flavor = "multi_thread")]
async fn slow_bodies_time_out_while_others_are_served() {
    let world = World::start(engine::Settings::default()).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-request-id: slow\r\ncontent-length: 50000\r\n\r\n{";
    let mut stopped = Vec::new();
    for _ in 0..50 {
        stopped.push(connect_and_send(world.entry(), head.as_bytes()).await);
    }
    let (reader, mut writer) = connect_and_send(world.entry(), head.as_bytes())
        .await
        .into_split();
    let trickle = tokio::spawn(async move {
        while writer.write_all(b" ").await.is_ok() {
            sleep(POLL_INTERVAL).await;
        }
    });
    assert_serves(&world).await;
    for stream in stopped {
        assert_refused(&read_answer(stream).await, 408, "slow");
    }
    let mut reader = reader;
    let mut bytes = [0; 12];
    timeout(WAIT_TIMEOUT, reader.read_exact(&mut bytes))
        .await
        .expect("in time")
        .expect("an answer");
    assert_eq!(&bytes, b"HTTP/1.1 408");
    drop(reader);
    timeout(WAIT_TIMEOUT, trickle)
        .await
        .expect("the connection is closed")
        .expect("no panic");
}

/// Guards against headers of unlimited size, and against a malformed header that affects other
/// callers.
#[tokio::test(flavor = "multi_thread")]
async fn long_and_malformed_headers_get_an_error_of_their_own() {
    let world = World::start(engine::Settings::default()).await;
    let long = format!(
        "GET /readyz HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n",
        "x".repeat(60 << 10)
    );
    let many = format!("GET /readyz HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    let cases: [(&str, u16); 4] = [
        (
            &long.replace("x-long: ", &format!("x-long: {}", "x".repeat(8 << 10))),
            431,
        ),
        (&many, 431),
        ("GET /readyz HTTP/1.1\r\nno colon here\r\n\r\n", 400),
        ("\u{1}\u{2}\u{3}\r\n\r\n", 400),
    ];
    for (text, status) in cases {
        let answer = read_answer(connect_and_send(world.entry(), text.as_bytes()).await).await;
        assert_eq!(answer.status, status, "{answer:?}");
        assert_serves(&world).await;
    }
}

/// Guards against a call whose caller has disconnected and that still occupies a place at the
/// engine and at the agent's gate.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_frees_its_place() {
    let world = World::start(engine::Settings::default()).await;
    let entry = world.cluster.operators[0];
    for streamed in [true, false] {
        let text = render_request(CHAT, "", &completion(1_000_000, streamed));
        let mut stream = connect_and_send(world.entry(), text.as_bytes()).await;
        if streamed {
            let read = timeout(WAIT_TIMEOUT, stream.read_exact(&mut [0; 512])).await;
            read.expect("in time").expect("a stream");
        }
        wait_until("the call is counted", async || {
            world.calls_at_agents().await == 1
        })
        .await;
        assert_eq!(world.calls_at_engines().await, 1);
        assert_eq!(metric(entry, "sesamerock_in_flight").await, 1);
        drop(stream);
        wait_until("the engine is empty", async || {
            world.calls_at_engines().await == 0
        })
        .await;
        wait_until("the agent is empty", async || {
            world.calls_at_agents().await == 0
        })
        .await;
        let entry_empty = async || metric(entry, "sesamerock_in_flight").await == 0;
        wait_until("the entry is empty", entry_empty).await;
    }
}

/// Guards against an answer that is not streamed, is longer than the entry buffers, and is no
/// longer counted as in flight while its caller still reads it.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_counts_as_in_flight_until_its_end() {
    // The answer is larger than all buffers between engine and caller together.
    const TOKENS: u64 = 6_000_000;
    let fast = engine::Settings {
        tokens_per_step: 50_000,
        ..engine::Settings::default()
    };
    let world = World::start(fast).await;
    let entry = world.cluster.operators[0];
    let text = render_request(CHAT, "", &completion(TOKENS, false));
    let mut stream = connect_and_send(world.entry(), text.as_bytes()).await;
    let read = timeout(WAIT_TIMEOUT, stream.read_exact(&mut [0; 512])).await;
    read.expect("in time").expect("the answer begins");
    assert_eq!(metric(entry, "sesamerock_in_flight").await, 1);
    let mut rest = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut rest)).await;
    read.expect("in time").expect("the answer ends");
    assert!(rest.len() > TOKENS as usize, "{} bytes", rest.len());
    let entry_empty = async || metric(entry, "sesamerock_in_flight").await == 0;
    wait_until("the entry is empty", entry_empty).await;
}

/// Guards against a slow reader whose stream is buffered without limit, and against lost,
/// duplicate or reordered tokens in its stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_applies_back_pressure_and_gets_every_token() {
    const TOKENS: u64 = 200_000;
    let fast = engine::Settings {
        tokens_per_step: 400,
        ..engine::Settings::default()
    };
    let world = World::start(fast).await;
    let stream = connect_and_send(
        world.entry(),
        render_request(CHAT, "", &completion(TOKENS, true)).as_bytes(),
    )
    .await;
    // The stream is blocked by back-pressure when twenty other calls in a row get all their
    // tokens while the engines generate none for the stream.
    let mut last = 0;
    let mut calls_without_progress = 0;
    wait_until("the stream is blocked", async || {
        assert_serves(&world).await;
        let now = world.generated_tokens();
        calls_without_progress = if now == last + 2 {
            calls_without_progress + 1
        } else {
            0
        };
        last = now;
        calls_without_progress == 20
    })
    .await;
    assert!(last < TOKENS, "all tokens were buffered");
    let answer = read_answer(stream).await;
    let got: String = answer
        .body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: {"))
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(&format!("{{{event}")).ok())
        .filter_map(|event| Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect();
    assert!(
        got == engine::answer("hello", TOKENS),
        "the text differs, {} bytes",
        got.len()
    );
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
}

/// Guards against a repeated order that is executed twice, a replayed answer that is not marked
/// as one, and a key that is accepted for two different orders.
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_replayed_and_a_key_with_another_body_is_refused() {
    let world = World::start(engine::Settings::default()).await;
    let key = "x-request-id: order\r\nidempotency-key: order-1\r\n";
    let first = send(world.entry(), ORDER, key, "{\"chalk\":12}").await;
    assert_eq!(first.status, 201, "{first:?}");
    assert!(!first.has("idempotency-replayed: true"), "{first:?}");
    for entry in &world.cluster.callers {
        let again = send(*entry, ORDER, key, "{\"chalk\":12}").await;
        assert_eq!((again.status, &again.body), (201, &first.body), "{again:?}");
        assert!(again.has("idempotency-replayed: true"), "{again:?}");
    }
    let other = send(world.entry(), ORDER, key, "{\"chalk\":13}").await;
    assert_refused(&other, 422, "order");
    // Every entry can tell from a key that the system issued which agent holds it.
    for entry in &world.cluster.callers {
        let issued = send(world.entry(), "POST /v1/keys?service=orders", "", "").await;
        assert_eq!(issued.status, 201, "{issued:?}");
        let key = json(&issued)["key"].as_str().expect("a key").to_owned();
        let fields = format!("idempotency-key: {key}\r\n");
        let placed = send(*entry, ORDER, &fields, "{\"chalk\":1}").await;
        assert_eq!(placed.status, 201, "{placed:?}");
        let again = send(world.entry(), ORDER, &fields, "{\"chalk\":1}").await;
        assert!(again.has("idempotency-replayed: true"), "{again:?}");
    }
    assert_eq!(world.placed_orders(), 1 + world.cluster.callers.len());
}

/// Guards against a list of entries that starts with another zone or has no expiry, and against
/// health paths that fail.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_the_own_zone_come_first_and_health_paths_answer() {
    let world = World::start(engine::Settings::default()).await;
    for (index, entry) in world.cluster.callers.iter().enumerate() {
        let own = ["a", "b"][index % 2];
        wait_until("the list is complete", async || {
            json(&get(*entry, "/v1/entries").await)["entries"]
                .as_array()
                .is_some_and(|list| list.len() == 4)
        })
        .await;
        for (path, zone) in [
            ("/v1/entries", own),
            ("/v1/entries?zone=a", "a"),
            ("/v1/entries?zone=b", "b"),
        ] {
            let answer = get(*entry, path).await;
            assert!(answer.has("cache-control: max-age=1"), "{answer:?}");
            let list = json(&answer);
            let zones: Vec<_> = (0..4)
                .map(|at| list["entries"][at]["zone"] == zone)
                .collect();
            assert_eq!(zones, [true, true, false, false], "{path} at {own}: {list}");
        }
        for address in [*entry, world.cluster.operators[index]] {
            assert_eq!(get(address, "/readyz").await.status, 200);
            assert_eq!(get(address, "/healthz").await.status, 200);
        }
        let metrics = get(world.cluster.operators[index], "/metrics").await;
        assert!(
            metrics.body.contains("# TYPE sesamerock_version gauge"),
            "{metrics:?}"
        );
        assert_eq!(
            get(*entry, "/metrics").await.status,
            404,
            "callers reach the metrics"
        );
    }
}
