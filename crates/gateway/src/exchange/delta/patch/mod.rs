//! Differences between two states of an encoded field.

use serde::{Deserialize, Serialize};

/// Equal bytes between two changes up to which both are sent as one; a change of its own takes as
/// many.
const MAX_GAP: usize = 3;

/// Replaces bytes of the former state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Bytes since the end of the last change that stay.
    skipped: u32,
    /// Bytes that are replaced.
    removed: u32,
    /// What replaces them.
    inserted: Vec<u8>,
}

/// Returns the changes from one state to another. Within a state of the same length, such as
/// counters, only the bytes that differ are replaced.
pub fn diff(old: &[u8], new: &[u8]) -> Vec<Edit> {
    if old.len() == new.len() {
        return replaced_runs(old, new);
    }
    let equal = |(old, new): &(&u8, &u8)| old == new;
    let start = old.iter().zip(new).take_while(equal).count();
    let backwards = old[start..].iter().rev().zip(new[start..].iter().rev());
    let end = backwards.take_while(equal).count();
    vec![Edit {
        skipped: start as u32,
        removed: (old.len() - start - end) as u32,
        inserted: new[start..new.len() - end].to_vec(),
    }]
}

fn replaced_runs(old: &[u8], new: &[u8]) -> Vec<Edit> {
    let mut runs: Vec<(usize, usize)> = Vec::new();
    for index in (0..new.len()).filter(|index| old[*index] != new[*index]) {
        match runs.last_mut() {
            Some((_, end)) if index - *end <= MAX_GAP => *end = index + 1,
            _ => runs.push((index, index + 1)),
        }
    }
    let mut position = 0;
    let edits = runs.into_iter().map(|(start, end)| {
        let skipped = (start - position) as u32;
        position = end;
        Edit {
            skipped,
            removed: (end - start) as u32,
            inserted: new[start..end].to_vec(),
        }
    });
    edits.collect()
}

/// Applies changes to the state from which they were taken; `None` if they do not fit it.
pub fn apply(old: &[u8], edits: &[Edit]) -> Option<Vec<u8>> {
    let mut new = Vec::with_capacity(old.len());
    let mut rest = old;
    for edit in edits {
        let (kept, after) = rest.split_at_checked(edit.skipped as usize)?;
        new.extend_from_slice(kept);
        new.extend_from_slice(&edit.inserted);
        rest = after.get(edit.removed as usize..)?;
    }
    new.extend_from_slice(rest);
    Some(new)
}
