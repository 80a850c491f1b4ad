//! Finds out whether the process of a target has ended, after a response of it has not arrived.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{Gateway, path_check, suspects};
use crate::{
    decide::{directory::Listing, unconfirmed_ends::ProcessState},
    units::MonoTime,
};

/// Time after which a target that still accepts connections is checked once more. The connections of a process that
/// ends are not closed all at once. A retry waits for this.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Pauses before the checks that nobody waits for.
const LATER_CHECK_PAUSES: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1_500)];

/// Finds out whether the process of a target has ended that has lost a send at `lost_at`.
pub async fn check(gateway: &Gateway, listing: &Listing, lost_at: MonoTime) -> ProcessState {
    let process = check_once(gateway, listing, lost_at).await;
    if process == ProcessState::Ended {
        return process;
    }
    sleep(SECOND_CHECK_DELAY).await;
    check_once(gateway, listing, lost_at).await
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
            if check_once(&gateway, &listing, gateway.now()).await == ProcessState::Ended {
                let ended = gateway.unconfirmed_ends().confirm_target(gateway.now(), &listing.id);
                suspects::record_confirmed_ends(&gateway, &ended, "later-check");
                break;
            }
        }
        gateway.unconfirmed_ends().end_checks(&listing.id);
    });
}

/// Checks a target. That nothing listens there shows the end of its process only if this instance has reached another
/// target since `since`, or does now: from an instance without a path to targets, each one looks like this.
async fn check_once(gateway: &Gateway, listing: &Listing, since: MonoTime) -> ProcessState {
    let process = gateway.connections.check_process(listing.address).await;
    if process == ProcessState::Ended {
        if !path_check::is_other_reached(gateway, listing, since).await {
            return ProcessState::Unknown;
        }
        let Listing { id, service, address, .. } = listing;
        log::info!("event=target-ended target={id} service={service} address={address}");
    }
    process
}
