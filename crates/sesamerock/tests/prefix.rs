//! Cache events from stand-in engines through agents to entries, in a cluster that runs as tasks
//! of one process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sesamerock::dev::{Cluster, MODEL, Settings};
use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::prompt::Prompt;
use sesamerock_client::http::client::Client;
use sesamerock_route::digest::{Cursor, Digest};
use sesamerock_route::prefix::{self, Index};
use sesamerock_standin::engine::{self, Engine};
use sesamerock_wire::relay::relay_client::RelayClient;
use sesamerock_wire::relay::{CacheCursor, Head, Header, Up, down, up};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const UPSTREAM: Upstream = Upstream(0);
/// Timeout of every wait, far above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of cache blocks of each prompt.
const BLOCKS: usize = 12;

/// A running cluster, and the prefix index that an entry would build for the first engine.
struct World {
    cluster: Cluster,
    stop: CancellationToken,
    index: Index,
}

fn body(name: &str) -> String {
    let content = format!("{name} ").repeat(BLOCKS * 256 / (name.len() + 1) + 1);
    let content = &content[..BLOCKS * 256];
    let message = serde_json::json!({ "role": "user", "content": content });
    serde_json::json!({ "model": MODEL, "max_tokens": 1, "messages": [message] }).to_string()
}

fn blocks(name: &str) -> Vec<u64> {
    let prompt = Prompt::parse(body(name).as_bytes()).expect("the prompt is well formed");
    prompt.block_hashes(BLOCKS)
}

impl World {
    async fn start(engine: engine::Settings, engines: usize, cache_events: bool) -> Self {
        let stop = CancellationToken::new();
        let settings = Settings {
            zones: ["a", "b"].map(str::to_owned).to_vec(),
            engines_per_zone: engines,
            services_per_zone: 0,
            entries: 2,
            cache_events,
            engine: engine::Settings {
                cold_tokens: 0,
                ..engine
            },
            ..Settings::default()
        };
        let cluster = Cluster::start(settings, &stop)
            .await
            .expect("the cluster starts");
        cluster.publish().await.expect("the note is accepted");
        cluster.wait_ready().await.expect("the cluster is ready");
        let index = Index::new(prefix::Settings {
            block_tokens: 1,
            anchors_only: true,
            ..prefix::Settings::default()
        });
        Self {
            cluster,
            stop,
            index,
        }
    }

    fn engine(&self) -> &Engine {
        &self.cluster.engines[0].1
    }

    /// Calls the first engine through its agent, as an entry does, and applies the digest in the
    /// reply to the index. Returns whether the reply had a digest. Tries again until the agent
    /// answers.
    async fn call(&mut self, name: &str) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let reply = self.try_call(name).await;
            if let Some(has_digest) = reply {
                return has_digest;
            }
            assert!(Instant::now() < deadline, "the agent does not answer");
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn try_call(&mut self, name: &str) -> Option<bool> {
        let upstream = self.cluster.note().add.upstreams.remove(0);
        let body = Bytes::from(body(name));
        let Cursor { epoch, seen } = self.index.cursor(UPSTREAM);
        let head = Head {
            request_id: name.to_owned(),
            workspace: "test".to_owned(),
            upstream: upstream.name,
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            headers: vec![Header {
                name: "content-type".to_owned(),
                value: Bytes::from_static(b"application/json"),
            }],
            timeout_ms: 10_000,
            tokens: 1,
            fingerprint: Bytes::from_static(&[7; 8]),
            repeatable: true,
            entry: "test".to_owned(),
            body_bytes: body.len() as u64,
            model: MODEL.to_owned(),
            cache: Some(CacheCursor { epoch, seen }),
            ..Head::default()
        };
        let kinds = [up::Kind::Head(head), up::Kind::Body(body)];
        let frames = kinds.map(|kind| Up { kind: Some(kind) });
        let uri = format!("http://{}", upstream.agent);
        let mut client = RelayClient::connect(uri).await.ok()?;
        let call = client.call(tokio_stream::iter(frames)).await.ok()?;
        let mut down = call.into_inner();
        let mut has_digest = None;
        while let Ok(Some(frame)) = down.message().await {
            match frame.kind? {
                down::Kind::Reply(reply) => {
                    let digest = reply.cache.map(|digest| Digest {
                        epoch: digest.epoch,
                        from: digest.from,
                        to: digest.to,
                        stored: digest.stored,
                        evicted: digest.evicted,
                    });
                    has_digest = Some(digest.is_some());
                    if let Some(digest) = digest {
                        self.index.apply_digest(UPSTREAM, &digest, Moment(0));
                    }
                }
                down::Kind::Refused(_) => return None,
                _ => {}
            }
        }
        has_digest
    }

    fn matched(&self, name: &str) -> u64 {
        self.index.matched(UPSTREAM, &blocks(name))
    }

