//! What an instance learns from the platform's store, when it asks, whom it believes and what it tells others.
//!
//! The load that it answers: each call of the store is paid for, and what the store says must be known everywhere
//! within a bound. In a small fleet every instance watches the store. In a larger one an instance of each data centre
//! watches it and tells the others there by datagrams; a deputy stands in, and one that hears nothing for a while, or
//! misses a change, asks the store itself. All times are derived from the bound or bounded by it.
//!
//! A call that waits for a change and hears nothing does not show that there is none: its connection may say
//! nothing any more while something on the way acknowledges for it. So the first of those that watch waits for short
//! and tells the others what the store showed it; who is shown nothing for a while asks again on a new connection.

use super::*;
use availability::Span;
use informer_io::{
    Answer, Call, CancelReason, Confirmed, Consistency, Content, Input, KnownState, Output,
    PeerReport, Topic,
};

/// Time that a watch waits for a change while another instance shows that there is none, in milliseconds: as long as
/// the store lets it. One that says nothing any more is noticed by what other calls and other instances show.
const WAIT_MS: u64 = 30_000;

/// The shortest wait of a watch, in milliseconds: behind a pause in which changes gathered little of the time between
/// two calls may be left.
const WAIT_LEAST_MS: u64 = 100;

/// Pause between two watches for each upstream, in milliseconds, in which changes gather: each call is paid for, and
/// a lost data centre changes a part of all entries.
const GATHER_EACH_MS: u64 = 6;

/// The shortest such pause, in milliseconds. The longest is half of the time in which a leaving upstream must get no
/// more work; the other half is for the call.
const GATHER_LEAST_MS: u64 = 200;

/// Time for which datagrams that came before earlier ones wait for these, in milliseconds: links carry short ones
/// sooner.
const REORDER_MS: u64 = 150;

/// Pauses before the reads of a configuration that others are known to have, in milliseconds. These reads may be old,
/// by some hundred milliseconds as played, and cost a tenth; the one after them does not. In the first pause more
/// changes may gather.
const READS_MS: [u64; 2] = [200, 300];

/// Those pauses together.
pub(crate) const READS_ALL_MS: u64 = READS_MS[0] + READS_MS[1];

/// Bytes from which on a configuration is read once, with the first pause: each read of half a megabyte takes
/// a link of 10 Mbit/s for half a second, and the time in which it must be in force is short.
const LARGE: usize = 64 << 10;

/// What an instance believes of the store.
#[derive(Debug)]
pub struct Informer {
    absence: Availability,
    /// When the configuration was asked for last by one that hears from others.
    asked: Time,
    bound: StalenessBound,
    /// Size of the configuration that was read last.
    bytes: usize,
    calls: BTreeMap<u64, Call>,
    configuration: StoreCalls,
    /// Words that came before earlier ones.
    early: Vec<RosterUpdate>,
    /// Upstreams that there are.
    entries: usize,
    /// How often the store is known to have come back from a copy.
    era: u64,
    /// When word was fresh last, or the store was asked, of one that hears from others.
    fresh: Time,
    /// When a word showed that a change was missed.
    gap: Option<Time>,
    /// The most that others know.
    heard: KnownState,
    /// Revision of the configuration in force.
    in_force: Option<u64>,
    /// Time in which a leaving upstream must get no more work, in milliseconds.
    leave_ms: u64,
    next_call: u64,
    outputs: Vec<Output>,
    /// Which read of a configuration that others have is next, and when.
    read: Option<(usize, Time)>,
    role: Role,
    roster: Roster,
    /// When the store is known to have served anybody: by own calls, and by word of those that watch.
    served: Availability,
    /// The last span in which the store was not away for others, as they tell, in its present era.
    steady: Option<Span>,
    /// Its place among those that watch the store for themselves.
    rank: WatcherRank,
    upstreams: StoreCalls,
    /// When one that watches for the data centre was heard last.
    word: Time,
}

