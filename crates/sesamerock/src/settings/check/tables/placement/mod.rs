//! Schema of the settings for expert placement.

use sesamerock_note::schema::{Kind, Need, Schema};

use super::{MILLIS, field};

/// Rates in bytes per second. At the lowest one, transferring an expert takes
/// minutes.
const BYTES_PER_SECOND: Kind = Kind::Integer {
    min: 1 << 16,
    max: 1 << 40,
};
/// Times in microseconds, up to a second.
const MICROS: Kind = Kind::Integer {
    min: 1,
    max: 1_000_000,
};

pub(super) static PLACEMENT: Schema = Schema {
    name: "placement",
    about: "Planning of expert placement by the leader of a group. All ranks of a group need the same values.",
    fields: &[
        field(
            "enabled",
            Kind::Boolean,
            Need::Default("true"),
            "Whether maps are planned; if not, the group keeps its map.",
        ),
        field(
            "collect_ms",
            Kind::Integer {
                min: 50,
                max: 600_000,
            },
            Need::Optional,
            "Time between two collections of the ranks' reports; 500 per rank and at least 1000 when absent.",
        ),
        field(
            "store_bytes_per_s",
            BYTES_PER_SECOND,
            Need::Default("268435456"),
            "Limit of the weight store for all groups; each group uses it over the number of groups.",
        ),
        field(
            "peer_bytes_per_s",
            BYTES_PER_SECOND,
            Need::Default("1073741824"),
            "Rate of transfers between the ranks of a group.",
        ),
        field(
            "expert_bytes",
            Kind::Integer {
                min: 1,
                max: 1 << 34,
            },
            Need::Default("46137344"),
            "Weights of one expert of one layer, in bytes.",
        ),
        field(
            "staged_experts",
            Kind::Integer { min: 1, max: 1_024 },
            Need::Default("4"),
            "Experts that a rank can stage at once.",
        ),
        field(
            "fixed_step_us",
            MICROS,
            Need::Default("5000"),
            "Part of a step that does not depend on the map.",
        ),
        field(
            "token_ns",
            Kind::Integer {
                min: 1,
                max: 1_000_000,
            },
            Need::Default("2000"),
            "Time of a token in one expert, in nanoseconds.",
        ),
        field(
            "transfer_cost_us",
            MICROS,
            Need::Default("5000"),
            "Step time that the group loses per expert transferred, by staging and by colder caches.",
        ),
        field(
            "lifetime_ms",
            Kind::Integer {
                min: 1_000,
                max: 86_400_000,
            },
            Need::Default("1800000"),
            "Time for which a map is expected to stay better than the one before.",
        ),
        field(
            "memory_ms",
            MILLIS,
            Need::Default("30000"),
            "Time after which a report's weight in the estimate has fallen to 1/e.",
        ),
        field(
            "straggler_hold_ms",
            MILLIS,
            Need::Default("30000"),
            "Time for which a rank must be slow before experts are moved away from it.",
        ),
        field(
            "staging_timeout_ms",
            MILLIS,
            Need::Default("300000"),
            "Time for a planned map to be staged and in use before it is given up.",
        ),
    ],
    rules: &[],
};
