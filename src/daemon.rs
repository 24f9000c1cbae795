//! Common parts of the daemons: runtime, signal handling and exit codes.

use std::{error::Error, panic, process};

use slog::{Logger, error, info};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{exit::ExitCode, logs, settings::CommonConfig};

/// Worker threads of a daemon. A request passes through several tasks, and each hand-over to a task
/// on another thread costs a wake-up: with two threads, throughput of a router is a third lower.
const WORKER_THREADS: usize = 1;

/// Runs `main` on a multi-threaded runtime until it ends. SIGTERM and SIGINT set its stop channel
/// to true.
///
/// # Errors
///
/// Fails when the runtime cannot start or `main` fails.
pub fn run<F, E>(
    common: &CommonConfig,
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

/// Like [`run`], but on a runtime that uses only the calling thread, for VMs with a fraction of a
/// core.
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
    log_panics(log.clone());
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
            // Dropping `tx` would end the receivers' waits like a change does.
            std::future::pending::<()>().await;
        });
        main(stop, log.clone()).await?;
        Ok(ExitCode::Success)
    })
}

/// Lets each panic leave a log line. What a panic ends, apart from one request or connection, the
/// supervisor decides.
fn log_panics(log: Logger) {
    panic::set_hook(Box::new(move |info| {
        let payload = info.payload();
        let message = payload.downcast_ref::<&str>().copied();
        let message = message.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        error!(log, "panic"; "event" => "panic", "message" => message,
            "location" => info.location().map(ToString::to_string));
    }));
}

/// Prints the error of a program, if any, and returns its exit code.
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
