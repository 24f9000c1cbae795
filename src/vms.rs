//! Task that polls the platform's VM list and reports it to the membership table.

use std::time::Duration;

use ebonyfall_core::member::ListedVm;
use slog::{Logger, debug, warn};
use tokio::time::sleep;

use crate::{
    gossip::Gossip,
    platform::{Platform, Vm, VmList, VmState},
    supervisor::{Supervisor, TaskName},
};

/// Mean time between two polls of the list for up to `VMS_PER_INTERVAL` VMs.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// VMs for which the poll interval grows by `POLL_INTERVAL`. In a larger fleet each process polls
/// less often, in proportion, so that the bytes per process stay the same. The fleet as a whole
/// still polls several times a second, and gossip disseminates what one process finds.
const VMS_PER_INTERVAL: usize = 200;
/// Longest interval to which errors of the platform raise the interval. An interval that is longer
/// because of the size of the fleet is kept.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Starts the task, which runs until the process ends.
pub fn start(platform: Platform, gossip: Gossip, supervisor: &Supervisor, log: Logger) {
    supervisor.spawn(TaskName::Vms, async move {
        let mut pause = POLL_INTERVAL;
        let mut known_left_out = 0;
        // The random delay keeps processes that start together from polling at the same time.
        sleep(jitter(POLL_INTERVAL / 2)).await;
        loop {
            match platform.vms().await {
                Ok(VmList { vms, left_out }) => {
                    if left_out != known_left_out {
                        warn!(log, "entries of the VM list cannot be decoded and are ignored";
                            "event" => "vms_bad", "left_out" => left_out);
                        known_left_out = left_out;
                    }
                    let intervals =
                        u32::try_from(vms.len().div_ceil(VMS_PER_INTERVAL)).unwrap_or(u32::MAX);
                    pause = POLL_INTERVAL.saturating_mul(intervals.max(1));
                    gossip
                        .report_vms(vms.into_iter().map(to_listed_vm).collect())
                        .await;
                }
                Err(error) => {
                    debug!(log, "cannot read the VM list; retrying"; "error" => %error);
                    pause = (pause * 2).min(MAX_BACKOFF.max(pause));
                }
            }
            sleep(jitter(pause)).await;
        }
    });
}

fn to_listed_vm(vm: Vm) -> ListedVm {
    ListedVm {
        name: vm.name,
        address: vm.address,
        leaving: vm.state == VmState::Leaving,
    }
}

/// Returns a random duration from 0.8 to 1.2 times `pause`.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}
