//! What must hold whatever happens: each request ends once, and nothing follows its end.

use super::*;

/// What has become of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It was answered, refused or broken off.
    Ended,
    /// Its caller left.
    Left,
    /// It has no end yet.
    Open,
}

/// Whether an effect is for a caller, and whether it ends the response.
pub fn addressed(effect: &Effect) -> Option<(Caller, bool)> {
    match effect {
        Effect::AbortStream(caller)
        | Effect::CloseStream(caller)
        | Effect::EndStream(caller)
        | Effect::Fail { caller, .. }
        | Effect::Finish { caller, .. }
        | Effect::ForwardResponse(caller)
        | Effect::Reply { caller, .. } => Some((*caller, true)),
        Effect::Buffering(effect::Buffering::Discard(caller))
        | Effect::Deliver { caller, .. }
        | Effect::ForwardEvent { caller, .. }
        | Effect::ForwardHead(caller) => Some((*caller, false)),
        _ => None,
    }
}

impl World {
    /// Judges an effect: one for a caller, or the count of an invariant that does not hold, which debug assertions turn into
    /// a panic.
    pub fn judge(&mut self, effect: &Effect) {
        if let Effect::Count(Counter::Invariant(invariant), _) = effect {
            self.violations
                .push(format!("invariant broken: {invariant}"));
        }
        let Some((caller, is_last)) = addressed(effect) else {
            return;
        };
        let progress = self.callers.get(&caller).copied();
        if progress != Some(Progress::Open) {
            self.violations
                .push(format!("{caller:?} is {progress:?} and gets {effect:?}"));
        }
        if is_last {
            self.callers.insert(caller, Progress::Ended);
        }
    }

    /// Judges the end of a case: every request has ended.
    pub fn judge_end(&mut self) {
        let open = self.callers.iter();
        let open = open.filter(|(_, progress)| **progress == Progress::Open);
        let open: Vec<String> = open
            .map(|(caller, _)| format!("{caller:?} never ends"))
            .collect();
        self.violations.extend(open);
        let running = self.core.running();
        if running > 0 {
            self.violations.push(format!("{running} requests remain"));
        }
    }
}
