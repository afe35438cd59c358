//! Regenerates `src/generated` from `proto/`, without `protoc`.
//!
//! Run `cargo run -p sesamerock-wire --example generate` after a change to the
//! schema and commit the result; the build itself needs no generator.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = std::env::args()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), Into::into);
    let files = protox::compile([root.join("proto/relay.proto")], [root.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(output)
        .compile_fds(files)?;
    Ok(())
}
