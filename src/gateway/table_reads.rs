//! Reads tables from the store that are too large for the link to the followed instance.
//!
//! Runs beside the link, so that states, removals and limits are not held up by a large table.

use std::{convert::Infallible, time::Duration};

use futures::future::join;
use tokio::{sync::watch, time::sleep};

use super::{
    Gateway,
    backoff::{Backoff, JITTER},
    follow::read_from_store,
    platform_adapter::Table,
    seed_links::MAX_PAUSE_WITHOUT_SEED,
};
use crate::{store_position::StorePosition, units::MonoTime};

/// Longest random delay before a follower reads a large table from the store, so that not all followers read
/// at once.
const MAX_READ_DELAY: Duration = Duration::from_millis(300);

/// Positions that the tables must have reached; `None` for a table that need not be read.
#[derive(Debug, Default)]
pub struct TableReads {
    routing: watch::Sender<Option<StorePosition>>,
    targets: watch::Sender<Option<StorePosition>>,
}

impl TableReads {
    /// Has a table read up to `position`. A read that has not begun serves all requests for the table.
    pub fn request(&self, table: Table, position: StorePosition) {
        self.wanted(table).send_modify(|wanted| *wanted = (*wanted).max(Some(position)));
    }

    /// Returns whether a table is still to be read. Changes that come after those which it lacks can't be applied.
    pub fn is_wanted(&self, gateway: &Gateway, table: Table) -> bool {
        let wanted = *self.wanted(table).borrow();
        wanted > gateway.replica().position(table)
    }

    /// Reads the requested tables until dropped.
    pub async fn run(&self, gateway: &Gateway) -> Infallible {
        let (never, _) =
            join(self.read_table(gateway, Table::Routing), self.read_table(gateway, Table::Targets)).await;
        never
    }

    async fn read_table(&self, gateway: &Gateway, table: Table) -> Infallible {
        let mut requests = self.wanted(table).subscribe();
        loop {
            requests.mark_unchanged();
            if !self.is_wanted(gateway, table) {
                // The sender is part of this struct, so waiting can't fail.
                let _closed = requests.changed().await;
                continue;
            }
            sleep(MAX_READ_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
            let began_at = gateway.now();
            if let Err(e) = read_from_store(gateway, table).await {
                log::info!("event=table-read-failed table={table} error={:?}", e.to_string());
            }
            // Also after a read from a part of the store that does not have the position yet.
            if self.is_wanted(gateway, table) {
                pause(gateway, began_at).await;
            }
        }
    }

    fn wanted(&self, table: Table) -> &watch::Sender<Option<StorePosition>> {
        match table {
            Table::Routing => &self.routing,
            Table::Targets => &self.targets,
        }
    }
}

/// Pauses after a failed read that began at `began_at`, and as long as the followed instance has lost the store, too.
async fn pause(gateway: &Gateway, began_at: MonoTime) {
    let mut pauses = Backoff::for_follower(gateway.estimate_instance_count());
    let pause = pauses.next_pause(gateway.now().since(began_at), rand::random_range(JITTER));
    sleep(pause.min(MAX_PAUSE_WITHOUT_SEED)).await;
    let mut changes = gateway.watch_replica();
    while gateway.replica().status.is_any_table_lost() {
        // The sender lives as long as the gateway, so waiting can't fail.
        let _closed = changes.changed().await;
    }
}
