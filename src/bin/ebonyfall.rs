//! Command line for operators of a fleet.

use std::{
    error::Error,
    fs, io,
    path::{Path, PathBuf},
    process,
    time::{Duration, UNIX_EPOCH},
};

use ebonyfall::{
    cli::{Command, ExplainArgs, OperatorArgs, PromoteArgs, PublishArgs, StatusArgs},
    clock, daemon,
    exit::ExitCode,
    explain,
    operate::{self, HistoryEntry, OperateError, PublishOutcome, PublishRequest},
    platform::Platform,
    remote,
    settings::{self, OperatorConfig},
    status,
};
use ebonyfall_core::id::Offset;
use tokio::runtime::Builder;

/// Error of a command, printed to standard error.
type CliError = Box<dyn Error>;

fn main() -> process::ExitCode {
    daemon::report(run())
}

fn run() -> Result<ExitCode, CliError> {
    let args: OperatorArgs = argh::from_env();
    let mut cfg = match args.settings {
        Some(path) => settings::operator(path)?,
        None => OperatorConfig::default(),
    };
    if args.platform.is_some() {
        cfg.platform = args.platform;
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    match runtime.block_on(run_command(args.command, cfg)) {
        Ok(code) => Ok(code),
        Err(error) => {
            let code = match error.downcast_ref::<OperateError>() {
                Some(OperateError::Conflict { .. }) => ExitCode::Conflict,
                Some(
                    OperateError::Faults { .. }
                    | OperateError::DesiredUnreadable { .. }
                    | OperateError::DesiredFaults { .. },
                ) => ExitCode::Usage,
                _ => return Err(error),
            };
            eprintln!("{error}");
            Ok(code)
        }
    }
}

async fn run_command(command: Command, cfg: OperatorConfig) -> Result<ExitCode, CliError> {
    match command {
        Command::Check(args) => {
            let (file, text) = (args.file.display().to_string(), read_text(&args.file)?);
            // A desired state is a JSON object; a document begins with a section or a comment.
            let summary = if text.trim_start().starts_with('{') {
                let state = operate::check_desired(&file, &text)?;
                format!("version {}, {} routes", state.version, state.route_count())
            } else {
                let sections = operate::check(&file, &text)?;
                format!("{} sections", sections.titles().count())
            };
            println!("{file}: no faults, {summary}");
        }
        Command::Diff(args) => {
            let file = args.file.display().to_string();
            let platform = platform_client(&cfg)?;
            let (base, differences) =
                operate::diff(&platform, &file, &read_text(&args.file)?).await?;
            for difference in &differences {
                println!("{difference}");
            }
            let base = base.map_or("none".to_owned(), |base| base.to_string());
            println!("{} sections differ; base {base}", differences.len());
        }
        Command::Publish(args) => publish(args, &cfg).await?,
        Command::Promote(args) => promote(args).await?,
        Command::Status(args) => return print_status(args, &cfg).await,
        Command::History(args) if args.text => {
            let tip = operate::current_tip(&platform_client(&cfg)?).await?;
            print!(
                "{}",
                tip.ok_or(OperateError::NoConfiguration)?.document.text
            );
        }
        Command::History(args) => {
            let entries = operate::history(&platform_client(&cfg)?).await?;
            if args.json {
                println!("{}", serde_json::to_string_pretty(&entries)?);
            } else {
                entries.iter().for_each(print_history_entry);
            }
        }
        Command::Explain(args) => return explain(&args),
        Command::Usage(args) => match remote::usage(args.address).await? {
            Some(usage) => print!("{usage}"),
            None => println!("this deployment has no usage reports"),
        },
        Command::Dump(args) => {
            let token = read_token(args.token_file, &cfg)?;
            let dump = remote::dump(args.admin, &token).await?;
            println!("{}", serde_json::to_string_pretty(&dump)?);
        }
    }
    Ok(ExitCode::Success)
}

fn explain(args: &ExplainArgs) -> Result<ExitCode, CliError> {
    let mut events = Vec::new();
    if args.logs.is_empty() {
        events = explain::request_events("standard input", io::stdin().lock(), &args.request);
    }
    for path in &args.logs {
        let file = fs::File::open(path)
            .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
        let source = path.display().to_string();
        let log = io::BufReader::new(file);
        events.extend(explain::request_events(&source, log, &args.request));
    }
    events.sort_by(|a, b| a.time.cmp(&b.time));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&events)?);
    } else {
        for event in &events {
            println!("{event}");
        }
    }
    if events.is_empty() {
        eprintln!(
            "no log line names request {}; give the logs of all processes that cover its time",
            args.request
        );
        return Ok(ExitCode::Failure);
    }
    Ok(ExitCode::Success)
}

