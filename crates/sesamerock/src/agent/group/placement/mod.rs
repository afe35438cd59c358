//! Plans the placement of experts while this agent leads its group.
//!
//! The task collects what the ranks report, runs the planner on a thread that
//! carries no traffic, and names the next map to the group's leader. The
//! content of a map travels by request: a rank that is to stage a map it does
//! not know asks the leader's agent for it.

mod collect;
mod decision;

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::engine::Engine;
use sesamerock_client::error::Error;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::weights::{self, Store as _};
use sesamerock_place::cost::Model;
use sesamerock_place::map::{Map, Share};
use sesamerock_place::plan::{Plan, Planner, Round, Settings};
use tokio::sync::mpsc;

use super::content::{number_of, of_map, to_map};
use super::ranks::Ranks;
use super::{Lead, Want, report};
use crate::agent::Context;
use crate::clock;
use crate::entry::relay::Pool;
use crate::settings;
use decision::Outcome;

/// Shortest time between two collections, unless settings say otherwise.
const COLLECT: Duration = Duration::from_secs(1);
/// Time between two collections per rank, which bounds a leader's bytes.
const COLLECT_PER_RANK: Duration = Duration::from_millis(500);
/// Times of ranks that a slice of a round predicts, a tenth of a round.
const SLICE: u64 = 20_000;
/// Rest after a slice as a multiple of the slice's time. It keeps planning
/// below 1 % of a core, of the control-plane budget of 1.7 %.
const REST: u32 = 100;
/// Status by which the weight store says that it is at its limit.
const STORE_BUSY: u16 = 429;

/// Runs until the senders of wanted contents are gone.
pub(super) async fn run<E: Engine>(context: &Context<E>, mut wants: mpsc::Receiver<Want>) {
    let mut lead = context.group.shared.lead.subscribe();
    let mut task = Task {
        context,
        pool: Pool::default(),
        store: store(&context.settings.node),
        planning: None,
        due: clock::now(),
        round: 0,
    };
    loop {
        tokio::select! {
            want = wants.recv() => match want {
                Some(want) => task.fetch(want).await,
                None => return,
            },
            // The sender lives as long as the agent.
            _ = lead.changed() => {}
            () = tokio::time::sleep(task.next().since(clock::now())) => task.step().await,
        }
        let now = *lead.borrow_and_update();
        task.follow(now).await;
    }
}

fn store(node: &settings::Node) -> weights::Remote {
    let base = format!("http://{}", node.platform);
    weights::Remote(ServiceClient::new(Client::default(), base))
}

struct Task<'a, E> {
    context: &'a Context<E>,
    pool: Pool,
    store: weights::Remote,
    planning: Option<Planning>,
    /// When the reports are collected next.
    due: Moment,
    round: u32,
}

/// What a leader plans with; a new leader begins with no evidence.
struct Planning {
    planner: Planner,
    /// Map that the planner takes for the current one.
    map: u64,
    pending: Option<Pending>,
    round: Option<Round>,
    /// Time of the slices of the round.
    took: Duration,
    /// Time before which no slice runs.
    rest: Moment,
}

/// A map that the leader was told to switch to.
struct Pending {
    map: u64,
    since: Moment,
}

impl Planning {
    /// Runs a slice; returns the plan if the round is complete.
    fn slice(mut self) -> (Self, Option<Plan>) {
        let start = clock::now();
        let plan = match self.round.take() {
            None => {
                self.round = Some(self.planner.begin(start));
                None
            }
            Some(mut round) => {
                if self.planner.advance(&mut round, SLICE) {
                    Some(self.planner.finish(round))
                } else {
                    self.round = Some(round);
                    None
                }
            }
        };
        let took = clock::now().since(start);
        self.took += took;
        self.rest = clock::now() + took * REST;
        (self, plan)
    }
}

