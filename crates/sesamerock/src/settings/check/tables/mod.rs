//! Schemas of the settings files: type, limits, default and help text of each key.

mod hedge;
mod placement;

use sesamerock_note::schema::{Field, Kind, Need, Schema, Unique};

/// Names of 1 to 128 bytes.
const NAME: Kind = Kind::Text { min: 1, max: 128 };
/// Times in milliseconds, up to an hour.
const MILLIS: Kind = Kind::Integer {
    min: 1,
    max: 3_600_000,
};

const fn field(name: &'static str, kind: Kind, need: Need, about: &'static str) -> Field {
    Field {
        name,
        kind,
        need,
        about,
    }
}

static NODE: Schema = Schema {
    name: "node",
    about: "The process and its surroundings, in both roles.",
    fields: &[
        field(
            "name",
            NAME,
            Need::Required,
            "Name, unique among live processes.",
        ),
        field("vm", NAME, Need::Required, "VM that hosts the process."),
        field("zone", NAME, Need::Required, "Availability zone."),
        field("region", NAME, Need::Required, "Region."),
        field(
            "peer",
            Kind::Address,
            Need::Required,
            "Address of the peer service, by which nodes exchange control records.",
        ),
        field(
            "advertised_peer",
            Kind::Address,
            Need::Optional,
            "Address at which other nodes reach the peer service, if it differs.",
        ),
        field(
            "seeds",
            Kind::List {
                of: &Kind::Address,
                min: 0,
                max: 64,
                unique: Unique::Items,
            },
            Need::Optional,
            "Peer addresses to begin with; a few in other zones are enough.",
        ),
        field(
            "platform",
            Kind::Address,
            Need::Required,
            "Address of the log, the VM list and the weight store.",
        ),
        field(
            "threads",
            Kind::Integer { min: 0, max: 1_024 },
            Need::Default("0"),
            "Threads for traffic; 0 stands for one per core.",
        ),
    ],
    rules: &[],
};

static UPSTREAM: Schema = Schema {
    name: "upstream",
    about: "The upstream beside an agent.",
    fields: &[
        field("name", NAME, Need::Required, "Name, as in release notes."),
        field(
            "address",
            Kind::Address,
            Need::Required,
            "Address of its HTTP interface.",
        ),
        field(
            "kind",
            Kind::Choice(&["engine", "service"]),
            Need::Default("engine"),
            "Model engine or plain service.",
        ),
        field(
            "poll_ms",
            MILLIS,
            Need::Default("100"),
            "Time between two reads of its load report and its cache events.",
        ),
        field(
            "min_calls",
            Kind::Integer { min: 1, max: 4096 },
            Need::Default("1"),
            "Calls that the upstream is known to run at the same time; the learned limit never falls below it.",
        ),
        field(
            "cache_events",
            Kind::Boolean,
            Need::Default("false"),
            "Whether the agent reads the events of an engine's prefix cache; where it does not, entries go by what they sent. Off until a measure shows a gain, see `notes/prefix.md`.",
        ),
    ],
    rules: &[],
};

/// Identity of the process; part of the settings files of both roles.
const NODE_FIELD: Field = field(
    "node",
    Kind::Record(&NODE),
    Need::Required,
    "The process and its surroundings.",
);
const BODY_BYTES: Field = field(
    "body_bytes",
    Kind::Integer {
        min: 1,
        max: 64 << 20,
    },
    Need::Default("4194304"),
    "Longest request body in bytes.",
);

/// The settings file of an entry.
pub static ENTRY: Schema = Schema {
    name: "entry",
    about: "Settings of `sesamerock entry`.",
    fields: &[
        NODE_FIELD,
        field(
            "caller",
            Kind::Address,
            Need::Required,
            "Address for callers.",
        ),
        field(
            "operator",
            Kind::Address,
            Need::Required,
            "Address for operators, health and metrics; callers must not reach it.",
        ),
        BODY_BYTES,
        field(
            "connections",
            Kind::Integer {
                min: 1,
                max: 1_000_000,
            },
            Need::Default("10000"),
            "Connections of callers open at once; more wait to be accepted.",
        ),
        field(
            "header_timeout_ms",
            MILLIS,
            Need::Default("30000"),
            "Time for a caller to send its request header, and idle time of a connection.",
        ),
        field(
            "body_timeout_ms",
            MILLIS,
            Need::Default("30000"),
            "Time for a caller to send its request body.",
        ),
        field(
            "request_timeout_ms",
            MILLIS,
            Need::Default("60000"),
            "Deadline of a request that names none.",
        ),
        field(
            "entries_max_age_ms",
            MILLIS,
            Need::Default("5000"),
            "Time for which callers may keep the list of entries; a stopping entry serves on as long.",
        ),
        field(
            "attempts",
            Kind::Integer { min: 1, max: 16 },
            Need::Default("4"),
            "Attempts per request, the first included.",
        ),
        field(
            "waiting",
            Kind::Integer {
                min: 0,
                max: 1_000_000,
            },
            Need::Default("4096"),
            "Requests that may wait for room at an upstream; more are refused.",
        ),
        field(
            "hedge",
            Kind::Record(&hedge::HEDGE),
            Need::Optional,
            "When a slow look-up is sent to a second upstream.",
        ),
        field(
            "rank_routing",
            Kind::Boolean,
            Need::Default("true"),
            "Whether ranks of a group are chosen by what they do to the group's steps; if not, they count as unrelated upstreams.",
        ),
    ],
    rules: &[],
};

/// The settings file of an agent.
pub static AGENT: Schema = Schema {
    name: "agent",
    about: "Settings of `sesamerock agent`.",
    fields: &[
        NODE_FIELD,
        field(
            "relay",
            Kind::Address,
            Need::Required,
            "Address of the relay service, as release notes name it.",
        ),
        field(
            "operator",
            Kind::Address,
            Need::Required,
            "Address for health and metrics.",
        ),
        field(
            "upstream",
            Kind::Record(&UPSTREAM),
            Need::Required,
            "The upstream.",
        ),
        BODY_BYTES,
        field(
            "drain_timeout_ms",
            MILLIS,
            Need::Default("120000"),
            "Time for running calls to finish after a stop.",
        ),
        field(
            "map_switch_ms",
            MILLIS,
            Need::Optional,
            "Time within which a staged expert map is to be in use, for a rank of a group; 1000 when absent, and more for a group of over ten ranks.",
        ),
        field(
            "placement",
            Kind::Record(&placement::PLACEMENT),
            Need::Optional,
            "Planning of expert placement, for a rank of a group.",
        ),
    ],
    rules: &[],
};