async fn publish(args: PublishArgs, cfg: &OperatorConfig) -> Result<(), CliError> {
    let author = args.operator.or_else(|| cfg.name.clone());
    let author =
        author.ok_or("no operator name; give --operator NAME or set name in the settings")?;
    let file = args.file.display().to_string();
    let req = PublishRequest {
        file: &file,
        text: &read_text(&args.file)?,
        author,
        base: args.base.map(Offset::from),
        initial: args.initial,
    };
    match operate::publish(&platform_client(cfg)?, req).await? {
        PublishOutcome::Changed {
            offset,
            sections,
            bytes,
        } => {
            println!(
                "published at offset {offset} ({bytes} bytes): {}",
                sections.join(", ")
            );
        }
        PublishOutcome::Unchanged { offset } => println!("already in force at offset {offset}"),
    }
    Ok(())
}

async fn promote(args: PromoteArgs) -> Result<(), CliError> {
    let source = read_document(&args.source).await?;
    let into = read_document(&args.into).await?;
    let result = operate::promote((&args.source, &source), (&args.into, &into))?;
    let mut teams_without_keys = result.titles().filter(|title| {
        let body = result.get(title);
        title.starts_with("team ") && body.is_some_and(|body| !body.contains_key("keys"))
    });
    if let Some(title) = teams_without_keys.next() {
        eprintln!("[{title}] has no keys in this environment; add them before publishing");
    }
    match args.output {
        Some(path) => fs::write(&path, result.render())
            .map_err(|error| format!("cannot write {}: {error}", path.display()))?,
        None => print!("{}", result.render()),
    }
    Ok(())
}

async fn print_status(args: StatusArgs, cfg: &OperatorConfig) -> Result<ExitCode, CliError> {
    let token = read_token(args.token_file, cfg)?;
    let processes = if args.admin.is_empty() {
        &cfg.processes
    } else {
        &args.admin
    };
    let now = clock::unix_time();
    let status = status::collect(&platform_client(cfg)?, processes, &token, now).await;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print!("{status}");
    }
    Ok(match &*status.wrong {
        [] => ExitCode::Success,
        _ => ExitCode::Failure,
    })
}

fn print_history_entry(entry: &HistoryEntry) {
    let time = UNIX_EPOCH + Duration::from_millis(entry.time);
    let time = humantime::format_rfc3339_seconds(time);
    let sections = match &*entry.sections {
        [] => entry.kind.clone(),
        sections => sections.join(", "),
    };
    println!("{} {time} {} {sections}", entry.offset, entry.author);
}

fn platform_client(cfg: &OperatorConfig) -> Result<Platform, CliError> {
    let url = cfg.platform.as_deref();
    let url = url.ok_or(
        "no platform URL; give --platform URL before the command or set platform in the settings",
    )?;
    Ok(Platform::new(url.trim_end_matches('/')))
}

fn read_token(option: Option<PathBuf>, cfg: &OperatorConfig) -> Result<String, CliError> {
    let path = option.or_else(|| cfg.token_file.clone());
    let path = path
        .ok_or("no operators' token; give --token-file FILE or set token-file in the settings")?;
    Ok(read_text(&path)?.trim().to_owned())
}

/// Reads a document from a file, or the one in force if `location` is the base URL of a platform.
async fn read_document(location: &str) -> Result<String, CliError> {
    if !location.starts_with("http://") {
        return read_text(Path::new(location));
    }
    let tip = operate::current_tip(&Platform::new(location.trim_end_matches('/'))).await?;
    Ok(tip
        .ok_or(OperateError::NoConfiguration)?
        .document
        .text
        .to_string())
}

fn read_text(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()).into())
}