impl<E: Engine> Task<'_, E> {
    fn settings(&self) -> &settings::placement::Placement {
        &self.context.settings.placement
    }

    fn ranks(&self) -> Option<Ranks> {
        let view = self.context.control.view();
        Ranks::of(&view.state, &self.context.settings.upstream.name)
    }

    fn plans(&self, lead: Lead) -> bool {
        self.settings().enabled && lead.leads && !lead.named
    }

    /// Takes over whether this agent leads and which map its group uses.
    async fn follow(&mut self, lead: Lead) {
        if !self.plans(lead) {
            if let Some(planning) = self.planning.take() {
                self.give_up(planning.pending, "not_leading");
            }
            return;
        }
        let Some(mut planning) = self.planning.take() else {
            return;
        };
        if lead.map != planning.map {
            let Some(map) = self.content(lead.map).await else {
                self.give_up(planning.pending, "content_unknown");
                return;
            };
            if let Err(fault) = planning.planner.adopt(map) {
                log::warn!("event=placement_unusable map={} fault={fault:?}", lead.map);
                self.give_up(planning.pending, "content_unusable");
                return;
            }
            planning.map = lead.map;
            match planning.pending.take() {
                Some(pending) if pending.map == lead.map => log::info!(
                    "event=placement_in_effect map={} after_ms={}",
                    lead.map,
                    clock::now().since(pending.since).as_millis()
                ),
                other => self.give_up(other, "another_map"),
            }
        }
        self.planning = Some(planning);
    }

    /// Withdraws a map that is not in use yet.
    fn give_up(&self, pending: Option<Pending>, reason: &str) {
        self.context.group.shared.target.send_replace(None);
        if let Some(pending) = pending {
            log::info!(
                "event=placement_abandoned map={} after_ms={} reason={reason}",
                pending.map,
                clock::now().since(pending.since).as_millis()
            );
        }
    }

    /// Returns when the reports are collected or the next slice runs.
    fn next(&self) -> Moment {
        let planning = self.planning.as_ref();
        let slice = planning.filter(|planning| planning.round.is_some());
        slice.map_or(self.due, |planning| self.due.min(planning.rest))
    }

    /// Collects the reports if that is due, and plans, if this agent leads.
    async fn step(&mut self) {
        let lead = *self.context.group.shared.lead.borrow();
        let ranks = self.ranks().filter(|_| self.plans(lead));
        let collects = clock::now() >= self.due;
        if collects {
            let count = ranks.as_ref().map_or(1, |ranks| ranks.agents.len() as u32);
            let interval = COLLECT.max(COLLECT_PER_RANK * count);
            self.due = clock::now() + self.settings().collect.unwrap_or(interval);
        }
        let Some(ranks) = ranks else { return };
        let planning = match self.planning.take() {
            Some(planning) => Some(planning),
            None => self.begin(lead.map).await,
        };
        let Some(mut planning) = planning else { return };
        if collects {
            self.round = self.round.wrapping_add(1);
            let share = self.store_share();
            planning.planner.set_store_rate(clock::now(), share);
            collect::run(self.context, &self.pool, &ranks, self.round, &mut planning).await;
        }
        self.planning = self.plan(&ranks, planning).await;
    }

    /// Makes a planner for the map in use.
    async fn begin(&self, map: u64) -> Option<Planning> {
        let content = self.content(map).await?;
        let now = clock::now();
        let planner = Planner::new(content, self.planner_settings(), now);
        let planner = planner
            .inspect_err(|fault| log::warn!("event=placement_unusable map={map} fault={fault:?}"));
        Some(Planning {
            planner: planner.ok()?,
            map,
            pending: None,
            round: None,
            took: Duration::ZERO,
            rest: now,
        })
    }

    fn planner_settings(&self) -> Settings {
        let settings = self.settings();
        Settings {
            model: Model {
                fixed: settings.fixed_step,
                token_time: settings.token_ns as f64 / 1e9,
                expert_bytes: settings.expert_bytes,
                stall: settings.transfer_cost,
                cache_loss: Duration::ZERO,
                lifetime: settings.lifetime,
            },
            // Engines split the tokens of replicas evenly.
            share: Share::Even,
            memory: settings.memory,
            store_rate: self.store_share(),
            peer_rate: settings.peer_bytes_per_s,
            staging: settings.staged_experts,
            straggler_hold: settings.straggler_hold,
            ..Settings::default()
        }
    }

    /// Returns this group's share of the weight store's rate.
    fn store_share(&self) -> u64 {
        let view = self.context.control.view();
        let groups = view.state.groups().iter();
        let groups = groups.filter(|(_, group)| !group.ranks.is_empty()).count();
        self.settings().store_bytes_per_s / groups.max(1) as u64
    }

    /// Runs a slice of a round, unless a map is still on its way or the last
    /// slice took its share of the processor.
    async fn plan(&self, ranks: &Ranks, mut planning: Planning) -> Option<Planning> {
        let now = clock::now();
        if let Some(pending) = &planning.pending {
            if now.since(pending.since) >= self.settings().staging_timeout {
                planning.planner.abandon();
                self.give_up(planning.pending.take(), "staging_timeout");
            }
            return Some(planning);
        }
        if now < planning.rest {
            return Some(planning);
        }
        // A slice takes a millisecond, which would hold up calls on this thread.
        let slice = tokio::task::spawn_blocking(move || planning.slice());
        let (mut planning, plan) = slice.await.ok()?;
        if let Some(plan) = plan {
            let took = std::mem::take(&mut planning.took);
            self.decide(ranks, &mut planning, &plan, took).await;
        }
        Some(planning)
    }

    /// Reserves the transfers of a plan and names its map to the leader.
    async fn decide(&self, ranks: &Ranks, planning: &mut Planning, plan: &Plan, took: Duration) {
        let outcome = match &plan.next {
            None => Outcome::Keep,
            Some(next) => match self.reserve(ranks, plan).await {
                Ok(()) => Outcome::Switch(self.switch(planning, next)),
                Err(error) => {
                    planning.planner.abandon();
                    if let Error::Refused {
                        status: STORE_BUSY, ..
                    } = error
                    {
                        planning.planner.store_refused(clock::now());
                    }
                    Outcome::Reserve(error)
                }
            },
        };
        decision::log(
            &ranks.group,
            planning.map,
            plan,
            &outcome,
            took,
            self.settings(),
        );
    }

    fn switch(&self, planning: &mut Planning, next: &Map) -> u64 {
        let placement = of_map(next);
        let map = number_of(&placement);
        let shared = &self.context.group.shared;
        shared.contents.insert(map, placement);
        planning.pending = Some(Pending {
            map,
            since: clock::now(),
        });
        shared.target.send_replace(Some(map));
        map
    }

    /// Asks the weight store for the transfers of each rank.
    async fn reserve(&self, ranks: &Ranks, plan: &Plan) -> Result<(), Error> {
        for (rank, experts) in decision::loads(plan) {
            let transfer = weights::Transfer {
                upstream: format!("{}/{rank}", ranks.group),
                item: format!("{experts} experts"),
                bytes: experts * self.settings().expert_bytes,
            };
            self.store.reserve(&transfer).await?;
        }
        Ok(())
    }

    /// Returns the content of a map, from here or from another rank.
    async fn content(&self, map: u64) -> Option<Map> {
        let shared = &self.context.group.shared;
        let known = report::content(&shared.contents, &self.context.engine, map).await;
        if let Some(known) = known {
            return Some(to_map(&known));
        }
        let ranks = self.ranks()?;
        collect::fetch(self.context, &self.pool, &ranks, map, ranks.own).await;
        shared.contents.get(map).map(|known| to_map(&known))
    }

    /// Fetches a content that this rank's engine is to stage.
    async fn fetch(&mut self, want: Want) {
        let known = self.context.group.shared.contents.get(want.map).is_some();
        let Some(ranks) = self.ranks().filter(|_| !known) else {
            return;
        };
        // The map in use is the base of the difference that is sent.
        let contents = &self.context.group.shared.contents;
        report::learn_current(contents, &self.context.engine).await;
        collect::fetch(self.context, &self.pool, &ranks, want.map, want.leader).await;
    }
}
