//! Requests that were at upstreams when these ended: when one is held back, refused for good, or sent apart from others.
//!
//! Answers one load pattern: a request that ends each upstream that begins to run it, and that its caller brings again, with
//! others of its kind, at any instance. Its limit is that of the users: after the third end, and the time in which instances hear
//! of each other, three more sendings in all.

use super::*;

/// Time for which the answer to the question whether an upstream has ended is waited for, in milliseconds: longer than a
/// connection is tried for.
const CHECK_TIMEOUT_MS: u64 = 400;

/// Time for which an answer comes from an upstream before its end tells less of the request, in milliseconds: such requests ended
/// upstreams 0.06 to 0.11 s behind their first token.
const LONG_RUN_MS: u64 = 500;

/// Time for which a broken connection may still turn out to have been the end of its upstream, in milliseconds: by then the list
/// shows whether it was born anew.
const PENDING_MS: u64 = 8_000;

/// Ends of upstreams from which on a request is kept apart from others.
const ISOLATION_CRASHES: usize = 2;

/// Connections to an upstream that broke, of which it is not known whether it ended.
#[derive(Clone, Debug)]
struct Pending {
    /// Whether somebody listened at its address behind the last of them: it lives, or was born anew.
    answered: bool,
    /// When the first broke.
    broken_at: Time,
    /// The requests that were sent on them.
    requests: BTreeMap<Print, quarantine::Part>,
}

/// A request that is not sent on before it is known whether its last upstream ended.
#[derive(Clone, Copy, Debug)]
struct Held {
    life: Life,
    reason: counter::Reason,
    request: request::Key,
    until: Time,
}

/// What an instance believes of requests that end their upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspects {
    account: Account,
    guilty: BTreeMap<Print, BTreeSet<Life>>,
    held: Vec<Held>,
    pending: HashMap<Life, Pending>,
    /// Ends that this instance saw itself.
    witnessed: BTreeSet<Life>,
}

impl CrashSuspects {
    /// Whether this instance saw one of some lives end itself.
    fn has_witnessed(&self, lives: &BTreeSet<Life>) -> bool {
        lives.iter().any(|life| self.witnessed.contains(life))
    }

    /// Guilty requests of whose ends this instance saw one itself.
    fn witnessed_guilty(&self) -> BTreeSet<Print> {
        let own = self
            .guilty
            .iter()
            .filter(|(_, lives)| self.has_witnessed(lives));
        own.map(|(print, _)| *print).collect()
    }

    /// Whether a request was at any end, or may have been.
    fn is_suspect(&self, print: Print) -> bool {
        self.crash_count(print) > 0
    }

    /// Ends at which a request was, those with it that are not certain.
    fn crash_count(&self, print: Print) -> usize {
        let pending = self.pending.values().filter(|pending| !pending.answered);
        let pending = pending.filter(|pending| pending.requests.contains_key(&print));
        self.account.lives(print).count() + pending.count()
    }

    /// Whether anything is known or to be found out.
    fn is_idle(&self) -> bool {
        self.account.is_empty() && self.pending.is_empty()
    }
}

impl Core {
    /// Whether a request is refused, since it ends the upstreams that run it.
    pub(crate) fn is_quarantined(&self, print: Print) -> bool {
        self.crash_suspects.guilty.contains_key(&print)
    }

    /// Whether a request was at an upstream that ended.
    pub(crate) fn is_crash_suspect(&self, print: Print) -> bool {
        !self.crash_suspects.is_idle() && self.crash_suspects.is_suspect(print)
    }

    /// The requests that are refused.
    pub fn quarantined(&self) -> impl Iterator<Item = Print> {
        self.crash_suspects.guilty.keys().copied()
    }

    /// The unplanned ends of upstreams that this instance knows.
    pub fn account(&self) -> &Account {
        &self.crash_suspects.account
    }

