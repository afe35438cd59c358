//! Tests of the encoding of expert counts between sidecars and the leader.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bincode::Options as _;
use quickcheck::{Arbitrary, Gen, quickcheck};
use sesamerock_gateway::engine::{Command, CommandOutcome, Counts, Engine, Preconditions, Report};
use sesamerock_gateway::sidecar::{Decoder, Encoder, Settings, SidecarEngines, run_until};
use sesamerock_gateway::store::Fault;
use sesamerock_gateway::upstream::Record;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// What may happen between two reads of the counts.
#[derive(Clone, Copy, Debug)]
enum Step {
    Read,
    AnswerLost,
    EngineRestarts,
    /// The sidecar or the leader restarts, or their connection breaks.
    ConnectionLost,
    EpochChanges,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let reads = [Self::Read; 6];
        let faults = [
            Self::AnswerLost,
            Self::EngineRestarts,
            Self::ConnectionLost,
            Self::EpochChanges,
        ];
        *g.choose(&[reads.as_slice(), &faults].concat())
            .unwrap_or(&Self::Read)
    }
}

fn counts_of(sets: usize, experts: usize) -> Counts {
    Counts {
        step: 1,
        epoch: 1,
        counts: vec![vec![0; experts]; sets],
    }
}

quickcheck! {
    /// Guards against a leader that adds differences to other counts than those that they were
    /// taken from, after any sequence of faults.
    fn decoded_counts_are_those_of_the_engine(steps: Vec<(Step, Vec<u64>)>) -> bool {
        let mut engine = counts_of(3, 5);
        let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
        steps.into_iter().all(|(step, choices)| {
            engine.step += 1;
            for (count, added) in engine.counts.iter_mut().flatten().zip(choices) {
                // Above and below the usual, up to the largest count that there is.
                *count = count.saturating_add(added >> (added % 64));
            }
            match step {
                Step::Read => {}
                Step::AnswerLost => {
                    encoder.encode(engine.clone(), decoder.base());
                }
                Step::EngineRestarts => engine = counts_of(3, 5),
                Step::ConnectionLost => {
                    (encoder, decoder) = (Encoder::default(), Decoder::default());
                }
                Step::EpochChanges => engine.epoch += 1,
            }
            let reading = encoder.encode(engine.clone(), decoder.base());
            decoder.decode(&reading) == Some(engine.clone())
        })
    }
}

/// Guards against counts that are never read again after a message whose base the leader lacks.
#[test]
fn a_lost_base_leads_to_full_counts() {
    let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
    let counts = counts_of(2, 4);
    let first = encoder.encode(counts.clone(), None);
    assert_eq!(decoder.decode(&first), Some(counts.clone()));
    let second = encoder.encode(counts.clone(), decoder.base());
    let mut other = Decoder::default();
    assert_eq!(other.decode(&second), None);
    let third = encoder.encode(counts.clone(), other.base());
    assert_eq!(other.decode(&third), Some(counts));
}

/// Counts of a rank after `reads` reads at 100 ms, each with about 1,300 choices in 16 x 96
/// experts, which are skewed as in the deployments.
fn typical(sets: usize, experts: usize, reads: u64) -> Counts {
    let choices = |expert: usize| 100_000 / (expert as u64 + 8) / 96;
    let set = (0..experts).map(|expert| choices(expert) * reads / 20);
    Counts {
        step: 20 * reads,
        epoch: 3,
        counts: vec![set.collect(); sets],
    }
}

/// Regression: the leader read all cumulative counts of each rank, some 8 kB, ten times a second,
/// which were most bytes between zones. Prints the bytes of a read.
#[test]
fn regression_reads_of_counts_take_a_quarter_of_full_counts() {
    for (sets, experts) in [(16, 96), (8, 252)] {
        let (mut encoder, mut decoder) = (Encoder::default(), Decoder::default());
        let earlier = typical(sets, experts, 20_000);
        let later = typical(sets, experts, 20_001);
        let size = |it: &_| {
            bincode::DefaultOptions::new()
                .serialized_size(it)
                .unwrap_or(0)
        };
        let former = bincode::DefaultOptions::new();
        let former = former
            .serialized_size(&(1_u64, 1_u64, &later.counts))
            .unwrap_or(0);
        let full = encoder.encode(earlier.clone(), None);
        let full_size = size(&full);
        assert_eq!(decoder.decode(&full), Some(earlier));
        let delta = encoder.encode(later.clone(), decoder.base());
        let delta_size = size(&delta);
        assert_eq!(decoder.decode(&delta), Some(later));
        let third = encoder.encode(typical(sets, experts, 20_004), decoder.base());
        println!("{sets} x {experts}: after 300 ms {}", size(&third));
        println!("{sets} x {experts}: former {former} full {full_size} delta {delta_size}");
        assert!(delta_size * 4 <= former, "{delta_size} of {former} bytes");
    }
}

/// An engine with counts that its test sets.
#[derive(Clone, Debug, Default)]
struct CountingEngine {
    reads: Arc<AtomicU64>,
}

fn unused<T>() -> Result<T, Fault> {
    Err(Fault::NoAnswer("this test only reads counts".to_owned()))
}

impl Engine for CountingEngine {
    fn has_sidecar(&self, _: &Record) -> bool {
        false
    }

    async fn report(&self, _: &Record) -> Result<Report, Fault> {
        unused()
    }

    async fn counts(&self, at: &Record, _: u16) -> Result<Counts, Fault> {
        if at.id.is_empty() {
            return unused();
        }
        Ok(typical(2, 4, self.reads.load(Ordering::Relaxed)))
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
        unused()
    }
}

/// Guards against wrong counts or a lost engine over a real connection: with reads of the step
/// alone in between, two engines after one another, an engine that fails and one that restarts.
#[tokio::test]
async fn counts_through_a_sidecar_are_those_of_the_engine() -> eyre::Result<()> {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let exchange = free.local_addr()?;
    drop(free);
    let settings = Settings {
        node: "side-1".to_owned(),
        exchange,
        engine: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    let engine = CountingEngine::default();
    tokio::spawn(run_until(settings, engine.clone(), std::future::pending()));
    while TcpStream::connect(exchange).await.is_err() {
        sleep(Duration::from_millis(5)).await;
    }
    let record = |id: &str| Record {
        id: Arc::from(id),
        born: None,
        service: Arc::from("s"),
        address: exchange,
        zone: Arc::from("a"),
        slots: 1,
        draining: false,
        cold: Duration::ZERO,
    };
    let engines = SidecarEngines::new(CountingEngine::default(), exchange.port());
    // The last ones are those of a restarted engine.
    for reads in [40, 80, 120, 20, 60] {
        engine.reads.store(reads, Ordering::Relaxed);
        let all = Ok(typical(2, 4, reads));
        assert_eq!(engines.counts(&record("u1"), 2).await, all);
        let step = engines.counts(&record("u1"), 0).await?;
        assert_eq!((step.step, step.counts.len()), (20 * reads, 0));
        assert_eq!(engines.counts(&record("u1"), 2).await, all);
        assert_eq!(engines.counts(&record("u2"), 2).await, all);
        assert_eq!(engines.counts(&record(""), 2).await, unused());
    }
    Ok(())
}
