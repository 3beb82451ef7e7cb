//! The configuration in force: accepted by compare-and-swap of its head, spread by watches and
//! heartbeats, never going to a lower revision.

use super::*;
use std::collections::hash_map::Entry;

/// Key of the head.
const HEAD: &str = "wellplank/head";

/// Changes that a head remembers.
const CHANGES: usize = 16;

/// Instances per data centre that keep a watch.
const WATCHERS: usize = 2;

/// Time between two tries to watch.
const RETRY: Duration = Duration::from_millis(500);

/// Time after which the head is read though nothing was heard.
const POLL: Duration = Duration::from_secs(10);

/// Tries to settle a change whose answer was lost.
const TRIES: usize = 20;

/// The configuration that an instance holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// What operators declared.
    pub declaration: schema::Declaration,
    /// Its head.
    pub head: Head,
    /// Its encoded parts by their digests.
    pub parts: Arc<HashMap<Vec<u8>, Bytes>>,
}

/// What the task is told.
#[derive(Debug)]
pub(crate) enum Order {
    /// An operator's change.
    Apply(
        schema::ApplyRequest,
        oneshot::Sender<Result<schema::ApplyReply, Error>>,
    ),
    /// A head, by a watch or a peer.
    Head(Head),
    /// Read the head.
    Read,
}

/// What the task owns.
pub(crate) struct Task {
    /// The clock of the instance.
    pub clock: Clock,
    /// The core task.
    pub driver: Driver,
    /// Where the configuration is held.
    pub held: watch::Sender<Held>,
    /// The platform's list.
    pub list: watch::Receiver<Vec<list::Line>>,
    /// The key-value service.
    pub store: Store,
}

impl Task {
    /// Serves orders until the instance ends.
    pub async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Apply(request, sender) => {
                    let reply = self.apply(request).await;
                    let _ = sender.send(reply);
                }
                Order::Head(head) => self.take(head).await,
                Order::Read => {
                    if let Ok(Some(entry)) = self.store.get(HEAD).await
                        && let Ok(head) = decode(&entry.value)
                    {
                        self.take(head).await;
                    }
                }
            }
        }
    }

    async fn take(&mut self, head: Head) {
        if let Err(error) = self.adopt(head).await {
            warn!("configuration: {error}");
        }
    }

    /// Takes a head into force if it is newer than the one held.
    async fn adopt(&mut self, head: Head) -> Result<(), Error> {
        let current = self.held.borrow().head.revision;
        if head.revision <= current {
            return Ok(());
        }
        let parts = self.gather(&head).await?;
        let declarations: Vec<schema::Declaration> = head
            .parts
            .iter()
            .filter_map(|part| schema::Declaration::decode(parts.get(&part.digest)?.clone()).ok())
            .collect();
        if declarations.len() != head.parts.len() {
            return Err(Error::Store("a part is no declaration".into()));
        }
        let declaration = declaration::join(declarations.iter());
        let config = declaration::compile(&declaration, head.revision);
        self.driver.send_event(Event::Config(Arc::new(config)));
        let revision = head.revision;
        self.held.send_replace(Held {
            declaration,
            head,
            parts: Arc::new(parts),
        });
        info!(revision; "configuration in force");
        Ok(())
    }

    /// The parts of a head: those held, then those that peers have, then the rest from the
    /// key-value service, which may be down.
    async fn gather(&self, head: &Head) -> Result<HashMap<Vec<u8>, Bytes>, Error> {
        let held = self.held.borrow().parts.clone();
        let mut parts = HashMap::new();
        let mut missing = Vec::new();
        for part in &head.parts {
            match held.get(&part.digest) {
                Some(bytes) => {
                    parts.insert(part.digest.clone(), bytes.clone());
                }
                None => missing.push(part.digest.clone()),
            }
        }
        if !missing.is_empty() {
            let list = self.list.borrow().clone();
            for bytes in peer::fetch_parts(&list, &missing).await {
                parts.insert(blake3::hash(&bytes).as_bytes().to_vec(), bytes);
            }
        }
        for digest in missing {
            if let Entry::Vacant(entry) = parts.entry(digest) {
                let bytes = self.fetch(entry.key()).await?;
                entry.insert(bytes);
            }
        }
        Ok(parts)
    }

    /// Accepts a change: writes its parts, then swaps the head.
    async fn apply(&mut self, request: schema::ApplyRequest) -> Result<schema::ApplyReply, Error> {
        let declaration = request.declaration.unwrap_or_default();
        let faults = declaration::check(&declaration);
        if !faults.is_empty() || request.dry_run {
            let revision = self.held.borrow().head.revision;
            return Ok(schema::ApplyReply {
                faults,
                revision,
                ..Default::default()
            });
        }
        let change = peers::Change {
            id: request.change,
            note: request.note,
            ..Default::default()
        };
        for _ in 0..TRIES {
            let tried = self
                .accept(&declaration, request.expect_revision, &change)
                .await;
            match tried {
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
                Err(error) => {
                    warn!("apply: {error}");
                    sleep(RETRY).await;
                }
            }
        }
        Err(Error::Store(
            "the change may or may not be accepted; apply it again".into(),
        ))
    }

    /// One try to accept a change; `None` if another one came in between and any may win.
    async fn accept(
        &mut self,
        declaration: &schema::Declaration,
        expected: Option<u64>,
        change: &peers::Change,
    ) -> Result<Option<schema::ApplyReply>, Error> {
        let parts = self.write_parts(declaration).await?;
        self.swap(&parts, expected, change).await
    }

    async fn fetch(&self, digest: &[u8]) -> Result<Bytes, Error> {
        let key = part_key(digest);
        let entry = self.store.get(&key).await?;
        let entry = entry.ok_or_else(|| Error::Store(format!("{key} is missing")))?;
        if blake3::hash(&entry.value).as_bytes() != digest {
            return Err(Error::Store(format!("{key} has another digest")));
        }
        Ok(entry.value.into())
    }

    /// One try to swap the head; `None` if another change came in between and any may win.
    async fn swap(
        &mut self,
        parts: &[peers::Part],
        expected: Option<u64>,
        change: &peers::Change,
    ) -> Result<Option<schema::ApplyReply>, Error> {
        let entry = self.store.get(HEAD).await?;
        let head = match &entry {
            None => Head::default(),
            Some(entry) => decode(&entry.value)?,
        };
        let reply = |revision, conflict| schema::ApplyReply {
            conflict,
            revision,
            ..Default::default()
        };
        if head.changes.iter().any(|other| other.id == change.id) {
            let revision = head.revision;
            self.adopt(head).await?;
            return Ok(Some(reply(revision, false)));
        }
        if expected.is_some_and(|expected| expected != head.revision) {
            return Ok(Some(reply(head.revision, true)));
        }
        let mut next = Head {
            changes: head.changes,
            parts: parts.to_vec(),
            revision: head.revision + 1,
        };
        next.changes.push(peers::Change {
            revision: next.revision,
            time_ms: self.clock.now().0,
            ..change.clone()
        });
        let surplus = next.changes.len().saturating_sub(CHANGES);
        next.changes.drain(..surplus);
        let write = store::Write {
            expected: entry.map_or(0, |entry| entry.revision),
            key: HEAD,
            lease: 0,
            value: &next.encode_to_vec(),
        };
        if let store::Swap::Lost(_) = self.store.swap(write).await? {
            return Ok(None);
        }
        let revision = next.revision;
        self.adopt(next).await?;
        Ok(Some(reply(revision, false)))
    }

    async fn write_parts(
        &mut self,
        declaration: &schema::Declaration,
    ) -> Result<Vec<peers::Part>, Error> {
        let mut parts = Vec::new();
        for part in declaration::split(declaration) {
            let value = part.encode_to_vec();
            let digest = blake3::hash(&value).as_bytes().to_vec();
            if !self.held.borrow().parts.contains_key(&digest) {
                let write = store::Write {
                    expected: 0,
                    key: &part_key(&digest),
                    lease: 0,
                    value: &value,
                };
                self.store.swap(write).await?;
            }
            parts.push(peers::Part { digest });
        }
        Ok(parts)
    }
}

