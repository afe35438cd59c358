//! At-most-once execution of keyed calls, decided by the order of a log.
