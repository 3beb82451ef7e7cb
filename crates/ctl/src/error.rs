//! Errors of the command line, and their exit codes.

use super::*;

/// Exit code for invalid arguments, files or declarations.
const EXIT_USAGE: u8 = 2;

/// Exit code for a change that was rejected because another one was accepted first.
const EXIT_CONFLICT: u8 = 3;

/// Exit code for a change that was accepted, but was not in force everywhere before the timeout.
const EXIT_NOT_IN_FORCE: u8 = 4;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// The instance returned an error, or did not reply.
    Call(Box<tonic::Status>),
    /// Another change was accepted first; the revision in force.
    Conflict(u64),
    /// The connection to the instance failed; its address and the cause.
    Connect(String, tonic::transport::Error),
    /// The declaration is invalid.
    Faults(Vec<schema::Fault>),
    /// A file could not be read as a declaration; its path and the cause.
    File(PathBuf, String),
    /// The async runtime could not be started.
    Runtime(std::io::Error),
    /// The revision is not yet in force everywhere; the instances where it is not.
    NotInForce(Vec<String>),
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Faults(_) | Self::File(..) => ExitCode::from(EXIT_USAGE),
            Self::Conflict(_) => ExitCode::from(EXIT_CONFLICT),
            Self::NotInForce(_) => ExitCode::from(EXIT_NOT_IN_FORCE),
            Self::Call(_) | Self::Connect(..) | Self::Runtime(_) => ExitCode::FAILURE,
        }
    }
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Call(status) => write!(formatter, "{}: {}", status.code(), status.message()),
            Self::Conflict(revision) => {
                write!(
                    formatter,
                    "revision {revision} is in force; review it and apply again"
                )
            }
            Self::Connect(address, error) => {
                write!(formatter, "failed to connect to {address}: {error}")
            }
            Self::Faults(faults) => {
                write!(formatter, "declaration has {} faults", faults.len())?;
                faults
                    .iter()
                    .try_for_each(|fault| write!(formatter, "\n  {}: {}", fault.place, fault.text))
            }
            Self::File(path, text) => write!(formatter, "{}: {text}", path.display()),
            Self::Runtime(error) => write!(formatter, "failed to start the async runtime: {error}"),
            Self::NotInForce(names) => write!(
                formatter,
                "change accepted, but not yet in force at {}",
                names.join(", ")
            ),
        }
    }
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Call(Box::new(status))
    }
}

impl std::error::Error for Error {}
