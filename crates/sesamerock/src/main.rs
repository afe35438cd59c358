//! The `sesamerock` program, which only calls the library of the same name.

use std::alloc::{GlobalAlloc, Layout, System};
use std::ffi::{c_int, c_long};
use std::process::ExitCode;

use mimalloc::MiMalloc;
use sesamerock_gateway::memory;

#[global_allocator]
static ALLOCATOR: Allocator = Allocator;

/// Milliseconds after which `MiMalloc` gives free pages back to the operating system. By default it
/// keeps them for a second, in which a crowd of callers takes new ones.
const PURGE_DELAY: c_long = 10;
/// The option of `MiMalloc` for this time.
const PURGE_DELAY_OPTION: c_int = 15;

unsafe extern "C" {
    /// Sets an option of `MiMalloc`, for which its crate has no function by default.
    fn mi_option_set(option: c_int, value: c_long);
}

/// Streams allocate small short-lived buffers on every thread, which the system allocator serves more
/// slowly. Large buffers come from the system allocator, which gives them back as soon as they are
/// freed (see [`memory::tune_allocator`]); `MiMalloc` keeps them until all buffers of a region of
/// 4 MiB are free.
struct Allocator;

const fn is_large(size: usize) -> bool {
    size >= memory::LARGE_BUFFER
}

// SAFETY: a block goes back to the allocator that it came from, since both depend on its size alone.
// Both of them fulfil the contract of the trait.
unsafe impl GlobalAlloc for Allocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if is_large(layout.size()) {
            // SAFETY: the caller's contract.
            unsafe { System.alloc(layout) }
        } else {
            // SAFETY: the caller's contract.
            unsafe { MiMalloc.alloc(layout) }
        }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        if is_large(layout.size()) {
            // SAFETY: the caller's contract.
            unsafe { System.dealloc(ptr, layout) }
        } else {
            // SAFETY: the caller's contract.
            unsafe { MiMalloc.dealloc(ptr, layout) }
        }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        if is_large(layout.size()) {
            // SAFETY: the caller's contract.
            unsafe { System.alloc_zeroed(layout) }
        } else {
            // SAFETY: the caller's contract.
            unsafe { MiMalloc.alloc_zeroed(layout) }
        }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        match (is_large(layout.size()), is_large(new_size)) {
            // SAFETY: the caller's contract.
            (true, true) => unsafe { System.realloc(ptr, layout, new_size) },
            // SAFETY: the caller's contract.
            (false, false) => unsafe { MiMalloc.realloc(ptr, layout, new_size) },
            _ => {
                // SAFETY: the alignment is that of a valid layout, and the caller's contract is that
                // `new_size`, rounded up to it, does not overflow.
                let new = unsafe { Layout::from_size_align_unchecked(new_size, layout.align()) };
                // SAFETY: `new_size` is not zero by the caller's contract.
                let copy = unsafe { self.alloc(new) };
                if !copy.is_null() {
                    // SAFETY: both blocks have at least this many bytes and do not overlap, and the
                    // old one is not used any more.
                    unsafe {
                        copy.copy_from_nonoverlapping(ptr, layout.size().min(new_size));
                        self.dealloc(ptr, layout);
                    }
                }
                copy
            }
        }
    }
}

fn main() -> ExitCode {
    // SAFETY: the option is one of those that `MiMalloc` has, and there are no other threads yet.
    unsafe { mi_option_set(PURGE_DELAY_OPTION, PURGE_DELAY) };
    memory::tune_allocator();
    sesamerock::cli::run()
}