    /// Calls the engine until the index matches this number of blocks of a prompt.
    async fn wait_matched(&mut self, name: &str, matched: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.matched(name) != matched {
            self.call("idle").await;
            let got = self.matched(name);
            assert!(
                Instant::now() < deadline,
                "{got} of {matched} blocks of {name} known"
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

const ALL_BLOCKS: u64 = BLOCKS as u64;

/// Guards against events that do not reach entries, and against an entry that still counts on
/// blocks that a small cache has evicted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stored_and_evicted_blocks_are_reported() {
    let small = engine::Settings {
        cache_blocks: 3 * BLOCKS,
        ..engine::Settings::default()
    };
    let mut world = World::start(small, 1, true).await;
    world.call("first").await;
    world.wait_matched("first", ALL_BLOCKS).await;
    for other in ["second", "third", "fourth"] {
        world.call(other).await;
    }
    world.wait_matched("first", 0).await;
    world.wait_matched("fourth", ALL_BLOCKS).await;
    assert!(world.engine().cached() <= 3 * BLOCKS);
}

/// Guards against blocks that stay in the index after the engine has restarted with an empty
/// cache.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn engine_restart_clears_the_index() {
    let mut world = World::start(engine::Settings::default(), 1, true).await;
    world.call("first").await;
    world.wait_matched("first", ALL_BLOCKS).await;
    world.engine().crash();
    world.wait_matched("first", 0).await;
    world.call("first").await;
    world.wait_matched("first", ALL_BLOCKS).await;
}

/// Guards against blocks that stay in the index after events were lost: one of the lost events
/// may have been their eviction.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_event_clears_the_index() {
    let mut world = World::start(engine::Settings::default(), 1, true).await;
    world.call("first").await;
    world.wait_matched("first", ALL_BLOCKS).await;
    world.engine().lose_events(1);
    world.call("lost").await;
    world.call("next").await;
    world.wait_matched("next", ALL_BLOCKS).await;
    assert_eq!((world.matched("first"), world.matched("lost")), (0, 0));
}

/// Guards against an agent that stops at an event that it cannot parse, or ignores the event
/// without clearing what was reported before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_event_clears_the_index() {
    let mut world = World::start(engine::Settings::default(), 1, true).await;
    world.call("first").await;
    world.wait_matched("first", ALL_BLOCKS).await;
    world.engine().break_events(1);
    world.call("broken").await;
    world.wait_matched("first", 0).await;
    world.call("next").await;
    world.wait_matched("next", ALL_BLOCKS).await;
    assert_eq!(world.matched("broken"), 0);
}

/// Guards against delayed events that are lost or handled as a gap in the sequence.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_events_are_reported_when_they_arrive() {
    let late = engine::Settings {
        event_lag: Some(Duration::from_secs(1)),
        ..engine::Settings::default()
    };
    let mut world = World::start(late, 1, true).await;
    let start = Instant::now();
    world.call("first").await;
    world.wait_matched("first", ALL_BLOCKS).await;
    assert!(start.elapsed() >= Duration::from_secs(1));
    world.call("second").await;
    world.wait_matched("second", ALL_BLOCKS).await;
    assert_eq!(world.matched("first"), ALL_BLOCKS);
}

/// Guards against digests for an engine that publishes no events, or for which the settings turn
/// events off: entries would needlessly discard the blocks that they expect in its cache.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn engine_without_events_gets_no_digests() {
    let silent = engine::Settings {
        event_lag: None,
        ..engine::Settings::default()
    };
    let mut world = World::start(silent, 1, true).await;
    assert!(!world.call("first").await);
    let mut world = World::start(engine::Settings::default(), 1, false).await;
    assert!(!world.call("first").await);
}

async fn send_completion(entry: SocketAddr, name: &str) {
    let uri = format!("http://{entry}/v1/chat/completions");
    let body: serde_json::Value = serde_json::from_str(&body(name)).expect("it is JSON");
    let answer: Result<serde_json::Value, _> = Client::default().post(&uri, &body).await;
    answer.expect("the entry answers");
}

/// Guards against entries that do not use digests: a prompt that one entry has sent must be
/// routed by the other entry to the engine that has it in its cache.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_entry_finds_the_prefix() {
    let world = World::start(engine::Settings::default(), 3, true).await;
    let entries = &world.cluster.callers;
    let names: Vec<_> = (0..8).map(|number| format!("session-{number}")).collect();
    for name in &names {
        send_completion(entries[0], name).await;
    }
    let cached = || -> u64 {
        let engines = world.cluster.engines.iter();
        engines
            .map(|(_, engine)| engine.record().cached_blocks)
            .sum()
    };
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        // Calls without a cached prefix go to all engines, whose replies carry new digests.
        for _ in 0..8 {
            send_completion(entries[1], &format!("uncached-{}", rand::random::<u32>())).await;
        }
        let before = cached();
        for name in &names {
            send_completion(entries[1], name).await;
        }
        let found = cached() - before;
        if found == ALL_BLOCKS * names.len() as u64 {
            return;
        }
        assert!(Instant::now() < deadline, "{found} blocks were cached");
    }
}
