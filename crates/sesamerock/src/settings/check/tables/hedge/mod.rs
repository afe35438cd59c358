//! Schema of the settings for hedged look-ups.

use sesamerock_note::schema::{Kind, Need, Schema};

use super::{MILLIS, field};

pub(super) static HEDGE: Schema = Schema {
    name: "hedge",
    about: "When an entry sends a slow look-up of a plain service (GET, HEAD, OPTIONS, without a key) to a second upstream.",
    fields: &[
        field(
            "enabled",
            Kind::Boolean,
            Need::Default("true"),
            "Whether look-ups are hedged at all.",
        ),
        field(
            "least_delay_ms",
            MILLIS,
            Need::Default("10"),
            "Least time before the second attempt; the 95th percentile of the service's look-ups applies where it is longer.",
        ),
        field(
            "ceiling_percent",
            Kind::Integer { min: 1, max: 99 },
            Need::Default("75"),
            "Share of an upstream's limit above which its agent refuses a second attempt.",
        ),
        field(
            "body_bytes",
            Kind::Integer {
                min: 0,
                max: 64 << 20,
            },
            Need::Default("65536"),
            "Longest body of a call that is hedged, in bytes.",
        ),
        field(
            "reserve",
            Kind::Integer { min: 0, max: 100 },
            Need::Default("50"),
            "Retries of the budget (100 at most) that hedges leave for retries; 100 stops hedges.",
        ),
    ],
    rules: &[],
};
