//! Merges the windows that the ranks hold into the plan that a new leader must
//! complete.

use crate::message::{Fence, Held, Map, Report, Step, Window};

/// The windows of the ranks are inconsistent: two engines may run one step with
/// different maps, or no rank holds a step between two granted ones. No
/// sequence of messages can lead to either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Conflict {
    /// First step with two maps, or first step that no rank holds.
    pub step: Step,
}

/// Returns the step at which the group continues: the lowest next step of the
/// ranks that have run or may run any. An engine that never ran joins there.
pub fn start(reports: &[&Report]) -> Step {
    let joined = reports
        .iter()
        .filter(|report| report.step > 0 || report.running_to() > 0);
    joined.map(|report| report.step).min().unwrap_or(0)
}

/// Returns the map of the last window that some engine may run.
pub fn last_runnable_map(reports: &[&Report]) -> Option<Map> {
    let held = reports.iter().flat_map(|report| &report.held);
    let running = held.filter(|held| held.accepted.is_none());
    let last = running.max_by_key(|held| held.window.to);
    last.map(|held| held.window.map)
}

/// Returns the windows from `start` on that were or may have been confirmed.
///
/// For each step, a window that an engine may run takes precedence. Without one,
/// the window accepted under the highest fencing token does. The plan ends at the
/// first step that no rank holds: no later step can have been confirmed, since
/// each rank accepts windows without gaps.
///
/// # Errors
/// Returns the first step with two maps, or the first step without a map before a
/// step that an engine may run.
pub fn merge(reports: &[&Report], start: Step) -> Result<Vec<Window>, Conflict> {
    let held: Vec<&Held> = reports.iter().flat_map(|report| &report.held).collect();
    let mut plan: Vec<Window> = Vec::new();
    let mut from = start;
    while let Some(next) = segment(&held, from)? {
        from = next.to;
        match plan.last_mut() {
            Some(last) if last.map == next.map => last.to = next.to,
            _ => plan.push(next),
        }
    }
    let beyond = |held: &&Held| held.accepted.is_none() && held.window.to > from;
    if held.into_iter().any(|held| beyond(&held)) {
        return Err(Conflict { step: from });
    }
    Ok(plan)
}

/// Returns the longest window from a step on in which the same held windows apply,
/// or `None` if no rank holds the step.
fn segment(held: &[&Held], from: Step) -> Result<Option<Window>, Conflict> {
    let covers = |held: &&&Held| held.window.from <= from && from < held.window.to;
    let Some(best) = held
        .iter()
        .filter(covers)
        .max_by_key(|held| precedence(held))
    else {
        return Ok(None);
    };
    let contradicted = held
        .iter()
        .filter(covers)
        .any(|other| precedence(other) == precedence(best) && other.window.map != best.window.map);
    if contradicted {
        return Err(Conflict { step: from });
    }
    let bounds = held
        .iter()
        .flat_map(|held| [held.window.from, held.window.to]);
    let to = bounds.filter(|bound| *bound > from).min();
    Ok(to.map(|to| Window {
        from,
        to,
        map: best.window.map,
    }))
}

/// Orders held windows by precedence: those that an engine may run are highest,
/// then those accepted under a higher token.
fn precedence(held: &Held) -> (bool, Fence) {
    (held.accepted.is_none(), held.accepted.unwrap_or_default())
}
