//! The demo: a generation goes on whole although its engine is ended halfway.

use super::*;

/// Tokens of the generation.
const TOKENS: usize = 300;

/// Tokens after which the engine is ended.
const HALFWAY: u64 = 150;

/// Runs the demo and says what happened; fails if anything that must hold did not.
pub async fn run() -> ExitCode {
    println!("starting a platform, three engines, a plain service and two instances");
    let plan = fleet::Plan::default();
    let mut fleet = Fleet::start(&plan).await;
    let caller = Caller {
        key: "hemelarchief".into(),
    };
    let ask = caller::Ask::new("notebook-summary", "night log of 12 March 1911", TOKENS);
    let address = fleet.caller_address(0);
    println!("a caller streams {TOKENS} tokens through {address}");
    let asked = ask.clone();
    let answer = tokio::spawn(async move { caller.generate(address, &asked).await });
    let victim = busy_engine(&fleet).await;
    while generated(fleet.engines[victim].address).await < HALFWAY {
        sleep(Duration::from_millis(10)).await;
    }
    println!("{} ends without notice", fleet.engines[victim].name);
    let lost = generated(fleet.engines[victim].address).await;
    fleet.engines[victim].host.kill();
    let outcome = answer.await.unwrap_or_default();
    let broken = fleet.counter("invariant").await;
    let resumed = fleet.counter("resumed").await;
    let elsewhere = fleet.spent().await.generated;
    let whole = outcome.finished && ask.is_whole(&outcome.tokens) && outcome.wrong_positions == 0;
    println!("tokens received      {}", outcome.tokens.len());
    println!("answer whole         {whole}");
    println!("continuations        {resumed}");
    println!("longest stall        {:.0} ms", outcome.stall_ms());
    println!(
        "tokens not delivered {}",
        (lost + elsewhere).saturating_sub(TOKENS as u64)
    );
    println!("invariants broken    {broken}");
    if whole && resumed >= 1 && broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Index of an engine that generates.
async fn busy_engine(fleet: &Fleet) -> usize {
    loop {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if generated(engine.address).await > 0 {
                return index;
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

async fn generated(engine: SocketAddr) -> u64 {
    let body = http::get(engine, "/control/spent")
        .await
        .unwrap_or_default();
    body["spent"]["generated"].as_u64().unwrap_or(0)
}

/// Runs the demo of the users' platform: an engine ends under a stream, and then the instance that
/// relays it; its caller comes back at the other one.
pub async fn run_site() -> ExitCode {
    println!("starting the platform's store, four engines, two services and two instances");
    let plan = site::Plan {
        instances: 2,
        ..site::Plan::default()
    };
    let mut site = Site::start(plan).await;
    let ask = client::Ask::stream("first-try");
    let response = ask.open(site.instances[0].callers).await;
    while site.ledger.runs().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(100)).await;
    let engine = site.ledger.runs()[0].worker.clone();
    for seat in &mut site.engines {
        if seat.worker.name == engine {
            println!("{engine} ends without notice");
            seat.host.kill();
        }
    }
    let part = worker::events(&ask.body, 0).len() / 2;
    let first = client::Got::read(response, part).await;
    println!("the instance ends without notice");
    site.instances[0].host.kill();
    let position = first.body.matches("id: ").count() as u64;
    let again = client::Ask::stream("second-try").with("last-event-id", &position.to_string());
    let rest = again.send(site.instances[1].callers).await;
    let due = worker::events(&ask.body, 0);
    let whole = rest.whole && format!("{}{}", first.body, rest.body) == due;
    let copies = site
        .ledger
        .runs()
        .iter()
        .filter(|run| run.copy.is_some())
        .count();
    println!("events received      {}", due.matches("id: ").count());
    println!("answer whole         {whole}");
    println!("went on from copies  {copies}");
    if whole && copies == 2 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
