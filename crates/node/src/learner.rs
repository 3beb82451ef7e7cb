//! The task that learns the configuration and the list of upstreams from the platform's store: it makes the calls
//! that the core's informer wants, and hands on what these bring.

use super::*;
use feed::{Client, Log};
use members::{Members, Own};
use platform::store::{Change, Item};
use tokio::task::AbortHandle;
use wellplank_core::{
    informer::Informer,
    informer_io::{
        Answer, Call, CancelReason, Content, Input, KnownState, Output, PeerReport, Topic,
    },
    roster::{self, Entry},
    staleness::StalenessBound,
};

/// The longest time between two looks at what is due, though nothing is.
const LOOK: Duration = Duration::from_mins(1);

/// Characters of what is wrong with an entry that a log line has, at most.
const ODD_TEXT: usize = 200;

/// What the task needs.
pub(crate) struct Learner {
    /// Time within which what the store says must be known.
    pub bound: StalenessBound,
    /// Client of the store.
    pub client: Client,
    /// Clock of the instance.
    pub clock: Clock,
    /// The core task.
    pub driver: Driver,
    /// What this instance knows.
    pub known: watch::Sender<KnownState>,
    /// Time in which a leaving upstream must get no more work, in milliseconds.
    pub leave_ms: u64,
    /// Limits on what callers send.
    pub limits: watch::Sender<platform::configuration::Limits>,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: Own,
    /// Where other instances are told.
    pub told: mpsc::UnboundedSender<gossip::Told>,
}

/// What a call brought.
enum Brought {
    /// All that there is, up to a position.
    All(Vec<Item>, Position),
    /// Changes, up to a position.
    Changes(Vec<Change>, Position),
    /// The changes are forgotten.
    Nothing,
}

/// The end of a call.
struct Ended {
    brought: Result<Brought, Error>,
    call: Call,
}

/// What the task keeps.
struct Task {
    calls: HashMap<u64, AbortHandle>,
    ends: mpsc::UnboundedSender<Ended>,
    informer: Informer,
    learner: Learner,
    /// The configuration that was read last: what callers may send, and its revision in the store.
    limits: (platform::configuration::Limits, u64),
    logs: [Log; 2],
}

impl Learner {
    /// What this instance does among the others.
    fn role(&self, members: &Members) -> Input {
        Input::Role(self.own.role(members), self.own.turn(members))
    }

    /// Serves for ever; `heard` is what other instances let this one know.
    pub async fn run(self, mut heard: mpsc::UnboundedReceiver<PeerReport>) {
        let (ends, mut ended) = mpsc::unbounded_channel();
        let mut absence = self.client.absence();
        let mut members = self.members.clone();
        let now = self.clock.now();
        let informer = Informer::new(self.bound, self.leave_ms, *absence.borrow(), now);
        let mut task = Task {
            calls: HashMap::new(),
            ends,
            informer,
            limits: Default::default(),
            logs: [Topic::Configuration, Topic::Upstreams]
                .map(|topic| Log::new(what(topic), self.clock)),
            learner: self,
        };
        let input = task.learner.role(&members.borrow_and_update());
        task.take(input, *absence.borrow());
        loop {
            let left = task.left();
            let input = tokio::select! {
                Some(ended) = ended.recv() => task.end(ended),
                Some(heard) = heard.recv() => task.hear(heard),
                Ok(()) = members.changed() => task.learner.role(&members.borrow_and_update()),
                Ok(()) = absence.changed() => Input::Tick,
                () = sleep(left) => Input::Tick,
            };
            let absence = *absence.borrow_and_update();
            task.take(input, absence);
        }
    }
}

impl Task {
    /// Time until something is due.
    fn left(&self) -> Duration {
        let now = self.learner.clock.now();
        let left = self.informer.next_wake().map(|wake| wake.since(now));
        left.map_or(LOOK, Duration::from_millis).min(LOOK)
    }

