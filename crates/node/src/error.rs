//! Errors of the command line and of the edges.

use super::*;

/// Exit code for settings or arguments that are wrong.
const EXIT_USAGE: u8 = 2;

/// What can go wrong outside a request.
#[derive(Debug)]
pub enum Error {
    /// An address could not be listened on.
    Bind(SocketAddr, std::io::Error),
    /// A file could not be read.
    Read(PathBuf, std::io::Error),
    /// The runtime could not be started.
    Runtime(std::io::Error),
    /// Settings with faults.
    Settings(PathBuf, Vec<Fault>),
    /// The key-value service or the list did not answer as it should.
    Store(String),
    /// The platform's store did not answer in so many milliseconds.
    StoreTimeout(u128),
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Read(..) | Self::Settings(..) => ExitCode::from(EXIT_USAGE),
            Self::Bind(..) | Self::Runtime(_) | Self::Store(_) | Self::StoreTimeout(_) => {
                ExitCode::FAILURE
            }
        }
    }
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Bind(address, error) => write!(formatter, "can not listen on {address}: {error}"),
            Self::Read(path, error) => {
                write!(formatter, "can not read {}: {error}", path.display())
            }
            Self::Runtime(error) => write!(formatter, "can not start the runtime: {error}"),
            Self::Settings(path, faults) => {
                write!(formatter, "{} faults in {}", faults.len(), path.display())?;
                faults
                    .iter()
                    .try_for_each(|fault| write!(formatter, "\n  {fault}"))
            }
            Self::Store(text) => write!(formatter, "platform: {text}"),
            Self::StoreTimeout(millis) => write!(formatter, "platform: no answer in {millis} ms"),
        }
    }
}

impl std::error::Error for Error {}
