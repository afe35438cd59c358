//! Expert placement planning under moving costs.
