//! Errors of the command line, the sockets and the platform's services.

use super::*;

/// Exit code for a settings file that is unreadable or invalid.
const EXIT_USAGE: u8 = 2;

/// Errors outside the handling of requests.
#[derive(Debug)]
pub enum Error {
    /// Listening on an address failed.
    Bind(Port, SocketAddr, std::io::Error),
    /// The core task ended while the instance was running.
    CoreEnded,
    /// Another instance did not answer a request.
    Peer(SocketAddr, String),
    /// The answer of another instance exceeded a bound.
    PeerBound(SocketAddr, String),
    /// Reading a file failed.
    Read(PathBuf, std::io::Error),
    /// Starting the async runtime failed.
    Runtime(std::io::Error),
    /// A settings file has faults.
    Settings(PathBuf, Vec<Fault>),
    /// A call of the platform's store failed or returned invalid data.
    Store(String),
    /// The platform's store did not respond within this time, in milliseconds.
    StoreTimeout(u128),
    /// A task that the instance can't do without panicked.
    TaskEnded(&'static str),
}

impl Error {
    /// Whether it is that of a settings file which is being written: missing, or no whole JSON document.
    pub fn is_unfinished_file(&self) -> bool {
        match self {
            Self::Read(_, error) => matches!(
                error.kind(),
                std::io::ErrorKind::InvalidData | std::io::ErrorKind::NotFound
            ),
            Self::Settings(_, faults) => faults.iter().any(|fault| fault.place == settings::FILE),
            _ => false,
        }
    }

    /// Name of its kind in logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Bind(..) => "bind",
            Self::CoreEnded => "core_ended",
            Self::Peer(..) => "peer",
            Self::PeerBound(..) => "peer_bound",
            Self::Read(..) => "read",
            Self::Runtime(_) => "runtime",
            Self::Settings(..) => "settings",
            Self::Store(_) => "store",
            Self::StoreTimeout(_) => "store_timeout",
            Self::TaskEnded(_) => "task_ended",
        }
    }

    /// The step of the start that failed, or the task that ended, in logs; empty for other errors.
    pub fn step(&self) -> String {
        match self {
            Self::Bind(port, ..) => port.to_string(),
            Self::Read(..) | Self::Settings(..) => "settings".into(),
            Self::Runtime(_) => "runtime".into(),
            Self::TaskEnded(task) => (*task).into(),
            Self::CoreEnded
            | Self::Peer(..)
            | Self::PeerBound(..)
            | Self::Store(_)
            | Self::StoreTimeout(_) => String::new(),
        }
    }

    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Read(..) | Self::Settings(..) => ExitCode::from(EXIT_USAGE),
            Self::Bind(..)
            | Self::CoreEnded
            | Self::Peer(..)
            | Self::PeerBound(..)
            | Self::Runtime(_)
            | Self::Store(_)
            | Self::StoreTimeout(_)
            | Self::TaskEnded(_) => ExitCode::FAILURE,
        }
    }
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Bind(port, address, error) => {
                write!(formatter, "failed to listen on {address} ({port}): {error}")
            }
            Self::CoreEnded => write!(formatter, "the core task ended"),
            Self::Peer(address, text) | Self::PeerBound(address, text) => {
                write!(formatter, "instance {address}: {text}")
            }
            Self::Read(path, error) => {
                write!(formatter, "failed to read {}: {error}", path.display())
            }
            Self::Runtime(error) => write!(formatter, "failed to start the async runtime: {error}"),
            Self::Settings(path, faults) => {
                write!(formatter, "{} has {} faults", path.display(), faults.len())?;
                faults
                    .iter()
                    .try_for_each(|fault| write!(formatter, "\n  {fault}"))
            }
            Self::Store(text) => write!(formatter, "platform: {text}"),
            Self::TaskEnded(task) => write!(formatter, "the task {task} panicked"),
            Self::StoreTimeout(millis) => {
                write!(formatter, "platform: no response within {millis} ms")
            }
        }
    }
}

impl std::error::Error for Error {}
