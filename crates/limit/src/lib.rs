//! Learned concurrency limits, admission and fairness for one upstream.
