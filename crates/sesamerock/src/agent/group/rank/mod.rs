//! This agent's member, together with the engine it commands.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::engine::{self, Engine, FencedCommand, Load};
use sesamerock_group::member::{self, Member};
use sesamerock_group::message::{Fence, Incarnation, Map, Message, Window};

use super::content::planned;
use super::ranks::Ranks;
use super::{Shared, Want};
use crate::clock;

/// Time for one command or report of the engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an engine that has not staged a map is told again.
const RESTAGE: Duration = Duration::from_secs(5);

/// The member and what is known of its engine.
#[derive(Debug)]
pub(super) struct Rank<E> {
    engine: E,
    sender: String,
    index: u32,
    checks_fencing: bool,
    shared: Arc<Shared>,
    member: Option<Live>,
    /// When the engine was last told to stage a map that it has not staged.
    staging: HashMap<Map, Moment>,
}

#[derive(Debug)]
struct Live {
    member: Member,
    /// Incarnation of the engine that the member speaks for.
    engine: u64,
}

impl<E: Engine> Rank<E> {
    pub(super) fn new(engine: E, sender: String, ranks: &Ranks, shared: Arc<Shared>) -> Self {
        Self {
            engine,
            sender,
            index: ranks.own,
            checks_fencing: ranks.checks_fencing,
            shared,
            member: None,
            staging: HashMap::new(),
        }
    }

    /// Handles a request of a leader; `None` if the engine does not answer.
    pub(super) async fn receive(&mut self, request: &Message) -> Option<Message> {
        let load = self.refresh(request.fence()).await?;
        let live = self.member.as_mut()?;
        live.member.observe(&report(&load));
        let mut commands = live.member.missing_commands(&report(&load));
        let answer = live.member.receive(request);
        let fence = live.member.promised();
        commands.extend(answer.commands);
        self.keep_new(&mut commands);
        for command in commands {
            let Some(command) = self.command_of(command, request.fence().rank) else {
                continue;
            };
            // A command that is lost is sent again with the next request.
            if !self.command(fence, load.fence, command).await {
                self.staging.clear();
                break;
            }
        }
        Some(answer.reply)
    }

    /// Reads the engine's report, and makes a new member for a new engine.
    async fn refresh(&mut self, fence: Fence) -> Option<Load> {
        let load = self.load().await?;
        let fits = |live: &Live| {
            live.engine == load.incarnation && !live.member.is_outdated(&report(&load))
        };
        if self.member.as_ref().is_some_and(fits) {
            return Some(load);
        }
        // Commands of an earlier agent may still be on their way. An engine
        // that checks tokens refuses them once it has seen a higher one, and
        // only then its report tells for good what it may run.
        let load = if self.checks_fencing {
            if !self
                .command(fence, load.fence + 1, engine::Command::Fence)
                .await
            {
                return None;
            }
            self.load().await?
        } else {
            load
        };
        let incarnation: Incarnation = rand::random();
        log::info!(
            "event=group_member_started rank={} incarnation={incarnation} engine={} step={} \
             granted_to={}",
            self.index,
            load.incarnation,
            load.step,
            load.granted_to
        );
        self.staging.clear();
        self.member = Some(Live {
            member: Member::new(incarnation, &report(&load)),
            engine: load.incarnation,
        });
        Some(load)
    }

    /// Drops commands to stage a map that the engine is staging already; the
    /// leader asks until it is staged.
    fn keep_new(&mut self, commands: &mut Vec<member::Command>) {
        let now = clock::now();
        self.staging.retain(|_, at| now.since(*at) < RESTAGE);
        commands.retain(|command| match command {
            member::Command::Stage(map) => {
                let asked = self.staging.contains_key(map);
                self.staging.entry(*map).or_insert(now);
                !asked
            }
            member::Command::Drop(_) | member::Command::Run(_) => true,
        });
    }

    /// Adds the content to a command to stage a planned map. If it is not known
    /// here, it is asked for, and the leader's next request tries again.
    fn command_of(&mut self, command: member::Command, leader: u32) -> Option<engine::Command> {
        match command {
            member::Command::Stage(map) => {
                let content = self.shared.contents.get(map);
                if content.is_none() && planned(map) {
                    self.staging.remove(&map);
                    // A full channel loses the request, which is repeated.
                    let _ = self.shared.wants.try_send(Want { map, leader });
                    return None;
                }
                let placement = content.map(|content| (*content).clone());
                Some(engine::Command::StageMap { map, placement })
            }
            member::Command::Drop(map) => Some(engine::Command::DropMap { map }),
            member::Command::Run(Window { from, to, map }) => {
                Some(engine::Command::RunSteps { from, to, map })
            }
        }
    }

    async fn load(&self) -> Option<Load> {
        let read = tokio::time::timeout(ENGINE_TIMEOUT, self.engine.load()).await;
        read.ok()?.ok()
    }

    /// Gives a command under a leader's token, or under `least` if that is
    /// higher, since other commands carry versions of the control state.
    async fn command(&self, fence: Fence, least: u64, command: engine::Command) -> bool {
        let order = FencedCommand {
            fence: fence.number().max(least),
            sender: self.sender.clone(),
            command,
        };
        let sent = tokio::time::timeout(ENGINE_TIMEOUT, self.engine.command(&order)).await;
        let failure = match sent {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::warn!(
            "event=group_command_failed rank={} command={:?} error={failure}",
            self.index,
            order.command
        );
        false
    }
}

fn report(load: &Load) -> member::Engine {
    let windows = load.windows.iter().map(|window| Window {
        from: window.from,
        to: window.to,
        map: window.map,
    });
    member::Engine {
        step: load.step,
        step_us: load.step_us,
        staged: load.staged.clone(),
        windows: windows.collect(),
    }
}
