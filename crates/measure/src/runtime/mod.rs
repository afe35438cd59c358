//! The tokio runtime of the measures that use real connections.

/// Runs a measure to its end on a runtime with one thread per core.
pub fn block_on(measure: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(measure);
}
