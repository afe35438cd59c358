//! A small language for failure scenarios and its runner.
