//! The map from experts to ranks, per layer.
//!
//! All ranks of a group use the same map in a step, so a map is replaced only as
//! a whole: [`Map::apply`] makes the next map from a list of moves.

use serde::{Deserialize, Serialize};

/// How the tokens of an expert with several replicas are split.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Share {
    /// Every replica receives the same share.
    Even,
    /// A replica's share is proportional to the speed of its rank.
    #[default]
    Speed,
}

/// The hosts of the experts of one layer, in one array ordered by expert and
/// rank, so that equal placements are equal values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layer {
    /// End index of each expert's hosts in `hosts`.
    ends: Vec<u32>,
    hosts: Vec<u16>,
}

impl Layer {
    /// Makes a layer from the hosts of each expert, in any order.
    pub fn new(experts: impl IntoIterator<Item = Vec<u16>>) -> Self {
        let mut layer = Self::default();
        for mut hosts in experts {
            hosts.sort_unstable();
            layer.hosts.extend(hosts);
            layer.ends.push(layer.hosts.len() as u32);
        }
        layer
    }

    /// Returns the number of experts; their ids are `0..experts()`.
    pub fn experts(&self) -> u16 {
        self.ends.len() as u16
    }

    /// Returns the number of replicas, summed over all experts.
    pub fn replicas(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the ranks that hold an expert, or none for an unknown expert.
    pub fn hosts(&self, expert: u16) -> &[u16] {
        let expert = usize::from(expert);
        let Some(end) = self.ends.get(expert) else {
            return &[];
        };
        let start = expert.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.hosts[start as usize..*end as usize]
    }

    /// Adds the time of each rank to `times`: its load over its speed.
    ///
    /// `loads` holds the load per expert, `speeds` and `times` one value per
    /// rank.
    pub fn times(&self, loads: &[f64], speeds: &[f64], share: Share, times: &mut [f64]) {
        for (expert, load) in loads.iter().enumerate() {
            let hosts = self.hosts(expert as u16);
            match share {
                Share::Even => {
                    for host in hosts {
                        let host = usize::from(*host);
                        times[host] += load / hosts.len() as f64 / speeds[host];
                    }
                }
                Share::Speed => {
                    let speed: f64 = hosts.iter().map(|host| speeds[usize::from(*host)]).sum();
                    for host in hosts {
                        times[usize::from(*host)] += load / speed;
                    }
                }
            }
        }
    }

    /// Returns whether `ends` is sorted and covers exactly `hosts`, which may not
    /// hold for a decoded layer.
    fn is_consistent(&self) -> bool {
        let covered = self.ends.last().copied().unwrap_or_default();
        self.ends.is_sorted() && covered as usize == self.hosts.len()
    }

    fn insert(&mut self, expert: u16, rank: u16) {
        let hosts = self.hosts(expert);
        let position = hosts.partition_point(|host| *host < rank);
        let expert = usize::from(expert);
        let start = self.ends[expert] as usize - hosts.len();
        self.hosts.insert(start + position, rank);
        for end in &mut self.ends[expert..] {
            *end += 1;
        }
    }

    fn remove(&mut self, expert: u16, rank: u16) -> bool {
        let hosts = self.hosts(expert);
        let Some(position) = hosts.iter().position(|host| *host == rank) else {
            return false;
        };
        let start = self.ends[usize::from(expert)] as usize - hosts.len();
        self.hosts.remove(start + position);
        for end in &mut self.ends[usize::from(expert)..] {
            *end -= 1;
        }
        true
    }
}

/// Where the weights of a new replica come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The weight store.
    Store,
    /// Another rank that holds the expert and can export it to peers.
    Peer(u16),
}

/// A change to the hosts of one expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Index of the layer.
    pub layer: u16,
    /// Index of the expert within the layer.
    pub expert: u16,
    /// Replica that is added, moved or removed.
    pub change: Change,
}

/// What a [`Move`] changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A rank loads an additional replica.
    Add {
        /// Rank that loads the expert.
        to: u16,
        /// Source of the weights.
        source: Source,
    },
    /// A replica moves from one rank to another.
    Shift {
        /// Rank that releases the expert.
        from: u16,
        /// Rank that loads the expert.
        to: u16,
        /// Source of the weights.
        source: Source,
    },
    /// A rank releases a replica.
    Drop {
        /// Rank that releases the expert.
        from: u16,
    },
}

impl Move {
    /// Returns the rank that loads weights and their source, or `None` for a drop.
    pub const fn transfer(&self) -> Option<(u16, Source)> {
        match self.change {
            Change::Add { to, source } | Change::Shift { to, source, .. } => Some((to, source)),
            Change::Drop { .. } => None,
        }
    }
}

