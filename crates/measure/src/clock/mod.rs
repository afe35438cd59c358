//! Virtual time: events in the order of their moments.

use std::collections::BTreeMap;

use sesamerock_base::time::Moment;

/// Events to come. Events of the same moment come in the order of insertion,
/// so that a seed determines a run.
#[derive(Debug)]
pub struct Clock<E> {
    now: Moment,
    count: u64,
    events: BTreeMap<(Moment, u64), E>,
}

impl<E> Default for Clock<E> {
    fn default() -> Self {
        Self {
            now: Moment::default(),
            count: 0,
            events: BTreeMap::new(),
        }
    }
}

impl<E> Clock<E> {
    /// Returns the moment of the event that was returned last.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Adds an event.
    pub fn at(&mut self, moment: Moment, event: E) {
        self.count += 1;
        self.events
            .insert((moment.max(self.now), self.count), event);
    }

    /// Returns the next event before a moment and moves the time to it.
    pub fn next(&mut self, until: Moment) -> Option<E> {
        let entry = self.events.first_entry()?;
        if entry.key().0 >= until {
            return None;
        }
        self.now = entry.key().0;
        Some(entry.remove())
    }
}

/// Returns the value at a share of sorted values, or 0 without values.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(index).copied().unwrap_or_default()
}
