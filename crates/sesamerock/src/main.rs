//! The `sesamerock` program, which only calls the library of the same name.

use std::process::ExitCode;

use mimalloc::MiMalloc;

// Streams allocate small short-lived buffers on every thread, which the system
// allocator serves more slowly.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    sesamerock::cli::run()
}