/// Why a map or a list of moves is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A layer or expert does not exist.
    Unknown(Move),
    /// The rank to load the expert already holds it, or the rank to release it
    /// does not hold it.
    Mismatch(Move),
    /// The slots or the numbers of layers or experts differ from those of the
    /// current map, or a decoded layer is inconsistent.
    Shape,
    /// An expert has no replica.
    Missing {
        /// Index of the layer.
        layer: u16,
        /// Index of the expert.
        expert: u16,
    },
    /// An expert has a host outside the group, or hosts that are duplicated or
    /// out of order.
    Host {
        /// Index of the layer.
        layer: u16,
        /// Index of the expert.
        expert: u16,
    },
    /// A rank holds more experts of a layer than it has slots.
    Slots {
        /// Index of the layer.
        layer: u16,
        /// Index of the rank.
        rank: u16,
    },
}

/// The placement of all experts of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Replicas that each rank has memory for, per layer.
    pub slots: Vec<u16>,
    /// Hosts of the experts in each layer.
    pub layers: Vec<Layer>,
}

impl Map {
    /// Makes a map that assigns experts to ranks in turn, with one replica each.
    ///
    /// The map is invalid if the ranks have too few slots; see [`Map::check`].
    pub fn round_robin(slots: Vec<u16>, experts: u16, layers: u16) -> Self {
        let ranks = slots.len().max(1) as u16;
        let layer = Layer::new((0..experts).map(|expert| vec![expert % ranks]));
        Self {
            slots,
            layers: vec![layer; usize::from(layers)],
        }
    }

    /// Returns the number of ranks in the group.
    pub fn ranks(&self) -> usize {
        self.slots.len()
    }

    /// Checks that each expert has a replica and that no rank exceeds its
    /// slots.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), Fault> {
        let mut used = vec![0; self.ranks()];
        for (number, layer) in self.layers.iter().enumerate() {
            let number = number as u16;
            if !layer.is_consistent() {
                return Err(Fault::Shape);
            }
            used.fill(0);
            for expert in 0..layer.experts() {
                let hosts = layer.hosts(expert);
                let valid = hosts.is_sorted_by(|a, b| a < b)
                    && hosts.iter().all(|host| usize::from(*host) < used.len());
                if hosts.is_empty() {
                    return Err(Fault::Missing {
                        layer: number,
                        expert,
                    });
                }
                if !valid {
                    return Err(Fault::Host {
                        layer: number,
                        expert,
                    });
                }
                for host in hosts {
                    used[usize::from(*host)] += 1;
                }
            }
            let over = (0..self.ranks()).find(|rank| used[*rank] > self.slots[*rank]);
            if let Some(rank) = over {
                return Err(Fault::Slots {
                    layer: number,
                    rank: rank as u16,
                });
            }
        }
        Ok(())
    }

    /// Returns the map after all moves, applied in order.
    ///
    /// Slots are checked only at the end, since the ranks switch to the new map
    /// as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first move that cannot be applied, or the fault of the result.
    pub fn apply(&self, moves: &[Move]) -> Result<Self, Fault> {
        let mut next = self.clone();
        for step_move in moves {
            next.change(step_move)?;
        }
        next.check()?;
        Ok(next)
    }

    fn change(&mut self, step_move: &Move) -> Result<(), Fault> {
        let expert = step_move.expert;
        let layer = self
            .layers
            .get_mut(usize::from(step_move.layer))
            .filter(|layer| expert < layer.experts())
            .ok_or(Fault::Unknown(*step_move))?;
        let (from, to) = match step_move.change {
            Change::Add { to, .. } => (None, Some(to)),
            Change::Shift { from, to, .. } => (Some(from), Some(to)),
            Change::Drop { from } => (Some(from), None),
        };
        if to.is_some_and(|to| layer.hosts(expert).contains(&to)) {
            return Err(Fault::Mismatch(*step_move));
        }
        if from.is_some_and(|from| !layer.remove(expert, from)) {
            return Err(Fault::Mismatch(*step_move));
        }
        if let Some(to) = to {
            layer.insert(expert, to);
        }
        Ok(())
    }

    /// Returns whether another map has the same slots, layers and experts.
    pub fn same_shape(&self, other: &Self) -> bool {
        let experts = |map: &Self| map.layers.iter().map(Layer::experts).collect::<Vec<_>>();
        self.slots == other.slots && experts(self) == experts(other)
    }

    /// Returns the number of replicas that `next` has and this map lacks, which
    /// is the number of experts to transfer.
    pub fn transfers(&self, next: &Self) -> usize {
        let layers = self.layers.iter().zip(&next.layers);
        layers
            .map(|(old, new)| {
                let added = |expert| {
                    let old = old.hosts(expert);
                    let new = new.hosts(expert);
                    new.iter().filter(|host| !old.contains(host)).count()
                };
                (0..new.experts()).map(added).sum::<usize>()
            })
            .sum()
    }
}
