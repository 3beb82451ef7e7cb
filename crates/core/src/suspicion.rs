//! Requests that were at upstreams when these ended: when one is held back, refused for good, or sent apart from others.
//!
//! Answers one load pattern: a request that ends each upstream that begins to run it, and that its caller brings again, with
//! others of its kind, at any instance. Its limit is that of the users: after the third end, and the time in which instances hear
//! of each other, three more sendings in all.

use super::*;

/// Time for which the answer to the question whether an upstream has ended is waited for, in milliseconds: longer than a
/// connection is tried for.
const CHECK_MS: u64 = 400;

/// Time for which an answer comes from an upstream before its end tells less of the request, in milliseconds: such requests ended
/// upstreams 0.06 to 0.11 s behind their first token.
const RAN_MS: u64 = 500;

/// Time for which a broken connection may still turn out to have been the end of its upstream, in milliseconds: by then the list
/// shows whether it was born anew.
const PENDING_MS: u64 = 8_000;

/// Ends of upstreams from which on a request is kept apart from others.
const APART: usize = 2;

/// Connections to an upstream that broke, of which it is not known whether it ended.
#[derive(Clone, Debug)]
struct Pending {
    /// Whether somebody listened at its address behind the last of them: it lives, or was born anew.
    answered: bool,
    /// When the first broke.
    since: Time,
    /// The requests that were sent on them.
    there: BTreeMap<Print, quarantine::Involvement>,
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
pub(crate) struct Suspicion {
    account: CrashHistory,
    guilty: BTreeMap<Print, BTreeSet<Life>>,
    held: Vec<Held>,
    pending: HashMap<Life, Pending>,
    /// Ends that this instance saw itself.
    seen: BTreeSet<Life>,
}

impl Suspicion {
    /// Whether this instance saw one of some lives end itself.
    fn saw(&self, lives: &BTreeSet<Life>) -> bool {
        lives.iter().any(|life| self.seen.contains(life))
    }

    /// Guilty requests of whose ends this instance saw one itself.
    fn own_guilty(&self) -> BTreeSet<Print> {
        let own = self.guilty.iter().filter(|(_, lives)| self.saw(lives));
        own.map(|(print, _)| *print).collect()
    }

    /// Whether a request was at any end, or may have been.
    fn knows(&self, print: Print) -> bool {
        self.ends(print) > 0
    }

    /// Ends at which a request was, those with it that are not certain.
    fn ends(&self, print: Print) -> usize {
        let pending = self.pending.values().filter(|pending| !pending.answered);
        let pending = pending.filter(|pending| pending.there.contains_key(&print));
        self.account.crashes_of(print).count() + pending.count()
    }

    /// Whether anything is known or to be found out.
    fn is_idle(&self) -> bool {
        self.account.is_empty() && self.pending.is_empty()
    }
}

impl Core {
    /// Whether a request is refused, since it ends the upstreams that run it.
    pub(crate) fn is_guilty(&self, print: Print) -> bool {
        self.suspicion.guilty.contains_key(&print)
    }

    /// Whether a request was at an upstream that ended.
    pub(crate) fn is_suspect(&self, print: Print) -> bool {
        !self.suspicion.is_idle() && self.suspicion.knows(print)
    }

    /// The requests that are refused.
    pub fn quarantined(&self) -> impl Iterator<Item = Print> {
        self.suspicion.guilty.keys().copied()
    }

    /// The unplanned ends of upstreams that this instance knows.
    pub fn account(&self) -> &CrashHistory {
        &self.suspicion.account
    }

    /// The connection of an attempt broke: its upstream may have ended. That one which leaves ends says nothing of
    /// what it ran.
    pub(crate) fn suspect(&mut self, attempt: &Attempt) {
        let upstream = &self.upstreams[attempt.upstream];
        if self.settings.quarantine == QuarantineRule::Off || upstream.leaves(self.now) {
            return;
        }
        let (address, life) = (upstream.address, upstream.life);
        let print = self.requests[attempt.request].print;
        let ran_ms = attempt.began.map_or(0, |began| self.now.since(began));
        let part = if ran_ms >= RAN_MS {
            quarantine::Involvement::Ran
        } else {
            quarantine::Involvement::Fresh
        };
        if self.suspicion.account.contains(life) {
            self.note_end(life, &[(print, part)].into());
            return;
        }
        let now = self.now;
        let pending = self.suspicion.pending.entry(life);
        let pending = pending.or_insert_with(|| Pending {
            answered: true,
            since: now,
            there: BTreeMap::new(),
        });
        pending.there.insert(print, part);
        if std::mem::replace(&mut pending.answered, false) {
            self.decide(effect::Quarantine::Check { address, life });
        }
    }

    /// It is known whether an upstream ended whose connections broke.
    pub(crate) fn checked(&mut self, life: Life, ended: bool) {
        if ended {
            self.ended(life);
        } else if let Some(pending) = self.suspicion.pending.get_mut(&life) {
            pending.answered = true;
        }
        let of_life = |held: &mut Held| held.life == life;
        let held: Vec<Held> = self.suspicion.held.extract_if(.., of_life).collect();
        for held in held {
            self.go_on(held.request, held.reason);
        }
    }

    /// An upstream has ended without a word; what was sent on connections that broke was there.
    pub(crate) fn ended(&mut self, life: Life) {
        if let Some(pending) = self.suspicion.pending.remove(&life) {
            self.note_end(life, &pending.there);
        }
    }

