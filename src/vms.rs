//! The task that follows the platform's VM list and reports it to the membership table.

use std::time::Duration;

use ebonyfall_core::member::ListedVm;
use slog::{Logger, debug};
use tokio::time::sleep;

use crate::{
    gossip::Gossip,
    platform::{Platform, Vm, VmState},
};

/// Time between two looks at the list in a small fleet.
const POLL: Duration = Duration::from_secs(10);
/// Lines of the list for which the time above holds. In a larger fleet each process looks less
/// often, in proportion, so that the bytes for each process stay the same and the whole fleet
/// still looks several times a second; gossip passes on what one process finds.
const LINES: usize = 200;
/// Longest time between two looks while the platform is down.
const LONGEST: Duration = Duration::from_secs(60);

/// Starts the task; it ends with the runtime.
pub fn follow(platform: Platform, gossip: Gossip, log: Logger) {
    tokio::spawn(async move {
        let mut pause = POLL;
        // Processes that start together do not ask together.
        sleep(jitter(POLL / 2)).await;
        loop {
            match platform.vms().await {
                Ok(vms) => {
                    let lines = u32::try_from(vms.len().div_ceil(LINES)).unwrap_or(u32::MAX);
                    pause = POLL.saturating_mul(lines.max(1));
                    gossip.vms(vms.into_iter().map(listed).collect()).await;
                }
                Err(error) => {
                    debug!(log, "cannot read the VM list"; "error" => %error);
                    pause = (pause * 2).min(LONGEST.max(pause));
                }
            }
            sleep(jitter(pause)).await;
        }
    });
}

fn listed(vm: Vm) -> ListedVm {
    ListedVm {
        name: vm.name,
        address: vm.address,
        leaving: vm.state == VmState::Leaving,
    }
}

/// Between 0.8 and 1.2 of `pause`.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}
