//! Starts, stops and signals of the router processes.

use std::{
    fs::File,
    io,
    process::{Child, Command, Stdio},
    time::Duration,
};

use tokio::time::{Instant, sleep};

use super::EntryDeployment;
use crate::deploy::process_memory;

/// Time limit for a router to become ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

impl EntryDeployment {
    /// Starts a router's process again if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the log file cannot be opened or the program cannot be started.
    pub fn restart(&mut self, router: usize) -> io::Result<()> {
        if !self.has_ended(router) {
            return Ok(());
        }
        let router = &mut self.routers[router];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&router.log)?;
        let process = Command::new(&self.program)
            .env("EBONYFALL_CONFIG", &router.settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        router.process = Some(process);
        Ok(())
    }

    /// Sends a signal such as `TERM` to a router's process; does nothing if it has ended.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent.
    pub fn signal(&mut self, router: usize, signal: &str) {
        if self.has_ended(router) {
            return;
        }
        if let Some(process) = &self.routers[router].process {
            let pid = process.id().to_string();
            let sent = Command::new("kill")
                .args([&format!("-{signal}"), &pid])
                .status();
            assert!(
                sent.is_ok_and(|status| status.success()),
                "kill could not signal the router's process"
            );
        }
    }

    /// Waits until these routers are ready.
    ///
    /// # Panics
    ///
    /// Panics when one does not become ready in time.
    pub async fn wait_until_ready(&self, routers: impl IntoIterator<Item = usize>) {
        for router in routers {
            let started = Instant::now();
            while !self.is_ready(router).await {
                assert!(
                    started.elapsed() < READY_TIMEOUT,
                    "the router did not become ready in time"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Sends a signal to each of these routers' processes, one right after the other.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent.
    pub fn signal_all(&mut self, routers: impl IntoIterator<Item = usize>, signal: &str) {
        for router in routers {
            self.signal(router, signal);
        }
    }

    /// Kills these routers' processes at the same moment and starts them again.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be killed or started.
    pub fn kill_and_restart(&mut self, routers: impl IntoIterator<Item = usize>) -> io::Result<()> {
        let routers: Vec<_> = routers.into_iter().collect();
        for router in &routers {
            if let Some(process) = &mut self.routers[*router].process {
                process.kill()?;
            }
        }
        for router in routers {
            if let Some(process) = &mut self.routers[router].process {
                process.wait()?;
            }
            self.restart(router)?;
        }
        Ok(())
    }

    /// Returns whether a router's process has ended.
    pub fn has_ended(&mut self, router: usize) -> bool {
        let process = self.routers[router].process.as_mut();
        process.is_none_or(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns the id of a router's process; a restart changes it. `None` if it was never started.
    pub fn process_id(&self, router: usize) -> Option<u32> {
        self.routers[router].process.as_ref().map(Child::id)
    }

    /// Returns the largest amount of memory that a router's process has held, in bytes. `None` if
    /// it has ended.
    pub fn peak_memory(&self, router: usize) -> Option<u64> {
        let process = self.routers[router].process.as_ref()?;
        process_memory(process.id())
    }
}
