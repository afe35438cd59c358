//! An allocator that counts the bytes in use, so that measures can state what a
//! structure costs.
//!
//! It counts requested bytes; the allocator's own rounding is not included.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static USED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a count.
#[derive(Debug)]
pub struct Counting;

/// Returns the bytes in use.
pub fn used() -> usize {
    USED.load(Ordering::Relaxed)
}

/// Runs a function and returns its value, the bytes it left in use and the most
/// that it used at once beyond those in use before.
pub fn measured<T>(run: impl FnOnce() -> T) -> (T, usize, usize) {
    let before = used();
    PEAK.store(before, Ordering::Relaxed);
    let value = run();
    let after = used();
    let peak = PEAK.load(Ordering::Relaxed);
    (
        value,
        after.saturating_sub(before),
        peak.saturating_sub(before),
    )
}

fn grow(bytes: usize) {
    let used = USED.fetch_add(bytes, Ordering::Relaxed) + bytes;
    PEAK.fetch_max(used, Ordering::Relaxed);
}

// SAFETY: every call is passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // SAFETY: the caller's contract is that of the system's allocator.
        let block = unsafe { System.alloc(layout) };
        if !block.is_null() {
            grow(layout.size());
        }
        block
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        USED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as for `alloc`.
        unsafe { System.dealloc(ptr, layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        // SAFETY: as for `alloc`.
        let moved = unsafe { System.realloc(ptr, layout, new_size) };
        if !moved.is_null() {
            USED.fetch_sub(layout.size(), Ordering::Relaxed);
            grow(new_size);
        }
        moved
    }
}