    /// The connection of an attempt broke: its upstream may have ended. That one which leaves ends says nothing of
    /// what it ran.
    pub(crate) fn suspect_crash(&mut self, attempt: &Attempt) {
        let upstream = &self.upstreams[attempt.upstream];
        if self.settings.quarantine == Guilt::Off || upstream.is_leaving(self.now) {
            return;
        }
        let (address, life) = (upstream.address, upstream.life);
        let print = self.requests[attempt.request].print;
        let running_ms = attempt.began.map_or(0, |began| self.now.since(began));
        let part = if running_ms >= LONG_RUN_MS {
            quarantine::Part::Ran
        } else {
            quarantine::Part::Fresh
        };
        if self.crash_suspects.account.has(life) {
            self.record_crash(life, &[(print, part)].into());
            return;
        }
        let now = self.now;
        let pending = self.crash_suspects.pending.entry(life);
        let pending = pending.or_insert_with(|| Pending {
            answered: true,
            broken_at: now,
            requests: BTreeMap::new(),
        });
        pending.requests.insert(print, part);
        if std::mem::replace(&mut pending.answered, false) {
            self.push_quarantine_effect(effect::Quarantine::Check { address, life });
        }
    }

    /// It is known whether an upstream ended whose connections broke.
    pub(crate) fn apply_crash_check(&mut self, life: Life, ended: bool) {
        if ended {
            self.confirm_crash(life);
        } else if let Some(pending) = self.crash_suspects.pending.get_mut(&life) {
            pending.answered = true;
        }
        let of_life = |held: &mut Held| held.life == life;
        let held: Vec<Held> = self.crash_suspects.held.extract_if(.., of_life).collect();
        for held in held {
            self.retry_request(held.request, held.reason);
        }
    }

    /// An upstream has ended without a word; what was sent on connections that broke was requests.
    pub(crate) fn confirm_crash(&mut self, life: Life) {
        if let Some(pending) = self.crash_suspects.pending.remove(&life) {
            self.record_crash(life, &pending.requests);
        }
    }

    fn record_crash(&mut self, life: Life, requests: &BTreeMap<Print, quarantine::Part>) {
        let mut news = Account::default();
        for (print, part) in requests {
            if self
                .crash_suspects
                .account
                .add(life, *print, *part, self.now)
            {
                news.add(life, *print, *part, self.now);
            }
        }
        self.crash_suspects.witnessed.insert(life);
        self.publish_crashes(news);
    }

    /// Another instance, or the store, told of ends of upstreams.
    pub(crate) fn merge_crashes(&mut self, reported: &Account) {
        if self.settings.quarantine == Guilt::Off {
            return;
        }
        let news = self.crash_suspects.account.merge(reported);
        if !news.is_empty() {
            self.update_quarantine();
        }
    }

    /// A request was answered whole: it ends no upstream.
    pub(crate) fn clear_suspicion(&mut self, print: Print) {
        if !self.is_crash_suspect(print) {
            return;
        }
        for pending in self.crash_suspects.pending.values_mut() {
            pending.requests.remove(&print);
        }
        let news = self.crash_suspects.account.clear(print);
        self.publish_crashes(news);
    }

    /// Tells other instances what this one saw, and draws the conclusions.
    fn publish_crashes(&mut self, news: Account) {
        if !news.is_empty() {
            self.push_quarantine_effect(effect::Quarantine::Tell(news));
            self.update_quarantine();
        }
    }

    fn push_quarantine_effect(&mut self, effect: effect::Quarantine) {
        self.effects.push(Effect::Quarantine(effect));
    }

