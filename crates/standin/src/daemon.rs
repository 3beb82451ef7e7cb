//! An instance as a process of its own: it is started, signalled and ended from outside, and each end that nobody asked
//! for is kept with what the process wrote to its standard error.

use super::*;
use std::{
    io::{Read as _, Seek as _, SeekFrom},
    os::unix::process::ExitStatusExt as _,
    path::PathBuf,
    process::{Child, Command as Program, ExitStatus, Stdio},
};

/// Bytes from the end of standard error that are read for a report; a backtrace is longer than what goes before it.
const TAIL_BYTES: u64 = 64 << 10;

/// Lines of standard error that are told of an end.
const TAIL_LINES: usize = 10;

/// Environment variable that names the program of the instances, so that earlier builds can be run. Without it the program
/// beside this one is run.
const PROGRAM: &str = "WELLPLANK_PROGRAM";

/// Number of the signal that ends a process at once.
const SIGKILL: i32 = 9;

/// A signal that a soak sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    /// Goes on behind a pause.
    Continue,
    /// Reads the settings again.
    Hangup,
    /// Stands still.
    Pause,
    /// Ends in order.
    Terminate,
}

impl Signal {
    /// Its number.
    fn number(self) -> i32 {
        match self {
            Self::Continue => 18,
            Self::Hangup => 1,
            Self::Pause => 19,
            Self::Terminate => 15,
        }
    }
}

/// The end of a process that nobody asked for.
#[derive(Clone, Debug)]
pub(crate) struct End {
    /// When it was seen.
    pub(crate) at: Instant,
    /// Exit status, and the last lines of standard error.
    pub(crate) text: String,
}

/// An instance as a process.
pub(crate) struct Daemon {
    /// Where callers connect.
    pub(crate) callers: SocketAddr,
    child: Option<Child>,
    /// Data that a process may have, in kibibytes, by the shell's `ulimit -d`; it gets no more memory beyond.
    pub(crate) data_kib: Option<u64>,
    /// Descriptors that a process may have, by the shell's `ulimit -n`.
    pub(crate) descriptors: Option<u64>,
    /// Ends of its processes that nobody asked for.
    pub(crate) ends: Vec<End>,
    /// Times from SIGTERM to the end of a process, as they were seen.
    pub(crate) exits: Vec<Duration>,
    /// Bytes that earlier processes wrote to standard error.
    error_start: u64,
    /// Its settings; logs lie beside them.
    pub(crate) file: PathBuf,
    /// Numbers of the signals that the running process was sent.
    signals: Vec<i32>,
    /// When the running process was told to end in order.
    terminated: Option<Instant>,
}

impl Daemon {
    /// An instance with settings in a file, not yet started.
    pub(crate) fn new(callers: SocketAddr, file: PathBuf) -> Self {
        Self {
            callers,
            child: None,
            data_kib: None,
            descriptors: None,
            ends: Vec::new(),
            error_start: 0,
            exits: Vec::new(),
            file,
            signals: Vec::new(),
            terminated: None,
        }
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.runs() {
            return;
        }
        let Some(child) = &self.child else {
            return;
        };
        self.signals.push(signal.number());
        if signal == Signal::Terminate {
            self.terminated.get_or_insert_with(Instant::now);
        }
        let (id, number) = (child.id().to_string(), format!("-{}", signal.number()));
        let _ = Program::new("kill").args([number, id]).status();
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if !self.runs() {
            return;
        }
        let Some(mut child) = self.child.take() else {
            return;
        };
        self.signals.push(SIGKILL);
        let _ = child.kill();
        if let Ok(status) = child.wait() {
            self.note(status);
        }
    }

    /// Ends the processes of all instances at one moment.
    pub(crate) fn kill_all(daemons: &mut [Self]) {
        for daemon in daemons.iter_mut().filter(|daemon| daemon.child.is_some()) {
            daemon.signals.push(SIGKILL);
            if let Some(child) = &mut daemon.child {
                let _ = child.kill();
            }
        }
        for daemon in daemons {
            daemon.kill();
        }
    }

