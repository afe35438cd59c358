//! Random faults, sequential and overlapping, determined by a seed.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng as _;
use sesamerock_standin::proxy;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::drill::Drill;
use crate::world::{GATEWAYS, MIN_DRILL_GATEWAYS, UPSTREAMS, World, ZONES};

/// Minimum time between the starts of two faults.
const MIN_GAP_MS: u64 = 150;
/// Upper bound of the time between the starts of two faults.
const MAX_GAP_MS: u64 = 900;

/// A fault or a planned operation.
#[derive(Clone, Debug)]
enum Kind {
    /// A gateway is killed with SIGKILL and starts again.
    Kill(usize),
    /// A gateway is stopped with SIGTERM and starts again.
    Stop(usize),
    /// A gateway is suspended with SIGSTOP and resumed.
    Freeze(usize),
    /// A gateway reloads its settings on SIGHUP.
    Reload(usize),
    /// The proxy in front of an upstream injects a network fault.
    Upstream(usize, proxy::Fault),
    /// The proxy between a gateway and the store injects a network fault.
    Store(usize, proxy::Fault),
    /// The store refuses all requests with this status.
    Refuse(u16),
    /// A new version of the operators' table is written.
    Version,
    /// An upstream registers as draining and later as ready.
    Drain(usize),
    /// A zone is taken out of service and returned to service.
    Evacuate(usize),
    /// An upstream removes its registration and later registers as ready.
    Leave(usize),
    /// The store is restored from a copy, beside faults of gateways.
    Restore(Box<Drill>),
}

impl Kind {
    fn draw(random: &mut ChaCha8Rng) -> Self {
        let mut below = |bound: usize| random.next_u32() as usize % bound;
        let network = [
            proxy::Fault::Cut,
            proxy::Fault::Hold,
            proxy::Fault::Delay(Duration::from_millis(120)),
            proxy::Fault::DropAnswers,
            proxy::Fault::HalfClose,
        ];
        match below(14) {
            0 => Self::Kill(below(GATEWAYS)),
            1 | 2 => Self::Stop(below(GATEWAYS)),
            3 => Self::Freeze(below(GATEWAYS)),
            4 => Self::Reload(below(GATEWAYS)),
            5..=7 => Self::Upstream(below(UPSTREAMS), network[below(network.len())]),
            8 | 9 => Self::Store(below(GATEWAYS), network[below(network.len())]),
            10 => Self::Refuse([503, 429][below(2)]),
            11 => Self::Version,
            12 => Self::Drain(below(UPSTREAMS)),
            _ => Self::Evacuate(below(ZONES.len())),
        }
    }

    /// Draws from the faults of [`Mix::Drill`].
    fn draw_drill(random: &mut ChaCha8Rng, restarts: bool) -> Self {
        let mut below = |bound: usize| random.next_u32() as usize % bound;
        match below(16) {
            0..=8 => Self::Version,
            9 => Self::Drain(below(UPSTREAMS)),
            10 => Self::Leave(below(UPSTREAMS)),
            11 => Self::Evacuate(below(ZONES.len())),
            12 => Self::Reload(below(MIN_DRILL_GATEWAYS)),
            13 if restarts => Self::Kill(below(MIN_DRILL_GATEWAYS)),
            _ => Self::Restore(Box::new(Drill::draw(random, restarts))),
        }
    }

    /// Returns whether the fault may keep a gateway from receiving updates.
    fn disturbs(&self) -> bool {
        matches!(
            self,
            Self::Kill(_)
                | Self::Stop(_)
                | Self::Freeze(_)
                | Self::Store(..)
                | Self::Refuse(_)
                | Self::Restore(_)
        )
    }
}

/// Selection of the faults that a run may inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// All faults.
    All,
    /// Only faults that keep no gateway from receiving updates, so that the time limits apply
    /// during the whole run.
    Calm,
    /// Restores of the store from copies, beside faults of gateways, and many versions of the table.
    Drill {
        /// Whether gateways are also killed, told to stop and started again.
        restarts: bool,
    },
}

impl Mix {
    /// Returns the mix for a seed with restores of the store. With even seeds, all processes keep
    /// running.
    pub fn for_drill(seed: u64) -> Self {
        Self::Drill {
            restarts: !seed.is_multiple_of(2),
        }
    }

    /// Returns the mix for a seed: [`Mix::Calm`] for multiples of 3, otherwise [`Mix::All`].
    pub fn for_seed(seed: u64) -> Self {
        if seed.is_multiple_of(3) {
            Self::Calm
        } else {
            Self::All
        }
    }

