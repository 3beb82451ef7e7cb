//! The configuration in force. It is stored as immutable parts under their digests and a head, which holds the revision
//! and lists the parts. A change is accepted by compare-and-swap of the head and propagates by watches and heartbeats; the
//! revision in force never decreases.

use super::*;
use std::collections::hash_map::Entry;

/// Key of the head in the key-value service.
const HEAD_KEY: &str = "wellplank/head";

/// Maximum number of changes listed in a head.
const CHANGES_MAX: usize = 16;

/// Number of instances per data centre that watch the head.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Time between two attempts to watch the head, to read it while there is no configuration, or to apply a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the head is read even if no change was reported.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of attempts to apply a change. An attempt also finds out whether an earlier one whose response was lost
/// was accepted: the head then lists the change.
const APPLY_ATTEMPTS: usize = 20;

/// The configuration in force at an instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveConfig {
    /// The declaration, joined from all parts.
    pub declaration: schema::Declaration,
    /// Its head; revision 0 before there is a configuration.
    pub head: Head,
    /// Its encoded parts by digest.
    pub parts: Arc<HashMap<Vec<u8>, Bytes>>,
}

/// A command to the configuration task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Apply an operator's change.
    Apply(
        schema::ApplyRequest,
        oneshot::Sender<Result<schema::ApplyReply, Error>>,
    ),
    /// Put a head from a watch or a peer in force, if it is newer.
    Head(Head),
    /// Read the head from the key-value service.
    Read,
}

/// The task that applies changes and puts new revisions in force.
pub(crate) struct Task {
    /// Publishes the configuration in force.
    pub active_config: watch::Sender<ActiveConfig>,
    /// The clock of the instance.
    pub clock: Clock,
    /// Handle for sending events to the core task.
    pub driver: Driver,
    /// The platform's list of instances.
    pub list: watch::Receiver<Vec<instance_list::ListedInstance>>,
    /// The key-value service.
    pub store: Store,
}

