//! The fields of a heartbeat, each encoded by itself.
//!
//! A new field of [`Heartbeat`] is added to one of the two lists below; without it, this module
//! does not compile.

use std::sync::Arc;

use bincode::Options as _;

use super::Heartbeat;

/// Numbers by id of an upstream.
pub type List = Vec<(Arc<str>, u32)>;

fn encode(field: &str, value: &impl serde::Serialize) -> Vec<u8> {
    let encoded = bincode::DefaultOptions::new().serialize(value);
    encoded.unwrap_or_else(|error| {
        // The receiver takes an empty field for malformed.
        log::error!("event=field_not_encoded field={field} reason=\"{error}\"");
        Vec::new()
    })
}

/// Returns the item at an index, and adds empty ones up to it where they are missing.
pub fn entry<T: Default>(items: &mut Vec<T>, index: usize) -> &mut T {
    if items.len() <= index {
        items.resize_with(index + 1, T::default);
    }
    &mut items[index]
}

/// Returns each item with its index and the former one, which is empty if there was none.
pub fn pairs<'a, T>(
    old: &'a [Vec<T>],
    new: &'a [Vec<T>],
) -> impl Iterator<Item = (usize, &'a [T], &'a [T])> {
    let former = |index| old.get(index).map(Vec::as_slice).unwrap_or_default();
    let new = new.iter().enumerate();
    new.map(move |(index, new)| (index, former(index), new.as_slice()))
}

macro_rules! fields {
    (fields: $($field:ident)*; lists: $($list:ident)*) => {
        /// Number of lists of numbers by id.
        pub const LISTS: usize = [$(stringify!($list)),*].len();

        /// Returns the encoded fields of a heartbeat, and its lists of numbers by id.
        pub fn split(heartbeat: &Heartbeat) -> (Vec<Vec<u8>>, [&List; LISTS]) {
            let Heartbeat { $($field,)* $($list,)* } = heartbeat;
            (vec![$(encode(stringify!($field), $field)),*], [$($list),*])
        }

        /// Restores a heartbeat from what [`split`] returned.
        ///
        /// # Errors
        /// Fails if a field is malformed. A missing one is taken for empty.
        pub fn join(fields: &[Vec<u8>], lists: Vec<List>) -> bincode::Result<Heartbeat> {
            let mut fields = fields.iter().map(Vec::as_slice);
            let mut lists = lists.into_iter();
            Ok(Heartbeat {
                $($field: {
                    let bytes = fields.next().unwrap_or_default();
                    bincode::DefaultOptions::new().deserialize(bytes)?
                },)*
                $($list: lists.next().unwrap_or_default(),)*
            })
        }
    };
}

fields! {
    fields: node ready accepting leads position knowledge store misdirected leaving limits groups
        suspects outages paces demand;
    lists: loads
}
