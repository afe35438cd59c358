//! Restores of the store from a copy, beside faults of gateways.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng as _;
use sesamerock_standin::proxy;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::world::World;

/// Interval between two copies of the store.
pub const COPY_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the begin of a fault that hides a version from some gateways until it is written.
const BLIND_LEAD: Duration = Duration::from_millis(50);
/// Time between two writes of a lost record.
const TWICE_INTERVAL: Duration = Duration::from_millis(40);

/// How the store is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    /// It refuses all requests.
    Refuse,
    /// All connections to it are closed, and new ones refused.
    Close,
    /// Connections stay open and nothing is answered.
    Silent,
}

/// What happens to gateways beside a restore. Times count from the moment [`Drill::lead`] before
/// the store leaves.
#[derive(Clone, Copy, Debug)]
enum Companion {
    None,
    /// Processes are killed and started again.
    Kill {
        gateways: Set,
        down: Duration,
    },
    /// Processes are told to stop and started again.
    Stop {
        gateways: Set,
    },
    /// Processes are suspended and resumed.
    Freeze {
        gateways: Set,
        time: Duration,
    },
    /// The connections to the store have a fault.
    Store {
        gateways: Set,
        fault: proxy::Fault,
        time: Duration,
    },
}

/// Gateways, one bit each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Set(u32);

impl Set {
    const ALL: Self = Self(u32::MAX);

    fn begin_store_faults(self, world: &World, fault: proxy::Fault) -> Vec<(usize, u64)> {
        let numbers = self.numbers(world.gateways.len());
        let faults = numbers.map(|number| (number, world.begin_store_fault(number, fault)));
        faults.collect()
    }

    fn numbers(self, gateways: usize) -> impl Iterator<Item = usize> {
        (0..gateways).filter(move |number| self.0 & (1 << number) != 0)
    }
}

/// An absence of the store that ends with a restore.
#[derive(Clone, Copy, Debug)]
pub struct Drill {
    leave: Leave,
    away: Duration,
    /// Age of the copy when the store leaves.
    copy_age: Duration,
    /// Time from the restore until what was lost is written again.
    rewritten_after: Duration,
    /// Whether each lost version of the table is written twice.
    twice: bool,
    /// Time from the begin of the drill until the store leaves.
    lead: Duration,
    /// When a version of the table is written, if before the store leaves.
    version_at: Option<Duration>,
    /// Gateways that do not read that version: a fault of their connections to the store, from 50 ms
    /// before the version on.
    blind: Option<(Set, proxy::Fault)>,
    /// Time from the restore until that fault ends.
    blind_until: Duration,
    /// Whether no new version is written from the absence on until what was lost is written again.
    pauses_versions: bool,
    /// Time from the begin of this drill until another one may begin.
    pub lull: Duration,
    /// When the companion begins.
    companion_at: Duration,
    companion: Companion,
    second_at: Duration,
    second: Companion,
}

/// Draws from a seed.
#[derive(Debug)]
struct Draw<'a>(&'a mut ChaCha8Rng);

impl Draw<'_> {
    fn below(&mut self, bound: u32) -> u32 {
        self.0.next_u32() % bound
    }

    fn millis(&mut self, from: u32, to: u32) -> Duration {
        Duration::from_millis(u64::from(from + self.below(to - from)))
    }

    fn set(&mut self) -> Set {
        match self.below(4) {
            0 => Set::ALL,
            1 => Set(self.below(63) + 1),
            _ => Set(1 << self.below(6)),
        }
    }

    fn store_fault(&mut self) -> proxy::Fault {
        let faults = [
            proxy::Fault::Cut,
            proxy::Fault::Hold,
            proxy::Fault::DropAnswers,
            proxy::Fault::Delay(self.millis(50, 900)),
        ];
        faults[self.below(4) as usize]
    }

    fn companion(&mut self, restarts: bool) -> Companion {
        let gateways = self.set();
        let fault = self.store_fault();
        // Without the store, no gateway can know of a change.
        let longest = if gateways == Set::ALL { 800 } else { 6_000 };
        let time = self.millis(200, longest);
        let down = self.millis(20, 2_500);
        match self.below(10) {
            0..=2 => Companion::None,
            3 | 4 if restarts => Companion::Kill { gateways, down },
            5 if restarts => Companion::Stop { gateways },
            6 | 7 => Companion::Freeze { gateways, time },
            _ => Companion::Store {
                gateways,
                fault,
                time,
            },
        }
    }
}

impl Drill {
    /// Draws a drill, with kills and stops of gateways if `restarts`.
    pub fn draw(random: &mut ChaCha8Rng, restarts: bool) -> Self {
        let mut draw = Draw(random);
        let leaves = [Leave::Refuse, Leave::Close, Leave::Close, Leave::Silent];
        let lead = draw.millis(100, 1_000);
        let longest = [500, 3_000][draw.below(2) as usize];
        let away = draw.millis(50, longest);
        // Versions shortly before the store leaves are read by none or by some gateways.
        let longest = [60, 800][draw.below(2) as usize];
        let before = draw.millis(0, longest);
        let has_version = draw.below(4) > 0;
        let blind = (draw.set(), draw.store_fault());
        let blind_until = [100, 1_500][draw.below(2) as usize];
        let has_blind = draw.below(2) == 0;
        let lull = [0, 4_000, 9_000][draw.below(3) as usize];
        let earliest = [0, 4_000][draw.below(2) as usize];
        // A fault that begins before the version may hide it from the gateways that it concerns.
        let whole = (lead + away).as_millis() as u32 + 1_000;
        let spans = [lead.as_millis() as u32, whole];
        let spans = [spans[draw.below(2) as usize], spans[draw.below(2) as usize]];
        Self {
            leave: leaves[draw.below(4) as usize],
            away,
            copy_age: draw.millis(500, 7_000),
            rewritten_after: draw.millis(earliest, 7_500),
            twice: draw.below(2) == 0,
            lead,
            version_at: has_version.then(|| lead.saturating_sub(before)),
            blind: (has_version && has_blind).then_some(blind),
            blind_until: draw.millis(0, blind_until),
            pauses_versions: draw.below(4) > 0,
            lull: Duration::from_millis(lull),
            companion_at: draw.millis(0, spans[0]),
            companion: draw.companion(restarts),
            second_at: draw.millis(0, spans[1]),
            second: draw.companion(restarts),
        }
    }

