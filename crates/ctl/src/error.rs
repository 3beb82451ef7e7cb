//! Errors of the operators' command line and its exit codes.

use super::*;

/// Exit code for wrong arguments, files or declarations.
const EXIT_USAGE: u8 = 2;

/// Exit code for a change that another one came before.
const EXIT_CONFLICT: u8 = 3;

/// Exit code for a change accepted but not in force everywhere in time.
const EXIT_NOT_IN_FORCE: u8 = 4;

/// What can go wrong.
#[derive(Debug)]
pub enum Error {
    /// The instance refused or did not answer.
    Call(Box<tonic::Status>),
    /// Another change came first; the revision in force.
    Conflict(u64),
    /// The instance can not be reached.
    Connect(String, tonic::transport::Error),
    /// The declaration has faults.
    Faults(Vec<schema::Fault>),
    /// A file is no declaration.
    File(PathBuf, String),
    /// The runtime could not be started.
    Runtime(std::io::Error),
    /// Instances that do not have the revision in force yet.
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
                    "revision {revision} is in force; look at it and apply again"
                )
            }
            Self::Connect(address, error) => write!(formatter, "can not reach {address}: {error}"),
            Self::Faults(faults) => {
                write!(formatter, "{} faults in the declaration", faults.len())?;
                faults
                    .iter()
                    .try_for_each(|fault| write!(formatter, "\n  {}: {}", fault.place, fault.text))
            }
            Self::File(path, text) => write!(formatter, "{}: {text}", path.display()),
            Self::Runtime(error) => write!(formatter, "can not start the runtime: {error}"),
            Self::NotInForce(names) => write!(
                formatter,
                "accepted, but not yet in force at {}",
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
