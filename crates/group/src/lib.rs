//! Lock-step switching of expert maps with unanimous grants.
