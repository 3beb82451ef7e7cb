//! A steady load of streams, and what each of its callers saw.

use super::*;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};
use tokio::task::JoinHandle;

/// How a caller meets a cut answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Style {
    /// It takes what it is given.
    Plain,
    /// It asks anew from the start, and waits until it has as many tokens as before.
    Restart,
}

/// A load that runs until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Outcome>>>,
}

/// One stream of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was asked.
    pub ask: caller::Ask,
    /// For a caller that asked anew: time from its last token to the one after it, and the tokens
    /// that it was given twice.
    pub restarted: Option<Restarted>,
    /// What came.
    pub seen: caller::Outcome,
}

/// What asking anew cost.
#[derive(Clone, Copy, Debug)]
pub struct Restarted {
    /// Tokens given twice.
    pub again: usize,
    /// Time without a new token.
    pub stall: Duration,
}

impl Load {
    /// Starts `streams` callers that ask one after the other, spread over the instances.
    pub fn start(
        addresses: &[SocketAddr],
        streams: usize,
        ask: &caller::Ask,
        style: Style,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicUsize::new(0));
        let tasks = (0..streams)
            .map(|index| {
                let address = addresses[index % addresses.len()];
                let (stop, number, ask) = (stop.clone(), number.clone(), ask.clone());
                tokio::spawn(async move {
                    let mut outcomes = Vec::new();
                    // Callers do not begin in step.
                    sleep(Duration::from_millis((index * 37 % 1_000) as u64)).await;
                    while !stop.load(Ordering::Relaxed) {
                        let number = number.fetch_add(1, Ordering::Relaxed);
                        outcomes.push(one(address, &ask, number, style).await);
                    }
                    outcomes
                })
            })
            .collect();
        Self { stop, tasks }
    }

    /// Lets every stream end, and answers with all of them.
    pub async fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes = Vec::new();
        for task in self.tasks {
            outcomes.extend(task.await.unwrap_or_default());
        }
        outcomes
    }
}

async fn one(address: SocketAddr, ask: &caller::Ask, number: usize, style: Style) -> Outcome {
    let caller = Caller {
        key: "sawmill".into(),
    };
    let mut ask = ask.clone();
    ask.prompt = json!(format!(
        "{} {number}",
        ask.prompt.as_str().unwrap_or_default()
    ));
    let seen = caller.generate(address, &ask).await;
    let last = seen.events.last().map(|event| event.at);
    let mut restarted = None;
    if let (Style::Restart, Some(last), false) = (style, last, seen.finished) {
        let again = caller.generate(address, &ask).await;
        let mut count = 0;
        for event in &again.events {
            count += event.tokens;
            if count > seen.tokens.len() {
                restarted = Some(Restarted {
                    again: seen.tokens.len(),
                    stall: event.at - last,
                });
                break;
            }
        }
    } else if seen.status != 200 {
        let wait = seen.retry_after_ms.unwrap_or(100);
        sleep(Duration::from_millis(wait.min(1_000))).await;
    }
    Outcome {
        ask,
        restarted,
        seen,
    }
}
