//! Tables of the fields of a release note.

use crate::bound;
use crate::call;
use crate::fold::{CALL_RULE, NAME_RULE, is_name};
use crate::record::{ID_RULE, is_id};
use crate::schema::tree::Node;
use crate::schema::{Field, Kind, Need, Rule, Schema, Unique};

const NAME: Kind = Kind::Form {
    expected: NAME_RULE,
    accepts: is_name,
};
const CALL: Kind = Kind::Form {
    expected: CALL_RULE,
    accepts: |text| call::parse(text).is_some(),
};
const VERSION: Kind = Kind::Integer {
    min: 0,
    max: u32::MAX as i64,
};
const CALLS: Kind = Kind::List {
    of: &CALL,
    min: 0,
    max: bound::MAX_CALL_RULES,
    unique: Unique::Items,
};
const NAMES: Kind = Kind::List {
    of: &NAME,
    min: 0,
    max: bound::MAX_NOTE_ENTRIES,
    unique: Unique::Items,
};

/// Makes a list of entries of which each name may occur once.
const fn entries(of: &'static Kind, keys: &'static [&'static str]) -> Kind {
    Kind::List {
        of,
        min: 0,
        max: bound::MAX_NOTE_ENTRIES,
        unique: Unique::Keys(keys),
    }
}

const fn field(name: &'static str, kind: Kind, need: Need, about: &'static str) -> Field {
    Field {
        name,
        kind,
        need,
        about,
    }
}

const fn required(name: &'static str, kind: Kind, about: &'static str) -> Field {
    field(name, kind, Need::Required, about)
}

const fn optional(name: &'static str, kind: Kind, about: &'static str) -> Field {
    field(name, kind, Need::Optional, about)
}

pub(super) const NOTE: Schema = Schema {
    name: "release note",
    about: "What operators add, change and withdraw.",
    fields: &[
        required(
            "id",
            Kind::Form {
                expected: ID_RULE,
                accepts: is_id,
            },
            "Identifies the note; publishing the same id again changes nothing.",
        ),
        optional(
            "base",
            Kind::Integer {
                min: 0,
                max: i64::MAX,
            },
            "Control-state version it was written against; absent means the current one.",
        ),
        field(
            "author",
            Kind::Text {
                min: 0,
                max: bound::MAX_AUTHOR_BYTES,
            },
            Need::Default(""),
            "Who wrote it.",
        ),
        field(
            "comment",
            Kind::Text {
                min: 0,
                max: bound::MAX_COMMENT_BYTES,
            },
            Need::Default(""),
            "Why it was written.",
        ),
        optional(
            "add",
            Kind::Record(&ADD),
            "Entries that must not exist yet.",
        ),
        optional(
            "change",
            Kind::Record(&CHANGE),
            "Entries that exist; each is replaced as a whole.",
        ),
        optional(
            "withdraw",
            Kind::Record(&WITHDRAW),
            "Entries that exist and are removed.",
        ),
    ],
    rules: &[],
};

const UPSTREAMS: Field = optional(
    "upstreams",
    entries(&Kind::Record(&UPSTREAM), &["name", "agent"]),
    "Engines and servers of plain services.",
);
const MODELS: Field = optional(
    "models",
    entries(&Kind::Record(&MODEL), &["name"]),
    "Models with the version that upstreams follow.",
);
const ADAPTERS: Field = optional(
    "adapters",
    entries(&Kind::Record(&ADAPTER), &["name"]),
    "Adapters of models.",
);
const SERVICES: Field = optional(
    "services",
    entries(&Kind::Record(&SERVICE), &["name"]),
    "Plain services.",
);

const ADD: Schema = Schema {
    name: "add",
    about: "Entries that must not exist yet.",
    fields: &[
        UPSTREAMS,
        MODELS,
        ADAPTERS,
        optional(
            "versions",
            entries(&Kind::Record(&RELEASE), &[]),
            "Further versions of models, above all former ones, that upstreams may name.",
        ),
        SERVICES,
    ],
    rules: &[],
};

const CHANGE: Schema = Schema {
    name: "change",
    about: "Entries that exist; each is replaced as a whole.",
    fields: &[UPSTREAMS, MODELS, ADAPTERS, SERVICES],
    rules: &[],
};

const WITHDRAW: Schema = Schema {
    name: "withdraw",
    about: "Entries that exist and are removed. Nothing may still use them.",
    fields: &[
        optional("upstreams", NAMES, "Upstreams by name."),
        optional("models", NAMES, "Models by name."),
        optional("adapters", NAMES, "Adapters by name."),
        optional(
            "versions",
            entries(&Kind::Record(&RELEASE), &[]),
            "Versions of models.",
        ),
        optional("services", NAMES, "Services by name."),
    ],
    rules: &[],
};

const UPSTREAM: Schema = Schema {
    name: "upstream",
    about: "One engine or server of a service, with the agent in front of it.",
    fields: &[
        required("name", NAME, "Name, unique among upstreams."),
        required(
            "kind",
            Kind::Choice(&["engine", "service"]),
            "What runs behind the agent.",
        ),
        required("agent", Kind::Address, "Where entries reach the agent."),
        required("zone", NAME, "Availability zone."),
        required("vm", NAME, "Virtual machine."),
        optional(
            "models",
            Kind::List {
                of: &Kind::Record(&SERVED),
                min: 0,
                max: bound::MAX_SERVED_MODELS,
                unique: Unique::Keys(&["name"]),
            },
            "Models that an engine serves.",
        ),
        field(
            "role",
            Kind::Choice(&["mixed", "prefill", "decode"]),
            Need::Default("mixed"),
            "Phases of generation that an engine performs.",
        ),
        optional("group", NAME, "Group of ranks that step together."),
        optional(
            "rank",
            Kind::Integer {
                min: 0,
                max: bound::MAX_RANKS as i64 - 1,
            },
            "Rank within the group.",
        ),
        optional("service", NAME, "Service that a server belongs to."),
        field(
            "checks_fencing",
            Kind::Boolean,
            Need::Default("false"),
            "Whether the engine refuses commands with a stale fencing token.",
        ),
        field(
            "checks_sender",
            Kind::Boolean,
            Need::Default("false"),
            "Whether the engine verifies the sender of a command.",
        ),
        optional(
            "not_repeatable",
            CALLS,
            "Calls that must not be repeated, beside those of the service.",
        ),
    ],
    rules: &[
        Rule {
            at: "service",
            expected: "given for kind service and for no other",
            holds: |node| match node.text("kind") {
                Some("service") => node.get("service").is_some(),
                Some("engine") => node.get("service").is_none(),
                _ => true,
            },
        },
        Rule {
            at: "rank",
            expected: "given together with group",
            holds: |node| node.get("rank").is_some() == node.get("group").is_some(),
        },
        Rule {
            at: "models",
            expected: "absent for kind service",
            holds: |node| !is_server(node) || absent(node, "models"),
        },
        Rule {
            at: "group",
            expected: "absent for kind service",
            holds: |node| !is_server(node) || node.get("group").is_none(),
        },
        Rule {
            at: "role",
            expected: "absent for kind service",
            holds: |node| !is_server(node) || matches!(node.text("role"), None | Some("mixed")),
        },
    ],
};

fn is_server(node: &Node) -> bool {
    node.text("kind") == Some("service")
}

fn absent(node: &Node, key: &str) -> bool {
    node.get(key).is_none_or(|list| list.items().is_empty())
}

const SERVED: Schema = Schema {
    name: "served model",
    about: "A model on an upstream.",
    fields: &[
        required("name", NAME, "Name of the model."),
        optional(
            "version",
            VERSION,
            "Version to serve; absent follows the model's version.",
        ),
        optional(
            "adapters",
            Kind::List {
                of: &NAME,
                min: 0,
                max: bound::MAX_ADAPTERS,
                unique: Unique::Items,
            },
            "Adapters to keep loaded.",
        ),
    ],
    rules: &[],
};

const MODEL: Schema = Schema {
    name: "model",
    about: "A model and the version that its upstreams follow.",
    fields: &[
        required("name", NAME, "Name, unique among models."),
        required("version", VERSION, "Version; it never goes back."),
    ],
    rules: &[],
};

const ADAPTER: Schema = Schema {
    name: "adapter",
    about: "An adapter of a model.",
    fields: &[
        required("name", NAME, "Name, unique among adapters."),
        required("model", NAME, "Model that it applies to."),
        required(
            "version",
            VERSION,
            "Version of the adapter; it never goes back.",
        ),
    ],
    rules: &[],
};

const RELEASE: Schema = Schema {
    name: "version",
    about: "One version of a model.",
    fields: &[
        required("model", NAME, "Name of the model."),
        required("version", VERSION, "The version."),
    ],
    rules: &[],
};

const SERVICE: Schema = Schema {
    name: "service",
    about: "A plain service.",
    fields: &[
        required("name", NAME, "Name, unique among services."),
        optional(
            "not_repeatable",
            CALLS,
            "Calls that must not be repeated, such as `POST /orders`; paths below are included.",
        ),
    ],
    rules: &[],
};
