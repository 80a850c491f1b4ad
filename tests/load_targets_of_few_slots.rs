//! Load on targets that process only one or two requests at once.

mod pool_env;

use arbutusshelf::decide::{directory::Listing, probed_target::LoadReading};
use pool_env::{FIRST_CHOICE, at, listing, pool_of, sent_to};

fn reading_of(running: u32, slots: u32) -> LoadReading {
    LoadReading { running, waiting: 0, slots, slowdown: 1.0 }
}

/// A slot that is left free for the sake of the others is half of the capacity of such a target.
#[test]
fn the_last_free_slot_is_used_at_once() {
    let now = at(1_000);
    for slots in [1, 2, 3] {
        let target = Listing { slots, ..listing("a") };
        let mut nearly_full = pool_of(&[(target.clone(), Some(reading_of(slots - 1, slots)))], now);
        assert_eq!(sent_to(&nearly_full.choose_target(now, &FIRST_CHOICE)), Some("a"), "{slots} slots");
        let mut full = pool_of(&[(target, Some(reading_of(slots, slots)))], now);
        assert_eq!(sent_to(&full.choose_target(now, &FIRST_CHOICE)), None, "{slots} slots");
    }
}
