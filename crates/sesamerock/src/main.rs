//! The `sesamerock` program.

fn main() {}
