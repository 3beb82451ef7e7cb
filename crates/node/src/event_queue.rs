//! The events of one attempt that wait for the core task.

use super::*;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Places of an attempt's events in the queue of the core task.
const PLACES: u32 = 64;

/// Bytes of an event that take one place.
const PLACE_BYTES: usize = 1 << 10;

/// Bounds the events of an attempt that the core task has not handled: an event holds its places until then.
#[derive(Debug)]
pub(crate) struct EventQueue(Arc<Semaphore>);

impl EventQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self(Arc::new(Semaphore::new(PLACES as usize)))
    }

    /// Waits for the places of an event; one that is larger than the queue takes all of them.
    pub async fn places(&self, bytes: usize) -> OwnedSemaphorePermit {
        let places = bytes / PLACE_BYTES + 1;
        let places = u32::try_from(places).map_or(PLACES, |places| places.min(PLACES));
        let permit = self.0.clone().acquire_many_owned(places).await;
        permit.expect("the semaphore is never closed")
    }
}
