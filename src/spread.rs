//! Carries quarantines between gossip and the task that owns suspects.

use std::time::Duration;

use ebonyfall_core::dissemination::{Item, ItemKey, Value};
use tokio::time::{MissedTickBehavior, interval};

use crate::{clock, gossip::Gossip, retrier::Retrier, view::Views};

/// Time between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the task.
pub fn start(gossip: Gossip, retrier: Retrier, views: Views) {
    tokio::spawn(async move {
        let mut ticks = interval(EXCHANGE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(view) = views.borrow().clone() else {
                continue;
            };
            let hold = view.document.limits.quarantine;
            for (fingerprint, mark) in retrier.marks().await {
                let Some(since) = mark.held_since() else {
                    continue;
                };
                let value = Value::Quarantine {
                    since: since.millis() / 1_000,
                    until: (since + hold).millis() / 1_000,
                    cleared: 0,
                };
                let key = ItemKey::Quarantine(fingerprint);
                gossip.put(Item { key, value }).await;
            }
            let store = gossip.items().await;
            let now = clock::unix_time().as_secs();
            retrier.quarantine(store.quarantined(now).collect()).await;
        }
    });
}
