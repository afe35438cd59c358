//! Keys of entries that exist only in the control state.

use sesamerock_base::key::Key;

macro_rules! key {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl Key for $name {
            fn new(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )+};
}

key! {
    /// A fine-tuned adapter of a model.
    Adapter,
    /// A plain service that runs alongside the engines.
    Service,
}
