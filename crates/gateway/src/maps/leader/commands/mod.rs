//! Sends the commands of a map switch to the ranks of a group.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use crate::engine::{Command, CommandOutcome, Engine, Preconditions};
use crate::upstream::Record;

/// Time limit for the answer to a command that is sent for the first time. Ranks answer
/// within a few milliseconds, and a held group waits for the slowest answer.
const FIRST_TIMEOUT: Duration = Duration::from_millis(30);
/// Upper limit of the time for an answer. Each retry doubles the limit, so that the answer
/// of a slow VM arrives in time eventually; a repeated command finds its effect in place.
const MAX_TIMEOUT: Duration = Duration::from_millis(240);

/// Returns the time limit for the answers to one round of commands. `round` is the number
/// of earlier rounds in the same phase.
fn answer_timeout(round: u32) -> Duration {
    (FIRST_TIMEOUT * (1 << round.min(8))).min(MAX_TIMEOUT)
}

/// Sends the commands of one round in parallel. Returns the outcome of each rank by its
/// index, or `None` where the rank did not answer within the time limit or the call
/// failed.
pub async fn send(
    engine: &impl Engine,
    group: &str,
    records: &[Arc<Record>],
    commands: Vec<(usize, Command, Preconditions)>,
    round: u32,
) -> Vec<(usize, Option<CommandOutcome>)> {
    let Some((_, first_command, preconditions)) = commands.first() else {
        return Vec::new();
    };
    let (kind, preconditions, sent) = (first_command.as_str(), *preconditions, commands.len());
    let time_limit = answer_timeout(round);
    let calls = commands
        .into_iter()
        .map(|(index, command, preconditions)| async move {
            let record = &records[index];
            let reason = match timeout(
                time_limit,
                engine.send_command(record, &command, preconditions),
            )
            .await
            {
                Ok(Ok(outcome @ (CommandOutcome::Begun | CommandOutcome::Done))) => {
                    return (index, Some(outcome));
                }
                Ok(Ok(outcome)) => {
                    log::info!(
                        "event=order_declined group={group} upstream={} order={kind} \
                     verdict={outcome:?}",
                        record.id
                    );
                    return (index, Some(outcome));
                }
                Ok(Err(fault)) => fault.to_string(),
                Err(_) => format!("no answer within {} ms", time_limit.as_millis()),
            };
            log::info!(
                "event=order_unanswered group={group} upstream={} order={kind} reason=\"{reason}\"",
                record.id
            );
            (index, None)
        });
    let answers: Vec<(usize, Option<CommandOutcome>)> = join_all(calls).await;
    let answered = answers.iter().filter(|(_, it)| it.is_some()).count();
    log::info!(
        "event=orders group={group} order={kind} sent={sent} answered={answered} round={round} \
         epoch={} fence={}",
        preconditions.epoch,
        preconditions.fence,
    );
    answers
}