    fn note_end(&mut self, life: Life, there: &BTreeMap<Print, quarantine::Involvement>) {
        let mut news = CrashHistory::default();
        for (print, part) in there {
            if self.suspicion.account.record(life, *print, *part, self.now) {
                news.record(life, *print, *part, self.now);
            }
        }
        self.suspicion.seen.insert(life);
        self.tell_ends(news);
    }

    /// Another instance, or the store, told of ends of upstreams.
    pub(crate) fn crashed(&mut self, told: &CrashHistory) {
        if self.settings.quarantine == QuarantineRule::Off {
            return;
        }
        let news = self.suspicion.account.merge(told);
        if !news.is_empty() {
            self.judge();
        }
    }

    /// A request was answered whole: it ends no upstream.
    pub(crate) fn acquit(&mut self, print: Print) {
        if !self.is_suspect(print) {
            return;
        }
        for pending in self.suspicion.pending.values_mut() {
            pending.there.remove(&print);
        }
        let news = self.suspicion.account.clear(print);
        self.tell_ends(news);
    }

    /// Tells other instances what this one saw, and draws the conclusions.
    fn tell_ends(&mut self, news: CrashHistory) {
        if !news.is_empty() {
            self.decide(effect::Quarantine::Tell(news));
            self.judge();
        }
    }

    fn decide(&mut self, effect: effect::Quarantine) {
        self.effects.push(Effect::Quarantine(effect));
    }

    /// Finds out who is guilty by all that is known, and gives up on what is.
    fn judge(&mut self) {
        let own = self.suspicion.own_guilty();
        let suspicion = &mut self.suspicion;
        let rule = self.settings.quarantine;
        suspicion.account.evict(rule, self.now);
        let account = &suspicion.account;
        suspicion.seen.retain(|life| account.contains(*life));
        let before = std::mem::replace(&mut suspicion.guilty, account.quarantined(rule));
        let found: Vec<Print> = suspicion.guilty.keys().copied().collect();
        let found = found
            .into_iter()
            .filter(|print| !before.contains_key(print));
        for print in found.collect::<Vec<Print>>() {
            self.condemn(print);
        }
        let freed = |print: &&Print| !self.suspicion.guilty.contains_key(print);
        let freed: Vec<Print> = before.keys().filter(freed).copied().collect();
        for print in freed {
            // Only who kept it removes it: else each of hundreds would write when one lapses.
            let own = own.contains(&print);
            self.decide(effect::Quarantine::Free { own, print });
        }
        let account = self.suspicion.account.clone();
        self.decide(effect::Quarantine::Keep(account));
    }

    /// A request is guilty from now on: nothing of it is sent any more, and what an upstream has not yet begun is taken back.
    fn condemn(&mut self, print: Print) {
        self.count(Counter::Quarantined);
        let suspicion = &self.suspicion;
        let own = suspicion.saw(&suspicion.guilty[&print]);
        let ends = suspicion.account.evidence_for(print);
        self.decide(effect::Quarantine::Refuse { ends, own, print });
        let tries: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| request.print == print)
            .map(|(key, _)| key)
            .collect();
        for key in tries {
            self.refuse_guilty(key);
        }
    }

    /// Gives up on a request that ends its upstreams, unless that has been done.
    pub(crate) fn refuse_guilty(&mut self, key: request::Key) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.give_up(key, Kind::Quarantined, Kind::EndsUpstreams);
    }

    /// Sends a request on whose last upstream was lost, once it is known whether that may be its fault: the answer takes
    /// milliseconds, and is waited for only by a request that it may convict.
    pub(crate) fn go_on_checked(
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
            let pending = self.suspicion.pending.get(life);
            pending.is_some_and(|pending| !pending.answered)
        });
        match pending {
            Some(life) if self.suspicion.ends(print) >= quarantine::QUARANTINE_THRESHOLD => {
                self.suspicion.held.push(Held {
                    life,
                    reason,
                    request: key,
                    until: self.now.after(CHECK_MS),
                });
            }
            _ => self.go_on(key, reason),
        }
    }

    fn go_on(&mut self, key: request::Key, reason: counter::Reason) {
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
    pub(crate) fn watch_suspicion(&mut self) {
        let now = self.now;
        if self.suspicion.account.has_expired(now) {
            self.judge();
        }
        let pending = &mut self.suspicion.pending;
        pending.retain(|_, pending| now.since(pending.since) < PENDING_MS);
        let due = |held: &mut Held| held.until <= now;
        let due: Vec<Held> = self.suspicion.held.extract_if(.., due).collect();
        for held in due {
            self.go_on(held.request, held.reason);
        }
    }

    /// Requests of this instance at an upstream that a request had better be sent apart from: one that was at an end from all that
    /// were, so that the next end tells them from each other; any other from those that were at two, so that it is in no
    /// third with them.
    pub(crate) fn suspects_beside(&self, print: Print, candidate: upstream::Key) -> usize {
        if self.suspicion.is_idle() {
            return 0;
        }
        let from = if self.suspicion.knows(print) {
            1
        } else {
            APART
        };
        let attempts = self.upstreams[candidate].attempts.iter();
        let others = attempts.map(|attempt| self.requests[self.attempts[*attempt].request].print);
        let beside = others.filter(|other| *other != print && self.suspicion.ends(*other) >= from);
        beside.count()
    }
}
