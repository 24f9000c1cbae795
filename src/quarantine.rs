//! Synchronizes quarantined requests between gossip and the router's retry task.

use std::time::Duration;

use ebonyfall_core::dissemination::{Item, ItemKey, Value};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock,
    gossip::Gossip,
    retrier::Retrier,
    supervisor::{Supervisor, TaskName},
    view::Views,
};

/// Time between synchronizations.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Starts a task that publishes this router's quarantines by gossip and passes those that gossip
/// received to `retrier`, at each interval.
pub fn start(gossip: Gossip, retrier: Retrier, views: Views, supervisor: &Supervisor) {
    supervisor.spawn(TaskName::Quarantine, async move {
        let mut ticks = interval(SYNC_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(view) = views.borrow().clone() else {
                continue;
            };
            let quarantine = view.document.limits.quarantine;
            for (fingerprint, mark) in retrier.marks().await {
                let Some(since) = mark.held_since() else {
                    continue;
                };
                let value = Value::Quarantine {
                    since: since.millis() / 1_000,
                    until: (since + quarantine).millis() / 1_000,
                    cleared: 0,
                };
                let key = ItemKey::Quarantine(fingerprint);
                gossip.put(Item { key, value }).await;
            }
            let store = gossip.items().await;
            let now = clock::unix_time().as_secs();
            retrier
                .set_quarantined(store.quarantined(now).collect())
                .await;
        }
    });
}
