//! Divides the capacity of a service between workspaces and, inside each, between priorities.

use std::collections::BTreeMap;

use super::Key;

/// Rounds of the search for a fill level. Each halves the interval, so that the error is far below
/// one call.
const ROUNDS: u32 = 60;
/// Weight of a workspace without a positive one.
const MIN_WEIGHT: f64 = 1e-6;

/// Limits of what one claimant gets.
#[derive(Clone, Copy, Debug)]
struct Claim {
    weight: f64,
    least: f64,
    most: f64,
}

impl Claim {
    fn at(&self, level: f64) -> f64 {
        (level * self.weight).max(self.least).min(self.most)
    }
}

/// Returns the part of each claimant in `capacity` by weighted max-min fairness.
fn fill(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let sum = |level: f64| claims.iter().map(|claim| claim.at(level)).sum::<f64>();
    let lightest = claims.iter().map(|claim| claim.weight);
    let lightest = lightest.fold(f64::INFINITY, f64::min);
    let (mut low, mut high) = (0.0, capacity / lightest);
    if sum(high) <= capacity {
        return claims.iter().map(|claim| claim.at(high)).collect();
    }
    for _ in 0..ROUNDS {
        let middle = f64::midpoint(low, high);
        if sum(middle) > capacity {
            high = middle;
        } else {
            low = middle;
        }
    }
    claims.iter().map(|claim| claim.at(low)).collect()
}

/// Demand of one workspace and what it gets, by priority.
#[derive(Debug)]
struct Account {
    workspace: u32,
    weight: f64,
    /// Priority, demand and allocation.
    kinds: Vec<(u8, f64, f64)>,
}

impl Account {
    fn demand(&self) -> f64 {
        self.kinds.iter().map(|(_, demand, _)| demand).sum()
    }

    /// Grants each priority at least `ratio` of its demand, and the rest by priority.
    fn grant(&mut self, total: f64, ratio: f64) {
        for (_, demand, granted) in &mut self.kinds {
            *granted = *demand * ratio;
        }
        let mut left = total - self.demand() * ratio;
        for (_, demand, granted) in &mut self.kinds {
            let more = (*demand - *granted).min(left).max(0.0);
            *granted += more;
            left -= more;
        }
    }

    fn kind(&mut self, priority: u8) -> Option<&mut (u8, f64, f64)> {
        self.kinds.iter_mut().find(|(one, _, _)| *one == priority)
    }
}

/// Returns how much of its demand each workspace and priority gets.
///
/// Each workspace is entitled to a part of the capacity by its weight. What it does not use is lent
/// to the others, the highest priority first. Each workspace, and within it each priority, keeps
/// `floor` of the ratio of the capacity to the whole demand.
pub fn allocate(
    capacity: f64,
    demand: &BTreeMap<Key, f64>,
    weights: &BTreeMap<u32, f64>,
    floor: f64,
) -> BTreeMap<Key, f64> {
    let total: f64 = demand.values().sum();
    if total <= capacity {
        return demand.clone();
    }
    let ratio = floor * capacity / total;
    let mut accounts: Vec<Account> = Vec::new();
    for (key, demand) in demand {
        let kind = (key.priority, *demand, 0.0);
        match accounts.last_mut() {
            Some(last) if last.workspace == key.workspace => last.kinds.push(kind),
            _ => accounts.push(Account {
                workspace: key.workspace,
                weight: weights
                    .get(&key.workspace)
                    .map_or(MIN_WEIGHT, |it| it.max(MIN_WEIGHT)),
                kinds: vec![kind],
            }),
        }
    }
    let entitled = accounts.iter().map(|account| Claim {
        weight: account.weight,
        least: account.demand() * ratio,
        most: f64::INFINITY,
    });
    let entitled = fill(capacity, &entitled.collect::<Vec<_>>());
    let mut spare = capacity;
    for (account, entitled) in accounts.iter_mut().zip(entitled) {
        let granted = entitled.min(account.demand());
        account.grant(granted, ratio);
        spare -= granted;
    }
    lend(&mut accounts, spare);
    let granted = accounts.into_iter().flat_map(|account| {
        let workspace = account.workspace;
        let kinds = account.kinds.into_iter();
        kinds.map(move |(priority, _, granted)| {
            (
                Key {
                    workspace,
                    priority,
                },
                granted,
            )
        })
    });
    granted.collect()
}

/// Divides what is left between the demands that are not met, the highest priority first.
fn lend(accounts: &mut [Account], mut spare: f64) {
    let priorities = accounts.iter().flat_map(|account| &account.kinds);
    let mut priorities: Vec<u8> = priorities.map(|(priority, _, _)| *priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    for priority in priorities {
        if spare <= 0.0 {
            return;
        }
        let claims = accounts.iter_mut().map(|account| Claim {
            weight: account.weight,
            least: 0.0,
            most: account
                .kind(priority)
                .map_or(0.0, |(_, demand, granted)| *demand - *granted),
        });
        let lent = fill(spare, &claims.collect::<Vec<_>>());
        for (account, lent) in accounts.iter_mut().zip(lent) {
            if let Some((_, _, granted)) = account.kind(priority) {
                *granted += lent;
                spare -= lent;
            }
        }
    }
}