    /// An address of its settings that callers do not use, by its name.
    pub(crate) fn hosted(&self, name: &str) -> SocketAddr {
        let text = std::fs::read_to_string(&self.file).expect("settings were written");
        let settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        let address = settings["hosted"][name].as_str().unwrap_or_default();
        address.parse().expect("settings hold addresses")
    }

    /// Number of the process, if one was started and no end of it was seen.
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process runs; an end of it is noted.
    pub(crate) fn runs(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        self.child = None;
        self.note(status);
        false
    }

    /// Starts the process unless it runs.
    pub(crate) fn start(&mut self) {
        if self.runs() {
            return;
        }
        let program = std::env::var_os(PROGRAM).map(PathBuf::from).or_else(built);
        self.signals.clear();
        self.terminated = None;
        self.error_start = std::fs::metadata(self.error_file()).map_or(0, |file| file.len());
        self.child = program.and_then(|program| {
            self.program(&program)
                .args(["run", "--settings"])
                .arg(&self.file)
                .stdout(append(&self.file.with_extension("log")))
                .stderr(append(&self.error_file()))
                .spawn()
                .ok()
        });
    }

    /// The program, which a shell starts in its own place if there is a limit.
    fn program(&self, program: &std::path::Path) -> Program {
        let limits = [("-d", self.data_kib), ("-n", self.descriptors)];
        let limits =
            limits.map(|(flag, limit)| limit.map(|limit| format!("ulimit {flag} {limit} && ")));
        let limits: String = limits.into_iter().flatten().collect();
        if limits.is_empty() {
            return Program::new(program);
        }
        let mut shell = Program::new("sh");
        let script = format!("{limits}exec \"$0\" \"$@\"");
        shell.arg("-c").arg(script).arg(program);
        shell
    }

    /// Where standard error is kept.
    fn error_file(&self) -> PathBuf {
        self.file.with_extension("err")
    }

    /// Notes an end unless a signal that was sent asked for it. A process that is told to end in order must say that it did.
    fn note(&mut self, status: ExitStatus) {
        let exit = self.terminated.take().map(|at| at.elapsed());
        self.exits.extend(exit);
        let by_signal = status
            .signal()
            .is_some_and(|signal| self.signals.contains(&signal));
        let in_order = status.success() && self.signals.contains(&Signal::Terminate.number());
        if by_signal || in_order {
            return;
        }
        self.ends.push(End {
            at: Instant::now(),
            text: format!("{status}; {}", self.error_tail()),
        });
    }

    /// The last lines that the process wrote to standard error, without those of a backtrace, which are indented.
    fn error_tail(&self) -> String {
        let mut bytes = Vec::new();
        let read = |bytes: &mut Vec<u8>| {
            let mut file = std::fs::File::open(self.error_file())?;
            let length = file.metadata()?.len();
            let start = self.error_start.max(length.saturating_sub(TAIL_BYTES));
            file.seek(SeekFrom::Start(start))?;
            file.read_to_end(bytes)
        };
        match read(&mut bytes) {
            Ok(_) => {
                let text = String::from_utf8_lossy(&bytes);
                let lines = text.lines().filter(|line| !line.starts_with(' '));
                let lines: Vec<&str> = lines.filter(|line| !line.is_empty()).collect();
                lines[lines.len().saturating_sub(TAIL_LINES)..].join(" | ")
            }
            Err(error) => format!("its standard error can not be read: {error}"),
        }
    }
}

/// The program that was built with this one. Tests run one folder below the programs.
fn built() -> Option<PathBuf> {
    let program = std::env::current_exe().expect("the program has a path");
    let folder = program
        .ancestors()
        .find(|folder| folder.join("wellplank").is_file());
    folder.map(|folder| folder.join("wellplank"))
}

/// A file to which a process adds.
fn append(path: &std::path::Path) -> Stdio {
    let file = std::fs::File::options()
        .append(true)
        .create(true)
        .open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}
