//! Release notes and the deterministic fold that turns them into control state.
