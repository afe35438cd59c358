//! Greedy placement from scratch, without regard to the current map.
//!
//! Used only by tests and as the baseline of the benchmark `skew`; the first map
//! of a group is [`crate::map::Map::round_robin`]. A small change of the loads
//! moves most experts to other ranks, so [`crate::plan`] does not use it.

use crate::map::Layer;

/// Places the experts of one layer. Spare slots go to the experts with the
/// highest load per replica; replicas are then placed in descending order of
/// load, each on the rank that finishes earliest.
///
/// `loads` holds one value per expert, `speeds` and `slots` one per rank.
///
/// Returns `None` if the ranks have fewer slots than there are experts.
pub fn place(loads: &[f64], speeds: &[f64], slots: &[u16]) -> Option<Layer> {
    let capacity: usize = slots.iter().map(|slots| usize::from(*slots)).sum();
    let spare = capacity.checked_sub(loads.len())?;
    let replica_counts = replicate(loads, slots.len(), spare);
    let mut replicas: Vec<_> = (0..loads.len())
        .flat_map(|expert| (0..replica_counts[expert]).map(move |replica| (expert, replica)))
        .collect();
    let load = |expert: usize| loads[expert] / f64::from(replica_counts[expert]);
    // The first replica of an expert sorts before its others. Together with the
    // check of `free_total` below, this ensures that every expert finds a slot.
    replicas.sort_by(|a, b| {
        let by_load = load(b.0).total_cmp(&load(a.0));
        by_load.then(a.cmp(b))
    });
    let mut free = slots.to_vec();
    let mut assigned_load = vec![0.0; slots.len()];
    let mut hosts = vec![Vec::new(); loads.len()];
    let mut unplaced_experts = loads.len();
    let mut free_total = capacity;
    for (expert, replica) in replicas {
        if replica > 0 && free_total <= unplaced_experts {
            continue;
        }
        let load = load(expert);
        let finish = |rank: &usize| (assigned_load[*rank] + load) / speeds[*rank];
        let best = (0..slots.len())
            .filter(|rank| free[*rank] > 0 && !hosts[expert].contains(&(*rank as u16)))
            .min_by(|a, b| finish(a).total_cmp(&finish(b)));
        let Some(rank) = best else {
            continue;
        };
        free[rank] -= 1;
        free_total -= 1;
        unplaced_experts -= usize::from(replica == 0);
        assigned_load[rank] += load;
        hosts[expert].push(rank as u16);
    }
    Some(Layer::new(hosts))
}

fn replicate(loads: &[f64], ranks: usize, spare: usize) -> Vec<u32> {
    let mut replica_counts = vec![1_u32; loads.len()];
    for _ in 0..spare {
        let load = |expert: &usize| loads[*expert] / f64::from(replica_counts[*expert]);
        let heaviest = (0..loads.len())
            .filter(|expert| (replica_counts[*expert] as usize) < ranks)
            .max_by(|a, b| load(a).total_cmp(&load(b)));
        let Some(expert) = heaviest else {
            break;
        };
        replica_counts[expert] += 1;
    }
    replica_counts
}
