//! The command line of an instance.

use super::*;

/// Time that a settings file has to become whole before a start ends with its faults.
const SETTINGS_TIME_MAX: Duration = Duration::from_secs(2);

/// Interval between two reads of a settings file that is not whole.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(20);

/// Name in the log of an instance whose settings could not be read.
const UNNAMED: &str = "unnamed";

/// Definition of the command line: `check`, `defaults` and `run`.
pub fn command() -> Command {
    let settings = Arg::new("settings")
        .help("JSON file with the settings of the instance")
        .long("settings")
        .required(true)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf));
    Command::new("wellplank")
        .about("Serves requests to language models on engines that may fail")
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Reports all faults of a settings file")
                .arg(settings.clone()),
        )
        .subcommand(Command::new("defaults").about("Prints the default settings"))
        .subcommand(
            Command::new("run")
                .about("Runs an instance until a signal or an operator stops it")
                .arg(settings),
        )
        .subcommand_required(true)
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs the subcommand that was parsed into `matches`.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("check", arguments)) => {
            load_settings(arguments)?;
            println!("ok");
            Ok(())
        }
        Some(("run", arguments)) => run_instance(arguments, Instant::now()),
        _ => {
            println!("{:#}", Settings::defaults());
            Ok(())
        }
    }
}

/// Runs an instance until it is stopped; an error is an end of the process by itself.
fn run_instance(arguments: &ArgMatches, begun: Instant) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    // Before anything else: a signal without a handler ends the process.
    let context = runtime.enter();
    signals::install().map_err(Error::Runtime)?;
    drop(context);
    let settings = wait_for_settings(settings_path(arguments)).inspect_err(|error| {
        logger::start(UNNAMED);
        log_end(error, begun);
    })?;
    serve(&runtime, settings, settings_path(arguments), begun)
}

/// Logs that the process ends by itself. Must be called before the runtime is dropped, and the open requests with it.
fn log_end(error: &Error, begun: Instant) {
    let (kind, step) = (error.kind(), error.step());
    let (ran_ms, text) = (begun.elapsed().as_millis() as u64, error.to_string());
    let unanswered = unanswered::count();
    error!(kind, ran_ms, step, text, unanswered; "ends by itself");
}

fn load_settings(arguments: &ArgMatches) -> Result<Settings, Error> {
    read_settings(settings_path(arguments))
}

fn settings_path(arguments: &ArgMatches) -> &Path {
    let path: &PathBuf = arguments
        .get_one("settings")
        .expect("clap requires --settings");
    path
}

/// Reads a settings file that may be being written: it may be missing, or end early, for a moment.
fn wait_for_settings(path: &Path) -> Result<Settings, Error> {
    let begun = Instant::now();
    loop {
        match read_settings(path) {
            Err(error) if error.is_unfinished_file() && begun.elapsed() < SETTINGS_TIME_MAX => {
                std::thread::sleep(SETTINGS_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Reads and validates a settings file.
pub fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))?;
    Settings::parse(&text).map_err(|faults| Error::Settings(path.to_owned(), faults))
}

/// Runs an instance: on the users' platform in the given runtime, otherwise in one with more threads.
fn serve(
    runtime: &tokio::runtime::Runtime,
    settings: Settings,
    path: &Path,
    begun: Instant,
) -> Result<(), Error> {
    logger::start(&settings.instance);
    if let Some(hosted) = settings.hosted {
        let run = hosted::run(path.to_owned(), settings, hosted);
        let result = runtime.block_on(run);
        return result.inspect_err(|error| log_end(error, begun));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .map_err(Error::Runtime)
        .inspect_err(|error| log_end(error, begun))?;
    let result = runtime.block_on(run_own_interface(settings));
    result.inspect_err(|error| log_end(error, begun))
}

/// Runs an instance of the own interface until a signal or an operator stops it.
async fn run_own_interface(settings: Settings) -> Result<(), Error> {
    // Settings are not read again here: the signal tells that the terminal is gone.
    let mut hangup = signals::take(tokio::signal::unix::SignalKind::hangup());
    let termination = instance::wait_for_termination();
    tokio::pin!(termination);
    let instance = tokio::select! {
        // A signal that came before the ports were bound leads to a planned stop too.
        biased;
        instance = Instance::start(settings) => instance?,
        _ = hangup.recv() => {
            instance::log_unstarted_stop();
            return Ok(());
        }
        () = &mut termination => {
            instance::log_unstarted_stop();
            return Ok(());
        }
    };
    tokio::select! {
        _ = hangup.recv() => {}
        () = &mut termination => {}
        () = instance.wait_for_drain_request() => {}
        // Without its core the instance answers every request with an error.
        () = instance.core_ended() => {
            instance.close().await;
            return Err(Error::CoreEnded);
        }
    }
    info!("stopping");
    instance.stop().await;
    info!("stopped");
    Ok(())
}