    fn draw(self, random: &mut ChaCha8Rng) -> Kind {
        if let Self::Drill { restarts } = self {
            return Kind::draw_drill(random, restarts);
        }
        loop {
            let kind = Kind::draw(random);
            if self == Self::All || !kind.disturbs() {
                return kind;
            }
        }
    }
}

/// Starts faults for `run_duration` and waits until the last one has ended. Returns a
/// description of each fault, in order of start.
///
/// # Errors
/// Fails if a process cannot be signalled or started again.
pub async fn inject(
    world: &World,
    random: &mut ChaCha8Rng,
    mix: Mix,
    run_duration: Duration,
) -> eyre::Result<Vec<String>> {
    let start = Instant::now();
    let mut descriptions = Vec::new();
    // Time of the run without delays of this machine, which are no part of the seed.
    let mut planned = 0;
    let mut next_drill = 0;
    let mut running: JoinSet<eyre::Result<()>> = JoinSet::new();
    while start.elapsed() < run_duration {
        let span = MAX_GAP_MS - MIN_GAP_MS;
        let gap = MIN_GAP_MS + u64::from(random.next_u32()) % span;
        sleep(Duration::from_millis(gap)).await;
        planned += gap;
        let kind = match mix.draw(random) {
            Kind::Restore(_) if planned < next_drill => Kind::Version,
            Kind::Restore(drill) => {
                next_drill = planned + drill.lull.as_millis() as u64;
                Kind::Restore(drill)
            }
            kind => kind,
        };
        let fault_duration = Duration::from_millis(300 + u64::from(random.next_u32()) % 2_700);
        descriptions.push(format!(
            "{:.1}s {kind:?} for {:.1}s",
            start.elapsed().as_secs_f64(),
            fault_duration.as_secs_f64()
        ));
        world.recorder.record_event(&format!("drawn={kind:?}"));
        let world = world.clone();
        running.spawn(async move {
            let disturbs = kind.disturbs();
            if disturbs {
                world.recorder.record_disturbance(true);
            }
            let done = apply(&world, kind, fault_duration).await;
            if disturbs {
                world.recorder.record_disturbance(false);
            }
            done
        });
    }
    while let Some(done) = running.join_next().await {
        done??;
    }
    Ok(descriptions)
}

async fn apply(world: &World, kind: Kind, fault_duration: Duration) -> eyre::Result<()> {
    match kind {
        Kind::Kill(number) => {
            world.signal(number, libc::SIGKILL)?;
            sleep(fault_duration / 3).await;
            world.restart(number)?;
        }
        Kind::Stop(number) => {
            world.signal(number, libc::SIGTERM)?;
            // A suspended process handles SIGTERM only after it is resumed.
            for _ in 0..200 {
                sleep(Duration::from_millis(50)).await;
                if world.restart(number)? {
                    break;
                }
            }
        }
        Kind::Freeze(number) => {
            world.signal(number, libc::SIGSTOP)?;
            sleep(fault_duration).await;
            world.signal(number, libc::SIGCONT)?;
        }
        Kind::Reload(number) => world.signal(number, libc::SIGHUP)?,
        Kind::Upstream(number, fault) => {
            world.servers[number].proxy.set(fault);
            sleep(fault_duration).await;
            world.servers[number].proxy.set(proxy::Fault::Pass);
        }
        Kind::Store(number, fault) => {
            world.gateway(number).store.set(fault);
            sleep(fault_duration).await;
            world.gateway(number).store.set(proxy::Fault::Pass);
        }
        Kind::Refuse(status) => {
            world.store.refuse(Some(status));
            sleep(fault_duration).await;
            world.store.refuse(None);
        }
        Kind::Version => {
            world.next_version_unless_paused();
        }
        Kind::Drain(number) => {
            world.register(number, "draining");
            sleep(fault_duration + Duration::from_secs(2)).await;
            world.register(number, "ready");
        }
        Kind::Evacuate(zone) => {
            world.evacuate(ZONES[zone], true);
            sleep(fault_duration + Duration::from_secs(5)).await;
            world.evacuate(ZONES[zone], false);
        }
        Kind::Leave(number) => {
            world.register(number, "");
            sleep(fault_duration + Duration::from_secs(2)).await;
            world.register(number, "ready");
        }
        Kind::Restore(drill) => drill.play(world).await?,
    }
    Ok(())
}