/// Keeps a watch on the head if this instance is one of the few that do, and has the head read now
/// and then in any case.
pub(crate) async fn watch(
    settings: Settings,
    store: Store,
    mut list: watch::Receiver<Vec<list::Line>>,
    orders: mpsc::UnboundedSender<Order>,
    held: watch::Receiver<Held>,
) {
    loop {
        if watches(&settings, &list.borrow()) {
            // A change before the watch began is found by the read when it has begun.
            let seen = store.watch(HEAD, |seen| match seen {
                store::Seen::Changed(entry) => hand_on(&orders, &entry),
                store::Seen::Created => {
                    let _ = orders.send(Order::Read);
                }
            });
            tokio::select! {
                _ = timeout(POLL, seen) => {}
                _ = list.wait_for(|list| !watches(&settings, list)) => {}
            }
            sleep(RETRY).await;
        } else {
            let _ = orders.send(Order::Read);
            let known = held.borrow().head.revision > 0;
            tokio::select! {
                () = sleep(if known { POLL } else { RETRY }) => {}
                _ = list.wait_for(|list| watches(&settings, list)) => {}
            }
        }
    }
}

fn decode(value: &[u8]) -> Result<Head, Error> {
    Head::decode(value).map_err(|error| Error::Store(error.to_string()))
}

fn hand_on(orders: &mpsc::UnboundedSender<Order>, entry: &store::Entry) {
    match decode(&entry.value) {
        Ok(head) => {
            let _ = orders.send(Order::Head(head));
        }
        Err(error) => warn!("head: {error}"),
    }
}

fn part_key(digest: &[u8]) -> String {
    let digest = digest
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"));
    format!("wellplank/part/{digest}")
}

/// Whether this instance is one of those that watch for its data centre; not before it is listed.
fn watches(settings: &Settings, list: &[list::Line]) -> bool {
    let mut names: Vec<&str> = list
        .iter()
        .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL && !line.leaving)
        .filter(|line| line.data_centre == settings.data_centre)
        .map(|line| line.instance.as_str())
        .collect();
    names.sort_by_key(|name| upstream::id(name));
    names
        .iter()
        .position(|name| *name == settings.instance)
        .is_some_and(|rank| rank < WATCHERS)
}
