//! Tasks that an instance can't do without. The end of one by a panic is told, so that the instance does not go on without
//! it unseen.

use super::*;

/// Starts tasks, and tells the names of those that panicked.
#[derive(Clone)]
pub struct Tasks(mpsc::UnboundedSender<&'static str>);

/// Tells the end of a task if it is dropped by a panic.
struct Guard {
    name: &'static str,
    panicked: mpsc::UnboundedSender<&'static str>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Sending fails only while the instance shuts down.
            let _ = self.panicked.send(self.name);
        }
    }
}

impl Tasks {
    /// No tasks yet; the receiver yields the names of those that panicked.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<&'static str>) {
        let (panicked, receiver) = mpsc::unbounded_channel();
        (Self(panicked), receiver)
    }

    /// Starts a task.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let guard = Guard {
            name,
            panicked: self.0.clone(),
        };
        tokio::spawn(async move {
            let _guard = guard;
            task.await;
        });
    }
}
