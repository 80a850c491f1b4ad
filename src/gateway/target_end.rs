//! Finds out whether the process of a target has ended, after a response of it has not arrived.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{Gateway, suspects};
use crate::decide::{directory::Listing, unconfirmed_ends::ProcessState};

/// Time after which a target that still accepts connections is checked once more. The connections of a process that
/// ends are not closed all at once. A retry waits for this.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Pauses before the checks that nobody waits for.
const LATER_CHECK_PAUSES: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1_500)];

/// Finds out whether the process of a target has ended.
pub async fn check(gateway: &Gateway, listing: &Listing) -> ProcessState {
    let process = check_once(gateway, listing).await;
    if process == ProcessState::Ended {
        return process;
    }
    sleep(SECOND_CHECK_DELAY).await;
    check_once(gateway, listing).await
}

/// Checks a target some more times, and confirms the ends of the sends that it has lost if it has ended.
pub fn start_later_checks(gateway: &Arc<Gateway>, listing: Listing) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        for pause in LATER_CHECK_PAUSES {
            sleep(pause).await;
            if gateway.connections.has_alive(listing.address) {
                // Not worth a new connection.
                continue;
            }
            if check_once(&gateway, &listing).await == ProcessState::Ended {
                let ended = gateway.unconfirmed_ends().confirm_target(gateway.now(), &listing.id);
                suspects::record_confirmed_ends(&gateway, &ended, "later-check");
                break;
            }
        }
        gateway.unconfirmed_ends().end_checks(&listing.id);
    });
}

async fn check_once(gateway: &Gateway, listing: &Listing) -> ProcessState {
    let process = gateway.connections.check_process(listing.address).await;
    if process == ProcessState::Ended {
        let Listing { id, service, address, .. } = listing;
        log::info!("event=target-ended target={id} service={service} address={address}");
    }
    process
}
