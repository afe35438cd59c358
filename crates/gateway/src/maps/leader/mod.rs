//! The loop of the entry that leads.

mod group;
mod order;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use sesamerock_base::time::Moment;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use self::group::Leave;
use crate::clock;
use crate::engine::{Engine, Report};
use crate::pool::Owned;
use crate::relay::Shared;
use crate::store::{Lease, Store};
use crate::table::Experts;
use crate::upstream::Record;

/// Entries that claim the lead when nobody is heard to lead. Each claim is paid for, and
/// the store deals the lead anew whenever one of them comes or goes, so the others stay
/// out of it.
const CANDIDATES: usize = 3;
/// Time without a leader's greeting after which the first candidate claims the lead: four
/// intervals of greetings, and less than the lease that must run out.
const SILENCE: Duration = Duration::from_millis(800);
/// Time by which each further candidate waits longer, so that one claims alone.
const STAGGER: Duration = Duration::from_millis(500);
/// Parts of the lease after which the lead is claimed again. Two answers may be lost.
const RENEWALS: u32 = 4;
/// Interval at which an entry looks whether it leads.
const STANDING: Duration = Duration::from_millis(200);
/// Interval at which a leader looks for groups that it does not work on, and at which
/// it checks those that it does.
const CHECK: Duration = Duration::from_secs(1);
/// Time for the answer to a question.
const QUESTION: Duration = Duration::from_millis(500);

/// Longest pause of streams whose routes state none.
const PAUSE: Duration = Duration::from_millis(100);

/// Where this entry stands in the lead.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    generation: u64,
    until: Option<Moment>,
}

/// Who claims the lead, and for how long.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry.
    pub node: String,
    /// How long a leader leads without contact to the store. Short, as no map changes
    /// after a leader has died, and one that freezes may leave a group held.
    pub lease: Duration,
}

impl Standing {
    fn leads(self) -> bool {
        self.until.is_some_and(|until| until > clock::now())
    }
}

/// What the groups of a service have in common.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Shape of their maps.
    shape: Experts,
    /// Longest pause that their streams may make.
    pause: Duration,
}

/// The ranks of one group, in order, with what they report.
type Members = Vec<(Arc<Record>, Report)>;

/// Leads the groups of all services while the store says so.
///
/// Returns once the process is about to end and the lead is given back.
pub async fn run_leader<S: Store, E: Engine>(
    shared: Arc<Shared>,
    store: S,
    engine: E,
    settings: Settings,
) {
    let (sender, standing) = watch::channel(Standing::default());
    // The lead is kept by a task of its own, as a switch takes longer than a lease.
    let claiming = claim(Arc::clone(&shared), store.clone(), settings.clone(), sender);
    let claiming = Owned(tokio::spawn(claiming));
    let counter = Arc::new(AtomicU64::new(0));
    let mut fenced = 0;
    loop {
        sleep(STANDING).await;
        let now = *standing.borrow();
        if shared.leaving.load(Ordering::Relaxed) {
            drop(claiming);
            shared.leads.store(false, Ordering::Relaxed);
            give_back(&store, &settings.node, now).await;
            return;
        }
        if !now.leads() || now.generation <= fenced {
            continue;
        }
        let leader = Leader {
            shared: Arc::clone(&shared),
            engine: engine.clone(),
            standing: standing.clone(),
            counter: Arc::clone(&counter),
        };
        if leader.work().await == Leave::Fenced {
            fenced = standing.borrow().generation;
        }
    }
}

/// Claims the lead while this entry is to, and keeps it.
async fn claim<S: Store>(
    shared: Arc<Shared>,
    store: S,
    settings: Settings,
    standing: watch::Sender<Standing>,
) {
    let Settings { node, lease } = settings;
    loop {
        let asked = clock::now();
        let former = *standing.borrow();
        let claims = shared.view.load().claims || former.leads();
        if claims && !shared.leaving.load(Ordering::Relaxed) {
            match store.lead(&node, lease, former.generation).await {
                Ok(Lease { generation, held }) => {
                    let until = held.then_some(asked + lease);
                    if former.until.is_some() != held {
                        log::info!("event=lead node={node} leads={held} generation={generation}");
                    }
                    standing.send_replace(Standing { generation, until });
                    shared.leads.store(held, Ordering::Relaxed);
                }
                // The lease runs out by itself; the feeds say that the store is away.
                Err(fault) => log::debug!("event=lead_not_renewed reason=\"{fault}\""),
            }
        }
        if !standing.borrow().leads() {
            shared.leads.store(false, Ordering::Relaxed);
        }
        sleep(lease / RENEWALS).await;
    }
}

/// Gives the lead back, so that another entry need not wait for the end of the lease.
async fn give_back(store: &impl Store, node: &str, standing: Standing) {
    if standing.generation == 0 {
        return;
    }
    match store.resign(node).await {
        Ok(()) => log::info!("event=lead_given_back node={node}"),
        Err(fault) => log::info!("event=lead_kept_to_its_end node={node} reason=\"{fault}\""),
    }
}

/// Returns whether an entry claims the lead, after a time in which nobody was heard to
/// lead. The first ones of all that live do so one after the other, in an order that has
/// nothing to do with their zones.
pub fn should_claim<'a>(own: &str, others: impl Iterator<Item = &'a str>, unled: Duration) -> bool {
    let order = |name: &str| {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish()
    };
    let before = others.filter(|other| (order(other), *other) < (order(own), own));
    let rank = before.count();
    rank < CANDIDATES && unled >= SILENCE + STAGGER * rank as u32
}

