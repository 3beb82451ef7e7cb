//! Contact of this instance with what it observes. What it has not seen is evidence only for the time in which it would have
//! seen it.

use super::*;

impl Core {
    /// Since when this instance has followed the list without a gap: it has run, and the store has answered. `None` if it
    /// does not now.
    pub(crate) fn in_touch_since(&self) -> Option<Time> {
        if self.store_away().is_some() || self.now < self.list_stale_until {
            return None;
        }
        let first_read = self.first_list_at?;
        let returned = self.store_returned_at().unwrap_or_default();
        Some(first_read.max(self.resumed_at).max(returned))
    }
}
