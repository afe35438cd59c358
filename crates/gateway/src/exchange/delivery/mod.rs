//! What the reader of a zone passes on to the other gateways of the zone.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::store::{Batch, Feed, Offset};

/// A batch that the reader of a zone has read. Without records, it says that there are none.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delivery {
    /// Name of the gateway that read the batch.
    pub reader: String,
    /// Feed that was read.
    pub feed: Feed,
    /// Offset from which the batch was read.
    pub from: Offset,
    /// Records that were read, and the offset after them.
    pub batch: Batch,
    /// Time since the store answered.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// How long the reader still retains absent records after an outage of the store. The
    /// others may not have noticed the outage.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retention: Duration,
}
