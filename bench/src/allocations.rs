//! Counts the heap allocations of selected threads.

use std::{
    alloc::{GlobalAlloc, Layout},
    cell::Cell,
    sync::atomic::{AtomicU64, Ordering},
};

use mimalloc::MiMalloc;

static ALLOCATION_COUNT: AtomicU64 = AtomicU64::new(0);

static ALLOCATED_BYTES: AtomicU64 = AtomicU64::new(0);

thread_local! {
    static IS_COUNTED: Cell<bool> = const { Cell::new(false) };
}

/// Heap allocations of all threads that called [`count_this_thread`], from that call on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllocationTotals {
    /// Number of allocations.
    pub allocations: u64,
    /// Allocated bytes; freed memory is not subtracted.
    pub bytes: u64,
}

/// Counts the allocations of the calling thread from now on.
pub fn count_this_thread() {
    IS_COUNTED.set(true);
}

/// Returns the allocations of all counted threads so far.
pub fn totals() -> AllocationTotals {
    let (allocations, bytes) = (&ALLOCATION_COUNT, &ALLOCATED_BYTES);
    AllocationTotals {
        allocations: allocations.load(Ordering::Relaxed),
        bytes: bytes.load(Ordering::Relaxed),
    }
}

/// Global allocator: mimalloc, with the allocations of selected threads counted.
#[derive(Debug)]
pub struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to an allocator that upholds the contract.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if IS_COUNTED.get() {
            ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
            ALLOCATED_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        }
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { MiMalloc.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        // SAFETY: the block was returned by `alloc` above for this layout.
        unsafe { MiMalloc.dealloc(block, layout) }
    }
}
