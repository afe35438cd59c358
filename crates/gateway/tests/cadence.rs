//! Replays of the decision at which reads the counts of all ranks are needed.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use sesamerock_base::time::Moment;
use sesamerock_gateway::engine::Counts;
use sesamerock_gateway::maps::cadence::Cadence;
use sesamerock_gateway::maps::plan::{self, Demand, initial_map};
use sesamerock_gateway::table::Experts;

const RANKS: u16 = 24;
const SETS: usize = 16;
const EXPERTS: u32 = 96;
/// Choices of a rank in one set between two reads at 100 ms.
const CHOICES: usize = 80;

/// A group whose ranks choose experts at random, those from `peak` on more often.
struct Group {
    random: ChaCha8Rng,
    counts: Vec<(u16, Counts)>,
}

impl Group {
    fn new(seed: u64) -> Self {
        let counts = Counts {
            step: 0,
            epoch: 1,
            counts: vec![vec![0; EXPERTS as usize]; SETS],
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            counts: (0..RANKS).map(|rank| (rank, counts.clone())).collect(),
        }
    }

    /// Runs steps until the next read and returns what it yields.
    fn read(&mut self, cadence: &Cadence, peak: u32) -> Vec<(u16, Counts)> {
        for (_, counts) in &mut self.counts {
            counts.step += 20;
            for set in &mut counts.counts {
                for _ in 0..CHOICES {
                    let (a, b) = (self.random.next_u32(), self.random.next_u32());
                    // The smaller of two has a falling density.
                    let expert = (a % EXPERTS).min(b % EXPERTS) + peak;
                    set[(expert % EXPERTS) as usize] += 1;
                }
            }
        }
        let ranks = usize::from(RANKS);
        let read = self.counts.iter().map(|(rank, counts)| {
            let mut counts = counts.clone();
            if !cadence.needs(*rank, ranks) {
                counts.counts.clear();
            }
            (*rank, counts)
        });
        read.collect()
    }
}

/// Returns at which of some reads all counts were read, or were to be at once.
fn replay(cadence: &mut Cadence, group: &mut Group, reads: usize, peak: u32) -> Vec<bool> {
    let ranks = usize::from(RANKS);
    let read = |_| {
        let had_all = cadence.needs_all(ranks);
        let counts = group.read(cadence, peak);
        cadence.record(&counts, ranks) || had_all
    };
    (0..reads).map(read).collect()
}

/// Guards against counts that are read in full although the shares of the experts are stable.
#[test]
fn all_counts_are_read_every_third_time_while_shares_are_stable() {
    for seed in 0..2 {
        let (mut cadence, mut group) = (Cadence::default(), Group::new(seed));
        replay(&mut cadence, &mut group, 15, 0);
        let reads = replay(&mut cadence, &mut group, 90, 0);
        let full = reads.iter().filter(|all| **all).count();
        assert!((30..=39).contains(&full), "seed {seed}: {full} of 90");
    }
}

/// Guards against a later reaction to a shift of demand than with all counts at each read.
#[test]
fn all_counts_are_read_at_once_and_at_each_read_after_a_shift() {
    for (seed, delay) in (0..2).flat_map(|seed| (30..33).map(move |delay| (seed, delay))) {
        let (mut cadence, mut group) = (Cadence::default(), Group::new(seed));
        replay(&mut cadence, &mut group, delay, 0);
        let reads = replay(&mut cadence, &mut group, 9, 24);
        assert_eq!(reads, [true; 9], "seed {seed}, shift after {delay} reads");
    }
}

/// Guards against a switch that is not abandoned in time since counts are read rarely.
#[test]
fn all_counts_are_read_during_a_switch_and_after_a_restart() {
    let (mut cadence, mut group) = (Cadence::default(), Group::new(1));
    replay(&mut cadence, &mut group, 30, 0);
    cadence.reset();
    assert_eq!(replay(&mut cadence, &mut group, 9, 0), [true; 9]);
    replay(&mut cadence, &mut group, 30, 0);
    for (_, counts) in &mut group.counts {
        counts.epoch += 1;
    }
    assert_eq!(replay(&mut cadence, &mut group, 9, 0), [true; 9]);
}

/// Guards against small groups, a part of which varies too much to show a shift.
#[test]
fn small_groups_are_read_in_full() {
    let (mut cadence, mut group) = (Cadence::default(), Group::new(1));
    for _ in 0..40 {
        assert!(cadence.needs_all(8));
        let counts = group.read(&cadence, 0);
        assert!(!cadence.record(&counts[..8], 8));
    }
}

/// Returns after how many reads a shift of demand leads to a new map. `is_rare` tells whether
/// reads of all counts are left out while the shares are stable.
fn reads_to_plan(seed: u64, delay: usize, is_rare: bool) -> usize {
    // That of the first deployment, where copying an expert takes 76 ms.
    let shape = Experts {
        sets: SETS as u16,
        experts: EXPERTS as u16,
        places: 5,
        spare: 2,
        bytes: 420_000_000,
        rate: 5_500_000_000,
        share: 0.85,
    };
    let ranks = usize::from(RANKS);
    let (mut cadence, mut group) = (Cadence::default(), Group::new(seed));
    let mut demand = Demand::new(plan::Settings::default(), shape);
    let mut map = initial_map(shape, RANKS);
    for read in 0..delay + 20 {
        let now = Moment::from_millis(100_000 + 100 * read as u64);
        if !is_rare {
            cadence.reset();
        }
        let had_all = cadence.needs_all(ranks);
        let peak = if read < delay { 0 } else { 48 };
        let counts = group.read(&cadence, peak);
        let reads_all = cadence.record(&counts, ranks);
        let all = group.counts.clone();
        if (had_all || reads_all)
            && demand.observe(all, now)
            && let Some(plan) = demand.plan(&map, 1.0)
        {
            if read >= delay {
                return read - delay;
            }
            map = plan.map;
            cadence.reset();
        }
    }
    usize::MAX
}

/// Guards against maps that follow a shift of demand later since counts are read rarely.
#[test]
fn maps_follow_a_shift_as_soon_as_with_all_counts() {
    for (seed, delay) in [(1, 40), (2, 41), (3, 42)] {
        let all = reads_to_plan(seed, delay, false);
        let rare = reads_to_plan(seed, delay, true);
        println!("seed {seed}: map after {all} reads with all counts, {rare} with rare ones");
        assert!(
            rare <= all + 1,
            "seed {seed}: {rare} reads, {all} with all counts"
        );
    }
}