    /// What the informer takes in of what another instance let this one know.
    fn hear(&self, heard: PeerReport) -> Input {
        if heard.confirmed.is_some() {
            self.learner.client.witness();
        }
        Input::PeerReport(heard)
    }

    /// Has the informer take in what happened, and does what it wants.
    fn take(&mut self, input: Input, absence: Availability) {
        let now = self.learner.clock.now();
        let outputs = self.informer.handle(input, absence, now);
        // First, since what is told of it to others goes with what is known.
        let known = self.informer.known_state();
        self.learner.known.send_if_modified(|before| {
            let changed = *before != known;
            *before = known;
            changed
        });
        for output in outputs {
            self.perform(output, now);
        }
    }

    fn perform(&mut self, output: Output, now: Time) {
        match output {
            Output::Call(call) => self.ask(call),
            Output::Configuration(config) => {
                let (revision, routes) = (config.revision, config.routes.len());
                let (limits, store_revision) = self.limits;
                info!(revision, routes, store_revision; "configuration in force");
                self.learner.driver.send_event(Event::Config(config));
                self.learner.limits.send_replace(limits);
            }
            // The task that tells ends only with the instance.
            Output::Confirm(confirmed) => {
                drop(self.learner.told.send(gossip::Told::Confirmed(confirmed)));
            }
            Output::Cancel(call, why) => self.drop(call, why),
            Output::Era(era) => {
                info!(era; "what is known of the store is read again: it came back from an older copy");
            }
            Output::Outdated(topic) => {
                self.learner.driver.count(Counter::StoreOutdated);
                debug!("{} of an earlier era of the store is dropped", what(topic));
            }
            Output::MissingEntry(upstream, believed_ms) => {
                info!(believed_ms, upstream; "an entry that is missing may have lapsed");
            }
            // The task that tells ends only with the instance.
            Output::AnnounceRoster(word) => {
                drop(self.learner.told.send(gossip::Told::Roster(word)));
            }
            Output::AnnounceConfiguration => {
                drop(self.learner.told.send(gossip::Told::Configuration));
            }
            Output::Upstreams(listed) => {
                let listed = Some(listed);
                self.learner.driver.send_event(Event::List {
                    requested_at: now,
                    entries: listed,
                });
            }
        }
    }

    fn ask(&mut self, call: Call) {
        if call.is_retry {
            let Call {
                timeout_ms: patience_ms,
                ..
            } = call;
            let since = call.since.map(|since| since.to_string());
            info!(patience_ms, since; "asking the store again for {}", what(call.topic));
        }
        let client = self.learner.client.clone();
        let ends = self.ends.clone();
        let asking = tokio::spawn(async move {
            let brought = make(&client, call).await;
            // The task that hears of it ends only with the instance.
            let _ = ends.send(Ended { brought, call });
        });
        self.calls.insert(call.id, asking.abort_handle());
    }

    /// Ends a call that is out.
    fn drop(&mut self, call: Call, why: CancelReason) {
        if let Some(asking) = self.calls.remove(&call.id) {
            asking.abort();
        }
        let error = match why {
            CancelReason::PeersAhead => Some("other instances know more"),
            CancelReason::Stalled => Some("it answers other calls again"),
            CancelReason::Unconfirmed => None,
            CancelReason::EntryExpired
            | CancelReason::StoreRestored
            | CancelReason::RoleChanged => return,
        };
        self.learner.client.renew();
        if let Some(error) = error {
            self.log(call.topic).bad(&Error::Store(error.into()));
        } else {
            let since = call.since.map(|since| since.to_string());
            info!(since; "nothing was shown of {} for long: asking on a new connection", what(call.topic));
        }
    }

    fn log(&mut self, topic: Topic) -> &mut Log {
        match topic {
            Topic::Configuration => &mut self.logs[0],
            Topic::Upstreams => &mut self.logs[1],
        }
    }

