//! Counts allocations of marked threads.

use std::{
    alloc::{GlobalAlloc, Layout},
    cell::Cell,
    sync::atomic::{AtomicU64, Ordering},
};

use mimalloc::MiMalloc;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

static ALLOCATED_BYTES: AtomicU64 = AtomicU64::new(0);

thread_local! {
    static IS_COUNTED: Cell<bool> = const { Cell::new(false) };
}

/// Heap allocations of the counted threads since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllocationTotals {
    /// Blocks.
    pub allocations: u64,
    /// Bytes.
    pub bytes: u64,
}

/// Counts the allocations of this thread from now on.
pub fn count_this_thread() {
    IS_COUNTED.set(true);
}

/// Returns the allocations of all counted threads so far.
pub fn totals() -> AllocationTotals {
    let (allocations, bytes) = (&ALLOCATIONS, &ALLOCATED_BYTES);
    AllocationTotals {
        allocations: allocations.load(Ordering::Relaxed),
        bytes: bytes.load(Ordering::Relaxed),
    }
}

/// The program's allocator; counts what marked threads allocate.
#[derive(Debug)]
pub struct CountingAllocator;

// SAFETY: every call is passed on unchanged to an allocator that keeps the contract.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if IS_COUNTED.get() {
            ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
            ALLOCATED_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        }
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { MiMalloc.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        // SAFETY: the block came from `alloc` above, with this layout.
        unsafe { MiMalloc.dealloc(block, layout) }
    }
}