impl Informer {
    /// An informer that knows nothing yet. What the store says must be known within `bound`, and a leaving upstream
    /// must get no more work within `leave_ms`.
    pub fn new(bound: StalenessBound, leave_ms: u64, absence: Availability, now: Time) -> Self {
        Self {
            absence,
            asked: now,
            bound,
            bytes: 0,
            calls: BTreeMap::new(),
            configuration: StoreCalls::default().begun(now),
            early: Vec::new(),
            entries: 0,
            era: 0,
            fresh: now,
            gap: None,
            heard: KnownState::default(),
            in_force: None,
            leave_ms,
            next_call: 0,
            outputs: Vec::new(),
            read: None,
            role: Role::Independent,
            roster: Roster::default(),
            served: absence,
            steady: None,
            rank: WatcherRank::default(),
            upstreams: StoreCalls::hurried().begun(now),
            word: now,
        }
    }

    /// What it knows.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            configuration: self.in_force,
            list: self.roster.changed,
        }
    }

    /// Takes in what happened, and what the ends of all calls showed of the store; what is to be done.
    pub fn handle(&mut self, input: Input, absence: Availability, now: Time) -> Vec<Output> {
        self.absence = absence;
        if let Some(answered) = absence
            .last_answer()
            .filter(|at| Some(*at) > self.served.last_answer())
        {
            self.served.record_success(answered);
        }
        self.enter(absence.era(), now);
        match input {
            Input::Answered(id, answer) => self.answered(id, answer, now),
            Input::Failed(id) => self.failed(id, now),
            Input::PeerReport(heard) => self.hear(heard, now),
            Input::Role(role, rank) => {
                self.rank = rank;
                self.change_role(role, now);
            }
            Input::Tick => {}
        }
        self.settle(now);
        std::mem::take(&mut self.outputs)
    }

    /// When it is to be called again, if nothing happens before.
    pub fn next_wake(&self) -> Option<Time> {
        let lines = [Topic::Configuration, Topic::Upstreams].into_iter();
        let lines = lines.filter_map(|topic| {
            let line = self.line(topic);
            if line.out.is_none() {
                return Some(self.due(topic));
            }
            let hopeless = line.hopeless(&self.absence).map(|(at, _)| at);
            hopeless.into_iter().chain(self.unconfirmed(topic)).min()
        });
        lines.chain(self.lapse()).min()
    }

    /// Whether instances that watch for themselves show each other that nothing of a topic has changed.
    fn is_confirmed(&self, topic: Topic) -> bool {
        match (topic, self.role) {
            (_, Role::Independent) | (Topic::Configuration, Role::Watcher) => true,
            // One that watches the list for others waits for a fraction of the bound.
            (Topic::Upstreams, Role::Watcher) | (_, Role::Standby | Role::Follower) => false,
        }
    }

    /// Whether this instance is the one that shows the others that nothing has changed: it is the first, or heard of
    /// none before it for long.
    fn confirms(&self, topic: Topic, now: Time) -> bool {
        let silent = self
            .line(topic)
            .told
            .after(self.bound.unconfirmed_ms(self.rank));
        self.is_confirmed(topic) && (self.rank.rank == 0 || silent <= now)
    }

    /// Until when what is known of a topic holds without being shown again.
    fn confirmed_until(&self, topic: Topic) -> Option<Time> {
        let line = self.line(topic);
        let until = line.confirmed.after(self.bound.unconfirmed_ms(self.rank));
        self.is_confirmed(topic).then_some(until)
    }

    /// When the call that waits for a change is ended since nobody has shown that there was none. A connection that
    /// says nothing any more held a word of an upstream back for 6.2 s of 2 s allowed, as seven processes showed.
    fn unconfirmed(&self, topic: Topic) -> Option<Time> {
        let waits = self.line(topic).out.is_some_and(|out| out.waits);
        self.confirmed_until(topic).filter(|_| waits)
    }

    /// When the store is to be asked of an entry that is missing, though a watch is out that waits for other changes.
    fn lapse(&self) -> Option<Time> {
        let waits = self.upstreams.out.is_some_and(|out| out.waits);
        self.roster.next_expiry().filter(|_| waits)
    }

    /// When one that hears from others asks of an entry that is missing, since those are silent about it.
    fn missed_lapse(&self) -> Option<Time> {
        Some(self.roster.next_expiry()?.after(REORDER_MS))
    }

    fn line(&self, topic: Topic) -> &StoreCalls {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Upstreams => &self.upstreams,
        }
    }

    fn line_mut(&mut self, topic: Topic) -> &mut StoreCalls {
        match topic {
            Topic::Configuration => &mut self.configuration,
            Topic::Upstreams => &mut self.upstreams,
        }
    }

    /// Whether it hears of a topic from others: what was never read is read first.
    fn follows(&self, topic: Topic) -> bool {
        let known = match topic {
            Topic::Configuration => self.in_force.is_some(),
            Topic::Upstreams => self.upstreams.position.is_some(),
        };
        self.role.follows() && known
    }

    /// Whether others have a newer configuration.
    fn lacks_configuration(&self) -> bool {
        self.heard.configuration > self.in_force
    }

    fn answered(&mut self, id: u64, answer: Answer, now: Time) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let confirms = self.line(call.topic).out.is_some_and(|out| out.confirms);
        self.line_mut(call.topic).record_success();
        match answer {
            Answer::Compacted => self.line_mut(call.topic).forget(now),
            Answer::Complete(_, position) if self.is_outdated(call, position) => {
                let line = self.line_mut(call.topic);
                line.position = None;
                line.ready = now;
                self.outputs.push(Output::Outdated(call.topic));
            }
            Answer::Complete(Content::Configuration { bytes, config }, position) => {
                self.take_configuration(call, bytes, config, position, now);
            }
            Answer::Complete(Content::Upstreams(changes), position) => {
                self.take_upstreams(call, changes, position, now);
            }
        }
        let topic = call.topic;
        let Some(to) = self.line(topic).position else {
            return;
        };
        if call.since.is_some() {
            self.line_mut(topic).remember();
        }
        self.line_mut(topic).confirmed = now;
        if confirms && self.rank.count > 1 {
            self.outputs.push(Output::Confirm(Confirmed { to, topic }));
        }
    }

    /// Whether an answer says nothing of the store as it is: it is of an earlier era, or it tells changes behind a position that
    /// the store's history does not have any more. Reads that may be old are ordered by what they bring.
    fn is_outdated(&self, call: Call, position: Position) -> bool {
        let behind = call.since.is_some_and(|since| since.era != position.era);
        call.consistency == Consistency::Linearizable && (position.era < self.era || behind)
    }

    /// The store has come back from a copy: positions of before say nothing of what is to be asked for, calls that wait for
    /// changes behind them are ended, and all is read again. A watch that went on from such a position missed what the store
    /// wrote up to it anew, and an upstream that left there was given work for 7 s and more.
    fn enter(&mut self, era: u64, now: Time) {
        if era <= self.era {
            return;
        }
        let first = self.upstreams.position.is_none() && self.configuration.position.is_none();
        self.era = era;
        if first && self.in_force.is_none() {
            return;
        }
        self.outputs.push(Output::Era(era));
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if self.line(topic).out.is_some_and(|out| out.changes) {
                self.end(topic, CancelReason::StoreRestored);
            }
            self.line_mut(topic).begin_again(now);
        }
        self.read = None;
        self.steady = None;
        self.gap = None;
        self.early.clear();
    }

    fn take_configuration(
        &mut self,
        call: Call,
        bytes: usize,
        config: Option<Arc<Config>>,
        position: Position,
        now: Time,
    ) {
        let followed = self.follows(Topic::Configuration);
        if let Some(config) = config {
            self.bytes = bytes;
            self.adopt(config);
        }
        if followed {
            // The next watch must begin with a read.
            self.configuration.position = None;
            self.read = match self.read {
                Some((step, _)) if self.lacks_configuration() && step < READS_MS.len() => {
                    let pause = READS_MS.get(step + 1).copied().unwrap_or(0);
                    Some((step + 1, now.after(pause)))
                }
                _ => None,
            };
        } else if call.consistency == Consistency::Linearizable {
            self.configuration.position = Some(position);
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    fn adopt(&mut self, config: Arc<Config>) {
        if Some(config.revision) <= self.in_force {
            return;
        }
        self.in_force = Some(config.revision);
        self.outputs.push(Output::Configuration(config));
        // A deputy may have read it since the one that watches is silent; others would hear of it a second later.
        if matches!(self.role, Role::Standby | Role::Watcher) {
            self.outputs.push(Output::AnnounceConfiguration);
        }
    }

    fn take_upstreams(
        &mut self,
        call: Call,
        mut changes: Vec<Change>,
        position: Position,
        now: Time,
    ) {
        let known = self.upstreams.position.unwrap_or_default();
        let away = self.own_away();
        let first = self.upstreams.position.is_none();
        // Before entries go by what is taken in.
        if let Some(until) = self.absence.reregistered_by(self.steady) {
            self.roster.extend_grace(until);
        }
        if call.since.is_none() {
            self.roster.replace_all(&changes, position, away, now);
        } else {
            // Others may have told some of them while the call was out.
            changes.retain(|change| change.position > known);
            self.roster.apply_changes(changes, away, now);
        }
        self.upstreams.position = Some(position.max(known));
        self.fresh = now;
        self.gap = None;
        self.early.clear();
        self.list(now);
        let tells = match self.role {
            Role::Watcher => true,
            Role::Standby => !first,
            Role::Independent | Role::Follower => false,
        };
        if tells {
            let words =
                self.roster
                    .pending_updates(position.max(known), self.absence.uptime_ms(), now);
            self.outputs
                .extend(words.into_iter().map(Output::AnnounceRoster));
        }
        if first {
            // The others know nothing of what was just read.
            self.roster.set_announced(position);
        }
        self.upstreams.ready = now.after(self.gather_ms());
    }

    /// Whether the store may have been away for all in a span that another instance tells: nobody was served meanwhile, or it was so
    /// by this instance's own account. Two absences in series are one by that, with an answer in between.
    fn shares(&self, away: Span, now: Time) -> bool {
        let own = self.own_away();
        let unanswered = self.absence.last_unanswered();
        self.served.is_shared_outage(away, now)
            || own.is_some_and(|own| self.absence.overlaps_outage(own, away))
            || unanswered.is_some_and(|at| (away.from..away.to).contains(&at))
    }

    /// When the store was away by this instance's own account, unless others tell that it was there: entries do not go for want
    /// of it then. An instance that was refused or cut off while others were served would believe an upstream that left for two
    /// seconds more, from its own first answer on.
    fn own_away(&self) -> Option<Span> {
        let away = self.absence.outage()?;
        match self.steady {
            Some(steady) => self.absence.exclude_uptime(away, steady),
            None => Some(away),
        }
    }

    /// Pause before the next watch of the list, in milliseconds.
    fn gather_ms(&self) -> u64 {
        if self.role == Role::Watcher {
            return self.bound.pause_ms();
        }
        let longest = (self.leave_ms / 2).max(GATHER_LEAST_MS);
        (GATHER_EACH_MS * self.entries as u64).clamp(GATHER_LEAST_MS, longest)
    }

    fn list(&mut self, now: Time) {
        for name in self.roster.take_new_missing() {
            let believed_ms = self.roster.grace_ms(now);
            self.outputs.push(Output::MissingEntry(name, believed_ms));
        }
        self.roster.remove_expired(now);
        let listed = self.roster.listed();
        self.entries = listed.len();
        self.outputs.push(Output::Upstreams(listed));
    }

    fn failed(&mut self, id: u64, now: Time) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.fail(call.topic, now);
    }

    fn fail(&mut self, topic: Topic, now: Time) {
        let (absence, bound) = (self.absence, self.bound);
        let urgent = topic == Topic::Configuration && self.in_force.is_none();
        self.line_mut(topic)
            .record_failure(urgent, &absence, bound, now);
        match topic {
            Topic::Configuration => self.read = None,
            Topic::Upstreams => {
                self.fresh = now;
                self.gap = None;
                self.early.clear();
            }
        }
    }

    fn hear(&mut self, heard: PeerReport, now: Time) {
        let confirmed = heard.confirmed.map(|confirmed| confirmed.to.era);
        let word = heard.update.as_ref().map(|word| word.to.era);
        let newest = confirmed.into_iter().chain(word).max();
        self.enter(newest.unwrap_or(0).max(heard.list.era), now);
        self.heard.configuration = self.heard.configuration.max(heard.configuration);
        self.heard.list = self.heard.list.max(heard.list);
        if let Some(confirmed) = heard.confirmed {
            self.hear_confirmed(confirmed, &heard, now);
        }
        let Some(word) = heard.update else {
            return;
        };
        self.word = now;
        self.hear_steady(&word, now);
        if !self.follows(Topic::Upstreams) {
            return;
        }
        let away = word.away(now);
        self.roster.is_store_down = away.is_some_and(|away| self.shares(away, now));
        if let Some(away) = away.filter(|_| self.roster.is_store_down) {
            self.roster
                .note_peer_return(away, self.absence.last_unanswered());
        }
        let known = self.upstreams.position.unwrap_or_default();
        match self.roster.apply_update(&word, known, now) {
            UpdateOutcome::Applied => {
                if away.is_none() {
                    self.served.record_success(now);
                }
                let all = self.roster.catch_up(word.to, &mut self.early, now);
                self.upstreams.position = Some(all);
                // Who told it told the others too.
                self.roster.set_announced(all);
                if self.early.is_empty() {
                    self.fresh = now;
                    self.gap = None;
                }
                self.list(now);
            }
            UpdateOutcome::Gap => {
                self.early.push(word);
                self.gap.get_or_insert(now);
            }
            UpdateOutcome::Stale => {}
        }
    }

    /// Takes in for how long the store had not been away for another instance when it answered that one.
    fn hear_steady(&mut self, word: &RosterUpdate, now: Time) {
        if word.uptime_ms == 0 || word.to.era < self.era {
            return;
        }
        let mut steady = Span {
            from: now.before(word.uptime_ms),
            to: now,
        };
        if let Some(before) = self.steady.filter(|before| before.to >= steady.from) {
            steady.from = steady.from.min(before.from);
        }
        self.steady = Some(steady);
        if self.role.follows() {
            self.roster.shorten_outage(steady, &self.absence, now);
        }
    }

    /// Takes in what the store has just shown another instance, unless more was known here before.
    fn hear_confirmed(&mut self, confirmed: Confirmed, heard: &PeerReport, now: Time) {
        let topic = confirmed.topic;
        let (newest, same) = match topic {
            Topic::Configuration => (
                heard.configuration >= self.in_force,
                heard.configuration == self.in_force,
            ),
            Topic::Upstreams => (
                confirmed.to >= self.roster.changed,
                Some(heard.list) <= self.upstreams.position,
            ),
        };
        if !newest {
            return;
        }
        let line = self.line_mut(topic);
        line.told = now;
        if same {
            line.confirmed = now;
        }
    }

    fn change_role(&mut self, role: Role, now: Time) {
        if role == self.role {
            return;
        }
        let followed = self.role.follows();
        self.role = role;
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if self.line(topic).out.is_some_and(|out| out.changes) {
                self.end(topic, CancelReason::RoleChanged);
            }
        }
        if followed && !role.follows() {
            self.configuration.position = None;
        }
        if !followed {
            self.asked = now;
            self.fresh = now;
        }
        self.read = None;
        self.gap = None;
        self.early.clear();
    }

    /// Ends the call of a topic that is out.
    fn end(&mut self, topic: Topic, why: CancelReason) {
        let Some(out) = self.line_mut(topic).out.take() else {
            return;
        };
        if let Some(call) = self.calls.remove(&out.id) {
            self.outputs.push(Output::Cancel(call, why));
        }
    }

    /// Does what is due.
    fn settle(&mut self, now: Time) {
        if self.lapse().is_some_and(|lapse| lapse <= now) {
            // What is missing is given up by what the store says, and not by the clock.
            self.end(Topic::Upstreams, CancelReason::EntryExpired);
            self.upstreams.answered = false;
        }
        let more = self.lacks_configuration() && !self.follows(Topic::Configuration);
        self.configuration.compare(more, now);
        let more = Some(self.heard.list) > self.upstreams.position;
        self.upstreams.compare(more, now);
        if self.follows(Topic::Configuration) && self.lacks_configuration() && self.read.is_none() {
            let at = self.configuration.next_call_at(&self.absence).max(now);
            self.read = Some((0, at.after(READS_MS[0])));
        }
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if self.unconfirmed(topic).is_some_and(|at| at <= now) {
                self.end(topic, CancelReason::Unconfirmed);
                self.line_mut(topic).answered = false;
            }
            if let Some((at, why)) = self.line(topic).hopeless(&self.absence)
                && at <= now
            {
                self.end(topic, why);
                self.fail(topic, now);
                if topic == Topic::Configuration && why == CancelReason::PeersAhead {
                    // A read brings the newest whatever became of the watch.
                    self.configuration.position = None;
                }
            }
            if self.line(topic).out.is_none() && self.due(topic) <= now {
                self.ask(topic, now);
            }
        }
    }

    /// When the next call of a topic is due, if none is out.
    fn due(&self, topic: Topic) -> Time {
        let may = self.line(topic).next_call_at(&self.absence);
        if !self.follows(topic) {
            return match topic {
                Topic::Configuration => may,
                // Changes gather no longer than entries that are missing are believed.
                Topic::Upstreams if self.upstreams.has_failed() => may,
                Topic::Upstreams => self
                    .roster
                    .next_expiry()
                    .map_or(may, |lapse| may.min(lapse)),
            };
        }
        let silence = self.bound.silence_ms(self.role);
        let wanted = match topic {
            Topic::Configuration => match self.read {
                Some((_, at)) => at,
                None => self.word.max(self.asked).after(silence),
            },
            Topic::Upstreams => {
                let silent = self.fresh.after(silence);
                let missed = self.gap.map(|gap| gap.after(REORDER_MS));
                let sooner = missed.into_iter().chain(self.missed_lapse());
                sooner.fold(silent, Time::min)
            }
        };
        wanted.max(may)
    }

    /// Wait of the instance that shows the others that nothing has changed, in milliseconds: with the pause before it
    /// the time between two such calls.
    fn confirm_wait_ms(&self, topic: Topic) -> u64 {
        let pause = match topic {
            Topic::Configuration => 0,
            Topic::Upstreams => self.gather_ms(),
        };
        let wait = self.bound.confirm_ms().saturating_sub(pause);
        wait.max(WAIT_LEAST_MS)
    }

    fn ask(&mut self, topic: Topic, now: Time) {
        let line = self.line(topic);
        let follows = self.follows(topic);
        let since = match topic {
            Topic::Configuration if follows => None,
            Topic::Configuration | Topic::Upstreams => line.position,
        };
        // Behind a call that was not answered no change is waited for: one that a silent store takes is never answered.
        let missing = topic == Topic::Upstreams
            && self.roster.next_expiry().is_some_and(|lapse| lapse <= now);
        let doubtful = self
            .confirmed_until(topic)
            .is_some_and(|until| until <= now);
        let waits = since.is_some() && line.answered && !follows && !missing && !doubtful;
        let confirms = self.confirms(topic, now);
        let wait_ms = match (topic, self.role) {
            _ if !waits => 0,
            _ if confirms => self.confirm_wait_ms(topic),
            (Topic::Configuration, _) | (Topic::Upstreams, Role::Independent) => WAIT_MS,
            // The others are to hear at least that nothing has changed.
            (Topic::Upstreams, Role::Standby | Role::Follower | Role::Watcher) => {
                self.bound.wait_ms()
            }
        };
        let consistency = match (topic, self.read) {
            (Topic::Configuration, Some((step, _)))
                if follows && step < READS_MS.len() && self.bytes < LARGE =>
            {
                Consistency::Serializable
            }
            _ => Consistency::Linearizable,
        };
        let call = Call {
            consistency,
            id: self.next_call,
            is_retry: line.has_failed(),
            since,
            timeout_ms: line.timeout_ms,
            topic,
            wait_ms,
        };
        self.next_call += 1;
        if follows {
            match topic {
                Topic::Configuration => self.asked = now,
                Topic::Upstreams => {
                    let known = self.upstreams.position.unwrap_or_default();
                    self.roster.set_announced(known);
                }
            }
        }
        let out = store_calls::Out {
            began: now,
            confirms,
            id: call.id,
            changes: since.is_some(),
            waits: wait_ms > 0,
        };
        self.line_mut(topic).out = Some(out);
        self.calls.insert(call.id, call);
        self.outputs.push(Output::Call(call));
    }
}
