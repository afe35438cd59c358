//! Notes of a fleet of engines, as operators of the target size would write.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::note::{Adapter, Kind, Model, Note, Role, Served, Upstream};
use sesamerock_note::record::Record;
use sesamerock_note::rollout::{Loaded, Phase, Report, Reports};

/// Ranks of a group.
const RANKS: usize = 64;

/// Availability zones.
const ZONES: usize = 32;

/// Adapters of each model.
const ADAPTERS: usize = 8;

/// Upstreams that one note adds.
const BATCH: usize = 20;

/// A fleet and the generator that changes it.
pub struct Fleet {
    rng: ChaCha8Rng,
    models: usize,
    upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Makes a fleet; half of it is groups of ranks, half single engines.
    pub fn new(seed: u64, upstreams: usize, models: usize) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            models,
            upstreams: Vec::new(),
        };
        for index in 0..upstreams {
            let upstream = fleet.upstream(index);
            fleet.upstreams.push(upstream);
        }
        fleet
    }

    /// Returns the upstreams as notes hold them.
    pub fn entries(&self) -> &[Upstream] {
        &self.upstreams
    }

    fn upstream(&mut self, index: usize) -> Upstream {
        let grouped = (index / RANKS).is_multiple_of(2);
        let zone = self.rng.random_range(0..ZONES);
        let mut models = vec![self.served()];
        if !grouped {
            let second = self.served();
            models.extend((second.name != models[0].name).then_some(second));
        }
        let address = (10_u32 << 24) + index as u32;
        Upstream {
            name: format!("engine-{zone:02}-{index:05}"),
            kind: Kind::Engine,
            agent: (std::net::Ipv4Addr::from_bits(address), 7_000).into(),
            zone: format!("zone-{zone:02}"),
            vm: format!("vm-{zone:02}-{index:05}"),
            models,
            role: [Role::Mixed, Role::Prefill, Role::Decode][index % 3],
            group: grouped.then(|| format!("group-{:04}", index / RANKS)),
            rank: grouped.then_some((index % RANKS) as u32),
            service: None,
            checks_fencing: index.is_multiple_of(2),
            checks_sender: index.is_multiple_of(3),
            not_repeatable: Vec::new(),
        }
    }

    fn served(&mut self) -> Served {
        let model = self.rng.random_range(0..self.models);
        let first = self.rng.random_range(0..ADAPTERS);
        Served {
            name: format!("model-{model:04}"),
            version: None,
            adapters: (first..ADAPTERS.min(first + 2))
                .map(|adapter| format!("adapter-{model:04}-{adapter}"))
                .collect(),
        }
    }

    /// Returns the log that builds the fleet.
    pub fn log(&self) -> Vec<Vec<u8>> {
        let mut first = empty("models", 0);
        for model in 0..self.models {
            first.add.models.push(model_entry(model));
            let adapters = (0..ADAPTERS).map(|index| adapter_entry(model, index));
            first.add.adapters.extend(adapters);
        }
        let mut log = vec![Record::note(first).encode()];
        for (serial, batch) in self.upstreams.chunks(BATCH).enumerate() {
            let mut note = empty(&format!("fleet-{serial:06}"), log.len() as u64);
            note.add.upstreams = batch.to_vec();
            log.push(Record::note(note).encode());
        }
        log
    }

    /// Returns a note that changes one upstream at a version.
    pub fn change(&mut self, serial: usize, base: u64) -> Vec<u8> {
        let index = self.rng.random_range(0..self.upstreams.len());
        let upstream = &mut self.upstreams[index];
        upstream.checks_sender = !upstream.checks_sender;
        let mut note = Note {
            author: "operator".to_owned(),
            comment: "engine replaced after a fault".to_owned(),
            ..empty(&format!("change-{serial:08}"), base)
        };
        note.change.upstreams.push(upstream.clone());
        Record::note(note).encode()
    }

    /// Returns reports in the middle of a rollout.
    pub fn reports(state: &State) -> Reports {
        let mut reports = Reports::default();
        for (index, (key, upstream)) in state.upstreams().iter().enumerate() {
            let phase = if index.is_multiple_of(4) {
                Phase::Loading
            } else {
                Phase::Warm
            };
            let loaded = upstream.models.iter().map(|served| Loaded {
                model: served.model,
                version: (index % 2) as u32,
                phase,
                adapters: served.adapters.iter().map(|key| (*key, 1)).collect(),
            });
            reports.set(
                key,
                Report {
                    version: state.version(),
                    loaded: loaded.collect(),
                    role: upstream.role,
                    room: index % 2,
                    live: true,
                },
            );
        }
        reports
    }

    /// Returns a log that adds models.
    pub fn models(_seed: u64, count: usize) -> Vec<Vec<u8>> {
        let numbers: Vec<_> = (0..count).collect();
        let notes = numbers.chunks(BATCH).enumerate().map(|(serial, batch)| {
            let mut note = empty(&format!("models-{serial:06}"), serial as u64);
            note.add.models = batch.iter().map(|model| model_entry(*model)).collect();
            Record::note(note).encode()
        });
        notes.collect()
    }

    /// Returns a log that adds adapters of one model.
    pub fn adapters(_seed: u64, count: usize) -> Vec<Vec<u8>> {
        let mut first = empty("model", 0);
        first.add.models.push(model_entry(0));
        let mut log = vec![Record::note(first).encode()];
        let numbers: Vec<_> = (0..count).collect();
        for (serial, batch) in numbers.chunks(BATCH).enumerate() {
            let mut note = empty(&format!("adapters-{serial:06}"), serial as u64 + 1);
            let adapters = batch.iter().map(|index| adapter_entry(0, *index));
            note.add.adapters = adapters.collect();
            log.push(Record::note(note).encode());
        }
        log
    }

    /// Returns a log in which every upstream is soon replaced by one with a new
    /// name.
    pub fn replaced(count: usize) -> Vec<Vec<u8>> {
        let fleet = Self::new(0, count, 1);
        let mut log = fleet.log()[..1].to_vec();
        log.append(&mut fleet.replacements(count, 1));
        log
    }

    /// Returns notes from a version on that add upstreams with new names, each
    /// note withdrawing those of the one before.
    pub fn replacements(&self, count: usize, version: u64) -> Vec<Vec<u8>> {
        let mut log = Vec::new();
        let mut former = Vec::new();
        for first in (0..count).step_by(BATCH) {
            let base = version + log.len() as u64;
            let mut note = empty(&format!("replace-{first:06}"), base);
            note.withdraw.upstreams = former;
            note.add.upstreams = (first..count.min(first + BATCH))
                .map(|index| Upstream {
                    name: format!("replaced-{index:05}"),
                    vm: format!("vm-replaced-{index:05}"),
                    group: None,
                    rank: None,
                    ..self.upstreams[index % self.upstreams.len()].clone()
                })
                .collect();
            let names = note.add.upstreams.iter().map(|entry| entry.name.clone());
            former = names.collect();
            log.push(Record::note(note).encode());
        }
        log
    }

    /// Returns a log of notes that change one model again and again.
    pub fn notes(count: usize) -> Vec<Vec<u8>> {
        let mut log = Self::models(0, 1);
        for serial in 0..count {
            let mut note = empty(&format!("note-{serial:08}"), log.len() as u64);
            note.change.models.push(model_entry(0));
            log.push(Record::note(note).encode());
        }
        log
    }
}

fn empty(id: &str, base: u64) -> Note {
    Note {
        id: id.to_owned(),
        base: Some(Version(base)),
        ..Note::default()
    }
}

fn model_entry(model: usize) -> Model {
    Model {
        name: format!("model-{model:04}"),
        version: 1,
    }
}

fn adapter_entry(model: usize, index: usize) -> Adapter {
    Adapter {
        name: format!("adapter-{model:04}-{index}"),
        model: format!("model-{model:04}"),
        version: 1,
    }
}