impl Task {
    /// Handles commands until the instance stops.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Apply(request, sender) => {
                    let reply = self.apply(request).await;
                    let _ = sender.send(reply);
                }
                Command::Head(head) => self.adopt_or_warn(head).await,
                Command::Read => {
                    if let Ok(Some(entry)) = self.store.get(HEAD_KEY).await
                        && let Ok(head) = decode(&entry.value)
                    {
                        self.adopt_or_warn(head).await;
                    }
                }
            }
        }
    }

    async fn adopt_or_warn(&mut self, head: Head) {
        if let Err(error) = self.adopt(head).await {
            warn!("putting a configuration in force: {error}");
        }
    }

    /// Puts a head in force if it is newer than the current one.
    async fn adopt(&mut self, head: Head) -> Result<(), Error> {
        let current = self.active_config.borrow().head.revision;
        if head.revision <= current {
            return Ok(());
        }
        let parts = self.collect_parts(&head).await?;
        let declarations: Vec<schema::Declaration> = head
            .parts
            .iter()
            .filter_map(|part| schema::Declaration::decode(parts.get(&part.digest)?.clone()).ok())
            .collect();
        if declarations.len() != head.parts.len() {
            return Err(Error::Store(
                "a part of the configuration is malformed".into(),
            ));
        }
        let declaration = declaration::join(declarations.iter());
        let config = declaration::compile(&declaration, head.revision);
        self.driver.send_event(Event::Config(Arc::new(config)));
        let revision = head.revision;
        self.active_config.send_replace(ActiveConfig {
            declaration,
            head,
            parts: Arc::new(parts),
        });
        info!(revision; "configuration in force");
        Ok(())
    }

    /// Collects the parts of a head: those held here, then those of peers, and only the rest from the
    /// key-value service, which may be down.
    async fn collect_parts(&self, head: &Head) -> Result<HashMap<Vec<u8>, Bytes>, Error> {
        let local = self.active_config.borrow().parts.clone();
        let mut parts = HashMap::new();
        let mut missing = Vec::new();
        for part in &head.parts {
            match local.get(&part.digest) {
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
                let bytes = self.read_part(entry.key()).await?;
                entry.insert(bytes);
            }
        }
        Ok(parts)
    }

    /// Applies a change: writes its parts, then swaps the head.
    async fn apply(&mut self, request: schema::ApplyRequest) -> Result<schema::ApplyReply, Error> {
        let faults = request.declaration.as_ref();
        let faults = faults.map_or_else(|| vec![declaration::missing()], declaration::check);
        let declaration = request.declaration.unwrap_or_default();
        if !faults.is_empty() || request.dry_run {
            let revision = self.active_config.borrow().head.revision;
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
        for _ in 0..APPLY_ATTEMPTS {
            let attempt = self
                .try_apply(&declaration, request.expect_revision, &change)
                .await;
            match attempt {
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
                Err(error) => {
                    warn!("applying a change: {error}");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
        Err(Error::Store(
            "the change may or may not be accepted; apply it again".into(),
        ))
    }

    /// One attempt to apply a change; `None` if another one came first and it is to be repeated.
    async fn try_apply(
        &mut self,
        declaration: &schema::Declaration,
        expected: Option<u64>,
        change: &peers::Change,
    ) -> Result<Option<schema::ApplyReply>, Error> {
        let parts = self.write_parts(declaration).await?;
        self.swap_head(&parts, expected, change).await
    }

    async fn read_part(&self, digest: &[u8]) -> Result<Bytes, Error> {
        let key = part_key(digest);
        let entry = self.store.get(&key).await?;
        let entry = entry.ok_or_else(|| Error::Store(format!("{key} is missing")))?;
        if blake3::hash(&entry.value).as_bytes() != digest {
            return Err(Error::Store(format!("{key} does not match its digest")));
        }
        Ok(entry.value.into())
    }

    /// One attempt to swap the head; `None` if another change came first. Replies with a conflict if
    /// the head does not have the expected revision.
    async fn swap_head(
        &mut self,
        parts: &[peers::Part],
        expected: Option<u64>,
        change: &peers::Change,
    ) -> Result<Option<schema::ApplyReply>, Error> {
        let entry = self.store.get(HEAD_KEY).await?;
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
            // An earlier attempt was accepted, but its response was lost or putting it in force failed.
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
            revision: head.revision.saturating_add(1),
        };
        next.changes.push(peers::Change {
            revision: next.revision,
            time_ms: self.clock.now().0,
            ..change.clone()
        });
        let surplus = next.changes.len().saturating_sub(CHANGES_MAX);
        next.changes.drain(..surplus);
        let write = store::Write {
            expected: entry.map_or(0, |entry| entry.revision),
            key: HEAD_KEY,
            lease: 0,
            value: &next.encode_to_vec(),
        };
        if let store::SwapOutcome::Conflict(_) = self.store.swap(write).await? {
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
            if !self.active_config.borrow().parts.contains_key(&digest) {
                let write = store::Write {
                    expected: 0,
                    key: &part_key(&digest),
                    lease: 0,
                    value: &value,
                };
                // A conflict means that the same part is already stored: its key is its digest.
                self.store.swap(write).await?;
            }
            parts.push(peers::Part { digest });
        }
        Ok(parts)
    }
}

/// Watches the head if this instance is one of the few that do; reads it periodically in any case.
pub(crate) async fn watch_head(
    settings: Settings,
    store: Store,
    mut list: watch::Receiver<Vec<instance_list::ListedInstance>>,
    commands: mpsc::UnboundedSender<Command>,
    active_config: watch::Receiver<ActiveConfig>,
) {
    loop {
        if is_watcher(&settings, &list.borrow()) {
            // The read after the watch was created finds changes made before it.
            let watch = store.watch(HEAD_KEY, |event| match event {
                store::WatchEvent::Changed(entry) => forward_head(&commands, &entry),
                store::WatchEvent::Created => {
                    let _ = commands.send(Command::Read);
                }
            });
            tokio::select! {
                _ = timeout(POLL_INTERVAL, watch) => {}
                _ = list.wait_for(|list| !is_watcher(&settings, list)) => {}
            }
            sleep(RETRY_INTERVAL).await;
        } else {
            let _ = commands.send(Command::Read);
            let has_config = active_config.borrow().head.revision > 0;
            tokio::select! {
                () = sleep(if has_config { POLL_INTERVAL } else { RETRY_INTERVAL }) => {}
                _ = list.wait_for(|list| is_watcher(&settings, list)) => {}
            }
        }
    }
}

fn decode(value: &[u8]) -> Result<Head, Error> {
    Head::decode(value).map_err(|error| Error::Store(error.to_string()))
}

fn forward_head(commands: &mpsc::UnboundedSender<Command>, entry: &store::Entry) {
    match decode(&entry.value) {
        Ok(head) => {
            let _ = commands.send(Command::Head(head));
        }
        Err(error) => warn!("malformed head of the configuration: {error}"),
    }
}

fn part_key(digest: &[u8]) -> String {
    let digest = digest
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"));
    format!("wellplank/part/{digest}")
}

/// Whether this instance watches the head for its data centre; never before it is listed. The watchers are those whose
/// names have the lowest hashes, so instances with the same list agree on them.
fn is_watcher(settings: &Settings, list: &[instance_list::ListedInstance]) -> bool {
    let mut names: Vec<&str> = list
        .iter()
        .filter(|listed| listed.pool == wellplank_core::core::INSTANCE_POOL && !listed.leaving)
        .filter(|listed| listed.data_centre == settings.data_centre)
        .map(|listed| listed.instance.as_str())
        .collect();
    names.sort_by_key(|name| upstream::id(name));
    names
        .iter()
        .position(|name| *name == settings.instance)
        .is_some_and(|rank| rank < WATCHERS_PER_DATA_CENTRE)
}