    /// What the end of a call means to the informer.
    fn end(&mut self, ended: Ended) -> Input {
        let Ended { brought, call } = ended;
        if self.calls.remove(&call.id).is_none() {
            // It ended while it was being dropped.
            return Input::Tick;
        }
        let brought = match brought {
            Ok(brought) => brought,
            Err(error) => {
                self.log(call.topic).bad(&error);
                return Input::Failed(call.id);
            }
        };
        self.log(call.topic).good();
        let (changes, position) = match brought {
            Brought::All(items, position) => {
                (items.into_iter().map(Change::Written).collect(), position)
            }
            Brought::Changes(changes, position) => (changes, position),
            Brought::Nothing => {
                let since = call.since.map(|since| since.to_string());
                info!(since; "the store has forgotten the changes of {}", what(call.topic));
                return Input::Answered(call.id, Answer::Compacted);
            }
        };
        let content = match call.topic {
            Topic::Configuration => self.configuration(changes),
            Topic::Upstreams => {
                let changes = changes
                    .iter()
                    .map(|change| self.change(change, position.era));
                Content::Upstreams(changes.collect())
            }
        };
        Input::Answered(call.id, Answer::Complete(content, position))
    }

    /// A change of the list in an era as the core takes it.
    fn change(&self, change: &Change, era: u64) -> roster::Change {
        let (entry, key, revision) = match change {
            Change::Removed { key, revision } => (Entry::Deleted, key, *revision),
            Change::Written(item) => (self.entry(item, era), &item.key, item.revision),
        };
        roster::Change {
            entry,
            name: platform::upstream::name(key).into(),
            position: Position::new(era, revision),
        }
    }

    /// What an entry that was written in an era says.
    fn entry(&self, item: &Item, era: u64) -> Entry {
        match platform::upstream::decode(item, era) {
            Ok(listed) => Entry::Listed(listed),
            Err(error) => {
                let reason = error.reason();
                warn!(reason; "an entry names no upstream to use: {}", shortened(&error));
                self.learner.driver.count(Counter::EntryInvalid(reason));
                Entry::Invalid
            }
        }
    }

    /// The newest configuration in what was seen.
    fn configuration(&mut self, changes: Vec<Change>) -> Content {
        let newest = changes.into_iter().rev().find_map(|change| match change {
            Change::Written(item) if item.key == platform::configuration::KEY => Some(item),
            Change::Removed { .. } | Change::Written(_) => None,
        });
        let Some(item) = newest else {
            return Content::Configuration {
                bytes: 0,
                config: None,
            };
        };
        let bytes = item.value.as_ref().map_or(0, Vec::len);
        let decoded = item.bytes().and_then(platform::configuration::decode);
        let config = match decoded {
            Ok(decoded) => {
                self.limits = (decoded.limits, item.revision);
                Some(Arc::new(decoded.config))
            }
            Err(error) => {
                error!("the configuration in force stays: {error}");
                None
            }
        };
        Content::Configuration { bytes, config }
    }
}

/// Makes a call.
async fn make(client: &Client, call: Call) -> Result<Brought, Error> {
    let prefix = match call.topic {
        Topic::Configuration => platform::configuration::KEY,
        Topic::Upstreams => platform::upstream::PREFIX,
    };
    let patience = Duration::from_millis(call.timeout_ms);
    let Some(since) = call.since else {
        let (items, position) = client.items(prefix, patience, call.consistency).await?;
        return Ok(Brought::All(items, position));
    };
    let wait = Duration::from_millis(call.wait_ms);
    let seen = client
        .changes(prefix, since.revision, wait, patience)
        .await?;
    Ok(seen.map_or(Brought::Nothing, |(seen, position)| {
        Brought::Changes(seen.changes, position)
    }))
}

/// The text of an error, which may quote what another writer wrote.
fn shortened(error: &platform::Error) -> String {
    error.to_string().chars().take(ODD_TEXT).collect()
}

/// A topic as logs name it.
fn what(topic: Topic) -> &'static str {
    match topic {
        Topic::Configuration => "configuration",
        Topic::Upstreams => "upstreams",
    }
}