/// The lead, for as long as this entry holds it. Its generation also rises when others
/// come and go.
#[derive(Clone, Debug)]
struct Leader<E> {
    shared: Arc<Shared>,
    engine: E,
    standing: watch::Receiver<Standing>,
    counter: Arc<AtomicU64>,
}

impl<E: Engine> Leader<E> {
    /// Returns whether this entry still leads, by its own clock, and goes on to.
    fn leads(&self) -> bool {
        self.standing.borrow().leads() && !self.shared.leaving.load(Ordering::Relaxed)
    }

    /// Returns the fencing token of what begins now.
    fn fence(&self) -> u64 {
        self.standing.borrow().generation
    }

    /// Returns a number that no other map of this leader has.
    fn next_version(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Works on all groups until the lead ends. Switches that have begun are brought to
    /// their end first, as they may hold a group.
    async fn work(&self) -> Leave {
        let mut tasks: JoinSet<(Arc<str>, Leave)> = JoinSet::new();
        let mut tended: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        let mut end = Leave::Lapsed;
        while self.leads() && end == Leave::Lapsed {
            self.adopt(&mut tasks, &mut tended).await;
            let next = sleep(CHECK);
            tokio::pin!(next);
            loop {
                let ended = tokio::select! {
                    () = &mut next => break,
                    Some(ended) = tasks.join_next() => ended,
                };
                match ended {
                    Ok((name, Leave::Changed(reason))) => {
                        log::info!("event=group_changed group={name} reason=\"{reason}\"");
                        tended.remove(&name);
                    }
                    Ok((_, leave)) => {
                        end = leave;
                        break;
                    }
                    Err(error) => {
                        // The group is found again as one that nobody works on.
                        log::error!("event=group_task_failed reason=\"{error}\"");
                        tended.clear();
                    }
                }
            }
        }
        while let Some(ended) = tasks.join_next().await {
            if let Ok((_, Leave::Fenced)) = ended {
                end = Leave::Fenced;
            }
        }
        log::info!("event=lead_ended fence={} reason={end:?}", self.fence());
        end
    }

    /// Starts to work on the groups that have no task yet.
    async fn adopt(
        &self,
        tasks: &mut JoinSet<(Arc<str>, Leave)>,
        tended: &mut HashMap<Arc<str>, Vec<Arc<str>>>,
    ) {
        let view = self.shared.view.load_full();
        let Some(table) = &view.table else {
            return;
        };
        for service in &table.content().services {
            let shape = service.engine.as_ref().and_then(|engine| engine.experts);
            let pause = table.pause(&service.name).unwrap_or(PAUSE);
            let records = view.ranks.get(service.name.as_str());
            let (Some(shape), Some(records)) = (shape, records) else {
                continue;
            };
            let busy: HashSet<&Arc<str>> = tended.values().flatten().collect();
            if records.iter().all(|record| busy.contains(&record.id)) {
                continue;
            }
            for (name, members) in self.groups(records).await {
                if tended.contains_key(&name) {
                    continue;
                }
                let ids = members.iter().map(|(record, _)| Arc::clone(&record.id));
                tended.insert(Arc::clone(&name), ids.collect());
                let kind = Kind { shape, pause };
                tasks.spawn(adopted(self.clone(), name, members, kind));
            }
        }
    }

    /// Asks the upstreams of a service and sorts them into complete, open groups.
    async fn groups(&self, records: &[Arc<Record>]) -> BTreeMap<Arc<str>, Members> {
        let mut groups: BTreeMap<Arc<str>, Members> = BTreeMap::new();
        for (record, report) in self.reports(records).await {
            let Some(group) = report.group.clone() else {
                continue;
            };
            groups.entry(group.name).or_default().push((record, report));
        }
        groups.retain(|_, members| {
            members.sort_by_key(|(_, report)| report.group.as_ref().map(|group| group.rank));
            let complete = members.iter().enumerate().all(|(place, (_, report))| {
                let group = report.group.as_ref();
                group.is_some_and(|it| usize::from(it.rank) == place && it.open)
            });
            let size = members
                .first()
                .and_then(|(_, report)| report.group.as_ref())
                .map_or(0, |group| usize::from(group.size));
            complete && members.len() == size
        });
        groups
    }

    /// Asks ranks for their state. Those that do not answer are left out.
    async fn reports(&self, records: &[Arc<Record>]) -> Members {
        let asked = records.iter().map(|record| async move {
            let report = timeout(QUESTION, self.engine.report(record)).await;
            match report {
                Ok(Ok(report)) => Some((Arc::clone(record), report)),
                Ok(Err(fault)) => {
                    log::debug!("event=no_report upstream={} reason=\"{fault}\"", record.id);
                    None
                }
                Err(_) => {
                    log::debug!("event=no_report upstream={} reason=silent", record.id);
                    None
                }
            }
        });
        join_all(asked).await.into_iter().flatten().collect()
    }
}

/// Works on a group, and names it at the end.
async fn adopted<E: Engine>(
    leader: Leader<E>,
    name: Arc<str>,
    members: Members,
    kind: Kind,
) -> (Arc<str>, Leave) {
    let leave = group::tend(leader, Arc::clone(&name), members, kind).await;
    (name, leave)
}
