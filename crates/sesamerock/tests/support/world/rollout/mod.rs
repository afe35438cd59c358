//! Scenario commands and quantities for the rollout of a model version.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sesamerock::dev::MODEL;
use sesamerock::entry::operator::Status;
use sesamerock_client::http::client::Client;
use sesamerock_note::note::{Model, Note};
use sesamerock_scenario::script::duration;
use sesamerock_standin::engine::Engine;

use super::operator::publish;
use super::{Options, ProcessWorld};

/// Interval at which warm engines are counted; far shorter than the time to load a model, so
/// that no load is missed.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Returns the number of engines that serve the model at full rate.
pub fn warm_engines(engines: &[(String, Engine)]) -> usize {
    let serves = |(_, engine): &&(String, Engine)| engine.serves(MODEL);
    engines.iter().filter(serves).count()
}

impl ProcessWorld {
    /// Sets how engines load models, and starts to record the least number of warm engines.
    pub(super) fn configure_engines(&mut self, options: &Options<'_>) -> Result<(), String> {
        let time = options.text("load_time")?;
        let time = duration(time).ok_or("load_time must be a duration")?;
        let room = options.number("room")? as usize;
        let capacity = options.number("loading_capacity")? as usize;
        for (_, engine) in &self.engines {
            engine.configure(|settings| {
                settings.load_time = time;
                settings.room = room;
                settings.loading_capacity = capacity;
            });
        }
        self.watch_engines();
        Ok(())
    }

    fn watch_engines(&self) {
        let engines = self.engines.clone();
        let least = Arc::clone(&self.least_warm);
        least.store(warm_engines(&engines) as u64, Ordering::Relaxed);
        let stop = self.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(record_least_warm(engines, least)));
    }

    /// Publishes a note that changes the version of the model.
    pub(super) async fn upgrade(&mut self, version: &str) -> Result<(), String> {
        let version = version
            .parse()
            .map_err(|_error| "a version is a number".to_owned())?;
        let mut note = Note {
            id: format!("upgrade-{version}"),
            ..Note::default()
        };
        note.change.models.push(Model {
            name: MODEL.to_owned(),
            version,
        });
        let uri = format!("http://{}/operator/notes", self.operators[0]);
        self.verdicts.push(publish(&uri, &note).await);
        Ok(())
    }

    /// Returns the number of lines about the progress of rollouts that contain a text, or
    /// infinity if the first entry does not answer, so that no upper bound holds.
    pub(super) async fn progress(&self, text: &str) -> f64 {
        let uri = format!("http://{}/operator/status?progress=1", self.operators[0]);
        let status = Client::default().get::<Status>(&uri, Duration::ZERO).await;
        status.map_or(f64::INFINITY, |status| {
            let lines = status.progress.iter();
            lines.filter(|line| line.contains(text)).count() as f64
        })
    }
}

/// Records the least number of warm engines in `least` until cancelled.
async fn record_least_warm(engines: Vec<(String, Engine)>, least: Arc<AtomicU64>) {
    loop {
        least.fetch_min(warm_engines(&engines) as u64, Ordering::Relaxed);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
