//! Implementation of the commands.

use super::*;

/// Timeout of `apply --wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(13);

/// Interval between two status polls of `apply --wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the given command.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    if name == "digest" {
        return digest();
    }
    let address = arguments
        .get_one::<String>("address")
        .expect("has a default");
    let key = arguments
        .get_one::<String>("key")
        .cloned()
        .unwrap_or_default();
    let json = arguments.get_flag("json");
    if name == "apply" || name == "diff" {
        let path: &PathBuf = arguments.get_one("file").expect("is required");
        let declaration = declaration::read(path)?;
        let mut client = Client::connect(address, &key).await?;
        if name == "apply" {
            return apply(&mut client, declaration, arguments).await;
        }
        let current = client.get().await?.declaration.unwrap_or_default();
        for line in declaration::diff(&current, &declaration) {
            println!("{line}");
        }
        return Ok(());
    }
    let mut client = Client::connect(address, &key).await?;
    if name == "get" {
        let reply = client.get().await?;
        let declaration = json!(reply.declaration.unwrap_or_default());
        println!("{declaration:#}");
        return Ok(());
    }
    if name == "drain" {
        return client.drain().await;
    }
    if name == "history" {
        print_history(&client.history().await?, json);
        return Ok(());
    }
    let status = client.status().await?;
    if json {
        println!("{:#}", status_json(&status));
    } else {
        print_status(&status);
    }
    Ok(())
}

/// Prints the digest of the key that is read from standard input; its line ending is ignored.
fn digest() -> Result<(), Error> {
    let mut key = String::new();
    std::io::stdin()
        .read_line(&mut key)
        .map_err(|error| Error::File("standard input".into(), error.to_string()))?;
    println!(
        "{}",
        blake3::hash(key.trim_end_matches(['\r', '\n']).as_bytes())
    );
    Ok(())
}

async fn apply(
    client: &mut Client,
    declaration: Declaration,
    arguments: &ArgMatches,
) -> Result<(), Error> {
    let expected = arguments.get_one::<u64>("expect-revision").copied();
    let dry_run = arguments.get_flag("dry-run");
    let note = arguments.get_one::<String>("note").expect("has a default");
    let reply = client.apply(declaration, expected, dry_run, note).await?;
    if dry_run {
        println!("no faults; revision {} is in force", reply.revision);
        return Ok(());
    }
    println!("revision {} accepted", reply.revision);
    if arguments.get_flag("wait") {
        wait_in_force(client, reply.revision).await?;
        println!("revision {} in force", reply.revision);
    }
    Ok(())
}

/// Waits until a revision is in force at every live instance.
async fn wait_in_force(client: &mut Client, revision: u64) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let status = client.status_everywhere().await?;
        let behind: Vec<String> = status
            .peers
            .iter()
            .filter(|peer| peer.revision < revision)
            .map(|peer| {
                let suffix = if peer.reachable {
                    ""
                } else {
                    " (does not answer)"
                };
                format!("{}{suffix}", peer.name)
            })
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(Error::NotInForce(behind));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_history(history: &HistoryReply, json: bool) {
    if json {
        let changes = history.changes.iter().map(|change| {
            json!({
                "id": change.id,
                "note": change.note,
                "revision": change.revision,
                "time_ms": change.time_ms,
            })
        });
        println!("{:#}", Value::Array(changes.collect()));
        return;
    }
    let rows: Vec<Vec<String>> = history
        .changes
        .iter()
        .map(|change| {
            let (revision, time) = (change.revision.to_string(), change.time_ms.to_string());
            vec![revision, time, change.id.clone(), change.note.clone()]
        })
        .collect();
    println!(
        "{}",
        table::table(&["revision", "time ms", "change", "note"], &rows)
    );
}

fn print_status(status: &StatusReply) {
    println!(
        "instance {}  ready {}  stopping {}  revision {}  running {}\n",
        status.instance, status.ready, status.stopping, status.revision, status.running
    );
    let peers: Vec<Vec<String>> = status
        .peers
        .iter()
        .map(|peer| {
            let (revision, silent) = (peer.revision.to_string(), peer.silent_ms.to_string());
            vec![peer.name.clone(), revision, silent]
        })
        .collect();
    println!(
        "{}\n",
        table::table(&["peer", "revision", "silent ms"], &peers)
    );
    let upstreams: Vec<Vec<String>> = status
        .upstreams
        .iter()
        .map(|upstream| {
            vec![
                upstream.name.clone(),
                upstream.pool.clone(),
                upstream.health.clone(),
                upstream.leaving.to_string(),
                upstream.attempts.to_string(),
                upstream.running.to_string(),
                upstream.slots.to_string(),
            ]
        })
        .collect();
    let header = [
        "upstream", "pool", "health", "leaving", "attempts", "running", "slots",
    ];
    println!("{}\n", table::table(&header, &upstreams));
    let counters: Vec<Vec<String>> = status
        .counters
        .iter()
        .map(|count| vec![count.name.clone(), count.value.to_string()])
        .collect();
    println!("{}", table::table(&["counter", "value"], &counters));
}

fn status_json(status: &StatusReply) -> Value {
    let counters: serde_json::Map<String, Value> = status
        .counters
        .iter()
        .map(|count| (count.name.clone(), count.value.into()))
        .collect();
    let peers: Vec<Value> = status
        .peers
        .iter()
        .map(|peer| {
            json!({
                "name": peer.name,
                "revision": peer.revision,
                "silent_ms": peer.silent_ms,
            })
        })
        .collect();
    let upstreams: Vec<Value> = status
        .upstreams
        .iter()
        .map(|upstream| {
            json!({
                "attempts": upstream.attempts,
                "health": upstream.health,
                "leaving": upstream.leaving,
                "name": upstream.name,
                "pool": upstream.pool,
                "running": upstream.running,
                "slots": upstream.slots,
            })
        })
        .collect();
    json!({
        "counters": counters,
        "instance": status.instance,
        "peers": peers,
        "ready": status.ready,
        "revision": status.revision,
        "running": status.running,
        "stopping": status.stopping,
        "upstreams": upstreams,
    })
}
