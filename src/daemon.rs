//! What the daemons share: runtime, signals and exit codes.

use std::{error::Error, process};

use slog::{Logger, info};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{exit::ExitCode, logs, settings::Common};

/// Worker threads of a daemon. A request passes between several tasks, and each passage to another
/// thread costs a wake-up; with two threads a router answered a third fewer requests a second.
const WORKER_THREADS: usize = 1;

/// Runs `main` until it ends; SIGTERM and SIGINT turn its stop signal true.
///
/// # Errors
///
/// Fails when the runtime cannot start or `main` fails.
pub fn run<F, E>(
    common: &Common,
    main: impl FnOnce(watch::Receiver<bool>, Logger) -> F,
) -> Result<ExitCode, Box<dyn Error>>
where
    F: Future<Output = Result<(), E>>,
    E: Error + 'static,
{
    let log = logs::logger(common.log_format, common.log_levels.clone());
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    run_on(runtime, log, main)
}

/// Runs `main` on a runtime of the calling thread alone, for VMs with a part of one core.
///
/// # Errors
///
/// Fails when the runtime cannot start or `main` fails.
pub fn run_single_threaded<F, E>(
    log: Logger,
    main: impl FnOnce(watch::Receiver<bool>, Logger) -> F,
) -> Result<ExitCode, Box<dyn Error>>
where
    F: Future<Output = Result<(), E>>,
    E: Error + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    run_on(runtime, log, main)
}

fn run_on<F, E>(
    runtime: Runtime,
    log: Logger,
    main: impl FnOnce(watch::Receiver<bool>, Logger) -> F,
) -> Result<ExitCode, Box<dyn Error>>
where
    F: Future<Output = Result<(), E>>,
    E: Error + 'static,
{
    runtime.block_on(async {
        let (tx, stop) = watch::channel(false);
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let signal_log = log.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            info!(signal_log, "shutting down");
            tx.send_replace(true);
            // The channel stays open, so that nobody takes its end for a change.
            std::future::pending::<()>().await;
        });
        main(stop, log.clone()).await?;
        Ok(ExitCode::Success)
    })
}

/// Turns a program's result into its exit code, after printing the error.
pub fn report(result: Result<ExitCode, Box<dyn Error>>) -> process::ExitCode {
    match result {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("error: {error}");
            let usage = error.is::<crate::settings::SettingsError>();
            let unfinished = matches!(
                error.downcast_ref::<crate::router::RouterError>(),
                Some(crate::router::RouterError::Unfinished { .. })
            ) || matches!(
                error.downcast_ref::<crate::agent::AgentError>(),
                Some(crate::agent::AgentError::Unfinished { .. })
            );
            match (usage, unfinished) {
                (true, _) => ExitCode::Usage.into(),
                (_, true) => ExitCode::Unfinished.into(),
                _ => ExitCode::Failure.into(),
            }
        }
    }
}
