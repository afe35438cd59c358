//! Tests the planned stop of a sidecar.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use sesamerock_gateway::engine::{Command, CommandOutcome, Counts, Engine, Preconditions, Report};
use sesamerock_gateway::sidecar::{Settings, SidecarEngines, run_until};
use sesamerock_gateway::store::Fault;
use sesamerock_gateway::upstream::Record;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Time in which an engine carries out a command.
const WORK: Duration = Duration::from_millis(200);

/// An engine that counts the commands that it carries out.
#[derive(Clone, Debug, Default)]
struct SlowEngine {
    begun: Arc<AtomicU32>,
}

fn unused<T>() -> Result<T, Fault> {
    Err(Fault::NoAnswer("these tests only send commands".to_owned()))
}

impl Engine for SlowEngine {
    fn has_sidecar(&self, _: &Record) -> bool {
        false
    }

    async fn report(&self, _: &Record) -> Result<Report, Fault> {
        unused()
    }

    async fn counts(&self, _: &Record, _: u16) -> Result<Counts, Fault> {
        unused()
    }

    async fn held_experts(&self, _: &Record) -> Result<(u64, Vec<Vec<u16>>), Fault> {
        unused()
    }

    async fn send_command(
        &self,
        _: &Record,
        _: &Command,
        _: Preconditions,
    ) -> Result<CommandOutcome, Fault> {
        self.begun.fetch_add(1, Ordering::Relaxed);
        sleep(WORK).await;
        Ok(CommandOutcome::Begun)
    }
}

/// Regression: a sidecar ended at once when it was told to stop, so that the leader could not tell
/// whether a command that was on its way had been carried out.
#[tokio::test]
async fn regression_commands_on_their_way_are_answered_when_a_sidecar_stops() -> eyre::Result<()> {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let exchange = free.local_addr()?;
    drop(free);
    let engine = SlowEngine::default();
    let settings = Settings {
        node: "side-1".to_owned(),
        exchange,
        engine: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let (running, ended) = oneshot::channel::<()>();
    let own = engine.clone();
    std::thread::spawn(move || {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
            panic!("cannot create a tokio runtime");
        };
        let stop = async { drop(stopped.await) };
        let result = runtime.block_on(run_until(settings, own, stop));
        // The connections of a process end with it.
        drop(runtime);
        drop(running);
        assert!(result.is_ok(), "{result:?}");
    });
    while TcpStream::connect(exchange).await.is_err() {
        sleep(Duration::from_millis(5)).await;
    }
    let record = Record {
        id: Arc::from("u1"),
        born: None,
        service: Arc::from("s"),
        address: exchange,
        zone: Arc::from("a"),
        slots: 1,
        draining: false,
        cold: Duration::ZERO,
    };
    let engines = SidecarEngines::new(SlowEngine::default(), exchange.port());
    let terms = Preconditions {
        fence: 1,
        expected: 0,
        epoch: 1,
    };
    let (from, at) = (engines.clone(), record.clone());
    let command = tokio::spawn(async move {
        let order = Command::Hold { step: 1 };
        from.send_command(&at, &order, terms).await
    });
    while engine.begun.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    drop(stop);
    assert_eq!(command.await?, Ok(CommandOutcome::Begun));
    drop(ended.await);
    let connected = TcpStream::connect(exchange).await;
    assert!(connected.is_err(), "{connected:?}");
    Ok(())
}