    /// Finds out who is guilty by all that is known, and gives up on what is.
    fn update_quarantine(&mut self) {
        let own = self.crash_suspects.witnessed_guilty();
        let suspects = &mut self.crash_suspects;
        let rule = self.settings.quarantine;
        suspects.account.trim(rule, self.now);
        let account = &suspects.account;
        suspects.witnessed.retain(|life| account.has(*life));
        let before = std::mem::replace(&mut suspects.guilty, account.guilty(rule));
        let found: Vec<Print> = suspects.guilty.keys().copied().collect();
        let found = found
            .into_iter()
            .filter(|print| !before.contains_key(print));
        for print in found.collect::<Vec<Print>>() {
            self.quarantine(print);
        }
        let released = |print: &&Print| !self.crash_suspects.guilty.contains_key(print);
        let released: Vec<Print> = before.keys().filter(released).copied().collect();
        for print in released {
            // Only who kept it removes it: else each of hundreds would write when one lapses.
            let own = own.contains(&print);
            self.push_quarantine_effect(effect::Quarantine::Free { own, print });
        }
        let account = self.crash_suspects.account.clone();
        self.push_quarantine_effect(effect::Quarantine::Keep(account));
    }

    /// A request is guilty from now on: nothing of it is sent any more, and what an upstream has not yet begun is taken back.
    fn quarantine(&mut self, print: Print) {
        self.count(Counter::Quarantined);
        let suspects = &self.crash_suspects;
        let own = suspects.has_witnessed(&suspects.guilty[&print]);
        let ends = suspects.account.of(print);
        self.push_quarantine_effect(effect::Quarantine::Refuse { ends, own, print });
        let affected: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| request.print == print)
            .map(|(key, _)| key)
            .collect();
        for key in affected {
            self.refuse_quarantined(key);
        }
    }

    /// Gives up on a request that ends its upstreams, unless that has been done.
    pub(crate) fn refuse_quarantined(&mut self, key: request::Key) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.give_up(key, Kind::Quarantined, Kind::EndsUpstreams);
    }

    /// Sends a request on whose last upstream was lost, once it is known whether that may be its fault: the answer takes
    /// milliseconds, and is waited for only by a request that it may convict.
    pub(crate) fn retry_after_crash_check(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
        reason: counter::Reason,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let print = request.print;
        let life = self.upstreams.get(upstream).map(|upstream| upstream.life);
        let pending = life.filter(|life| {
            let pending = self.crash_suspects.pending.get(life);
            pending.is_some_and(|pending| !pending.answered)
        });
        match pending {
            Some(life) if self.crash_suspects.crash_count(print) >= quarantine::GUILTY => {
                self.crash_suspects.held.push(Held {
                    life,
                    reason,
                    request: key,
                    until: self.now.after(CHECK_TIMEOUT_MS),
                });
            }
            _ => self.retry_request(key, reason),
        }
    }

    fn retry_request(&mut self, key: request::Key, reason: counter::Reason) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.work.relay().is_some() {
            self.relay_again(key, reason);
        } else {
            self.recover(key, reason);
        }
    }

    /// Time passed: what waits for an answer that does not come goes on, connections that broke long ago say nothing more,
    /// and ends lapse.
    pub(crate) fn expire_crash_suspects(&mut self) {
        let now = self.now;
        if self.crash_suspects.account.lapses(now) {
            self.update_quarantine();
        }
        let pending = &mut self.crash_suspects.pending;
        pending.retain(|_, pending| now.since(pending.broken_at) < PENDING_MS);
        let due = |held: &mut Held| held.until <= now;
        let due: Vec<Held> = self.crash_suspects.held.extract_if(.., due).collect();
        for held in due {
            self.retry_request(held.request, held.reason);
        }
    }

    /// Requests of this instance at an upstream that a request had better be sent apart from: one that was at an end from all that
    /// were, so that the next end tells them from each other; any other from those that were at two, so that it is in no
    /// third with them.
    pub(crate) fn suspects_at(&self, print: Print, candidate: upstream::Key) -> usize {
        if self.crash_suspects.is_idle() {
            return 0;
        }
        let min_crashes = if self.crash_suspects.is_suspect(print) {
            1
        } else {
            ISOLATION_CRASHES
        };
        let attempts = self.upstreams[candidate].attempts.iter();
        let others = attempts.map(|attempt| self.requests[self.attempts[*attempt].request].print);
        let suspects = others.filter(|other| {
            *other != print && self.crash_suspects.crash_count(*other) >= min_crashes
        });
        suspects.count()
    }
}