    /// Plays the drill until what was lost is written again and the gateways run.
    ///
    /// # Errors
    /// Fails if a process cannot be signalled or started again.
    pub async fn play(self, world: &World) -> eyre::Result<()> {
        let mut tasks: JoinSet<eyre::Result<()>> = JoinSet::new();
        let companions = [
            (self.companion_at, self.companion),
            (self.second_at, self.second),
        ];
        for (at, companion) in companions {
            let world = world.clone();
            tasks.spawn(async move {
                sleep(at).await;
                accompany(&world, companion).await
            });
        }
        if let Some(at) = self.version_at {
            let world = world.clone();
            tasks.spawn(async move {
                sleep(at.saturating_sub(BLIND_LEAD)).await;
                let faults = self.blind.map(|(set, fault)| {
                    world.record_event(&format!("fault=Blind {set:?} {fault:?}"));
                    set.begin_store_faults(&world, fault)
                });
                sleep(BLIND_LEAD.min(at)).await;
                world.next_version();
                sleep(self.lead.saturating_sub(at) + self.away + self.blind_until).await;
                if let Some(faults) = faults {
                    end_store_faults(&world, faults);
                    world.record_event("end of fault=Blind");
                }
                Ok(())
            });
        }
        sleep(self.lead).await;
        self.restore(world).await;
        while let Some(done) = tasks.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn restore(self, world: &World) {
        if self.pauses_versions {
            world.pause_versions(true);
        }
        let absence = world.begin_absence(self.copy_age);
        world.record_event(&format!(
            "store=leaves {:?} {:?} copy_age={:?}",
            self.leave, self.away, self.copy_age
        ));
        let fault = match self.leave {
            Leave::Refuse => proxy::Fault::Pass,
            Leave::Close => proxy::Fault::Cut,
            Leave::Silent => proxy::Fault::Hold,
        };
        if self.leave == Leave::Refuse {
            world.store.refuse(Some(503));
        }
        let faults = match self.leave {
            Leave::Refuse => Vec::new(),
            Leave::Close | Leave::Silent => Set::ALL.begin_store_faults(world, fault),
        };
        sleep(self.away).await;
        let lost = world.restore(absence);
        if self.leave == Leave::Refuse {
            world.store.refuse(None);
        }
        end_store_faults(world, faults);
        world.record_event(&format!("store=restored lost={lost:?}"));
        sleep(self.rewritten_after).await;
        for write in &lost {
            world.renew(write);
            if self.twice {
                sleep(TWICE_INTERVAL).await;
                world.renew(write);
            }
        }
        world.renew_newest(&lost);
        if self.pauses_versions {
            world.pause_versions(false);
        }
    }
}

fn end_store_faults(world: &World, faults: Vec<(usize, u64)>) {
    for (number, id) in faults {
        world.end_store_fault(number, id);
    }
}

async fn accompany(world: &World, companion: Companion) -> eyre::Result<()> {
    let gateways = world.gateways.len();
    if !matches!(companion, Companion::None) {
        world.record_event(&format!("fault={companion:?}"));
    }
    match companion {
        Companion::None => {}
        Companion::Kill {
            gateways: set,
            down,
        } => {
            for number in set.numbers(gateways) {
                world.signal(number, libc::SIGKILL)?;
            }
            sleep(down).await;
            for number in set.numbers(gateways) {
                world.restart(number)?;
            }
        }
        Companion::Stop { gateways: set } => {
            for number in set.numbers(gateways) {
                world.signal(number, libc::SIGTERM)?;
            }
            let mut waiting: Vec<usize> = set.numbers(gateways).collect();
            // A suspended process handles SIGTERM only after it is resumed.
            for _ in 0..200 {
                let mut left = Vec::new();
                for number in waiting {
                    if !world.restart(number)? {
                        left.push(number);
                    }
                }
                if left.is_empty() {
                    break;
                }
                waiting = left;
                sleep(Duration::from_millis(50)).await;
            }
        }
        Companion::Freeze {
            gateways: set,
            time,
        } => {
            for number in set.numbers(gateways) {
                world.signal(number, libc::SIGSTOP)?;
            }
            sleep(time).await;
            for number in set.numbers(gateways) {
                world.signal(number, libc::SIGCONT)?;
            }
        }
        Companion::Store {
            gateways: set,
            fault,
            time,
        } => {
            let faults = set.begin_store_faults(world, fault);
            sleep(time).await;
            end_store_faults(world, faults);
        }
    }
    if !matches!(companion, Companion::None) {
        world.record_event(&format!("end of fault={companion:?}"));
    }
    Ok(())
}

/// Keeps copies of the store in an endless loop.
pub async fn keep_copies(world: World) {
    loop {
        world.keep_copy();
        sleep(COPY_INTERVAL).await;
    }
}
