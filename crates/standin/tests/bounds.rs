//! Sums of what callers and upstreams may have an instance hold, and sound requests beside the bounds, on real sockets.

use {
    futures_util::future::join_all,
    googletest::prelude::*,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
    wellplank_standin::{
        client::Ask,
        endless::Endless,
        site::{self, Plan, Site},
        worker::{self, Mode},
    },
};

/// Held by the test that runs: the memory of the process is that of all tests in it.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a test against a site, alone in the process.
fn run<F: Future<Output = ()>>(plan: Plan, test: impl FnOnce(Site) -> F) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    site::run(plan, test);
}

/// Memory that all answers which are read, and all that wait for callers, may take together, with as much again for copies.
const MEMORY: u64 = (2 * (48 + 16)) << 20;

fn address(site: &Site) -> SocketAddr {
    site.instances[0].callers
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kib.expect("a field").parse::<u64>().expect("a number") << 10
}

/// Guards against a bound of the instance that ends sound answers which are read at the same time: a call that may run once is
/// lost by it though its upstream answered.
#[gtest]
fn sound_answers_of_6_mb_at_the_same_time_pass() {
    run(Plan::default(), async |site: Site| {
        let calls = (0..14).map(|number| {
            let ask = Ask::once(&format!("r{number}")).with(worker::EVENT_BYTES, "6000000");
            let address = address(&site);
            async move { ask.send(address).await }
        });
        let got = join_all(calls).await;
        let statuses: Vec<u16> = got.iter().map(|got| got.status.as_u16()).collect();
        println!("{statuses:?}");
        expect_that!(statuses, each(eq(&200)));
    });
}

/// Guards against whole answers that are kept for callers who do not read, outside the bound on answers that are being read.
#[gtest]
fn whole_answers_that_callers_do_not_read_are_bounded() {
    run(Plan::default(), async |site: Site| {
        let before = resident();
        let mut callers = Vec::new();
        for number in 0..24 {
            let ask = Ask::once(&format!("r{number}")).with(worker::EVENT_BYTES, "14000000");
            let mut caller = TcpStream::connect(address(&site))
                .await
                .expect("a connection");
            caller.write_all(&ask.bytes()).await.expect("it is taken");
            callers.push(caller);
            sleep(Duration::from_millis(150)).await;
        }
        sleep(Duration::from_millis(500)).await;
        let grown = resident().saturating_sub(before);
        println!("grown by {} MiB", grown >> 20);
        expect_that!(grown, lt(MEMORY));
        drop(callers);
    });
}

/// Guards against bodies of many callers that are kept until they are complete, each bounded and their sum not.
#[gtest]
fn bodies_of_callers_that_do_not_end_are_bounded_together() {
    run(Plan::default(), async |site: Site| {
        let mut configuration = site::configuration(2);
        configuration["limits"]["max_body_bytes"] = 4_194_304.into();
        configuration["limits"]["header_timeout_ms"] = 8_000.into();
        site.shelf.put("op/config", &configuration);
        sleep(Duration::from_secs(1)).await;
        let before = resident();
        let body = vec![b'x'; 3_900_000];
        let address = address(&site);
        let callers = (0..80).map(|number| {
            let (body, mut ask) = (&body, Ask::once(&format!("r{number}")));
            ask.body.clear();
            let head = String::from_utf8(ask.bytes()).expect("text");
            let head = head.replace("content-length: 0", "content-length: 4000000");
            async move {
                let mut caller = TcpStream::connect(address).await.expect("a connection");
                caller.write_all(head.as_bytes()).await.ok()?;
                let sent = caller.write_all(body);
                let sent = tokio::time::timeout(Duration::from_secs(2), sent).await;
                Some((caller, matches!(sent, Ok(Ok(())))))
            }
        });
        let callers = join_all(callers).await;
        let grown = resident().saturating_sub(before);
        let taken = callers.iter().flatten().filter(|(_, sent)| *sent).count();
        println!("grown by {} MiB, {taken} bodies taken", grown >> 20);
        expect_that!(grown, lt(MEMORY));
        drop(callers);
    });
}

/// Guards against requests that a caller sends one behind the other and that are read ahead of their answers.
#[gtest]
fn pipelined_requests_are_not_read_ahead() {
    run(Plan::default(), async |site: Site| {
        for seat in &site.desks {
            seat.worker.set(Mode::Silent);
        }
        let mut caller = TcpStream::connect(address(&site))
            .await
            .expect("a connection");
        let request = Ask::once("piped").body(9_000).bytes();
        let mut written = 0;
        let writing = async {
            for _ in 0..8_000 {
                if caller.write_all(&request).await.is_err() {
                    break;
                }
                written += request.len() as u64;
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(2), writing).await;
        println!("written {} MiB", written >> 20);
        expect_that!(written, lt(32 << 20));
    });
}

/// Guards against a budget that is not given back when callers go away while answers without an end are read: sound answers
/// are ended by it later.
#[gtest]
fn budget_is_given_back_when_callers_go_away() {
    run(Plan::default(), async |site: Site| {
        for round in 0..3 {
            for seat in &site.desks {
                seat.worker.set(Mode::Endless(Endless::Stalled));
            }
            let mut callers = Vec::new();
            for number in 0..3 {
                let ask = Ask::once(&format!("r{round}-{number}"));
                let mut caller = TcpStream::connect(address(&site))
                    .await
                    .expect("a connection");
                caller.write_all(&ask.bytes()).await.expect("it is taken");
                callers.push(caller);
            }
            sleep(Duration::from_millis(400)).await;
            drop(callers);
            sleep(Duration::from_millis(300)).await;
        }
        for seat in &site.desks {
            seat.worker.set(Mode::Good);
        }
        for number in 0..3 {
            let ask = Ask::once(&format!("sound-{number}")).with(worker::EVENT_BYTES, "15000000");
            let got = ask.send(address(&site)).await;
            expect_that!(
                got.status.as_u16(),
                eq(200),
                "{}",
                got.body.chars().take(200).collect::<String>()
            );
        }
    });
}

/// Guards against a large sound answer that is given up since its caller reads it slowly.
#[gtest]
fn caller_that_reads_slowly_gets_a_large_answer_whole() {
    run(Plan::default(), async |site: Site| {
        let ask = Ask::once("slow").with(worker::EVENT_BYTES, "15000000");
        let mut caller = TcpStream::connect(address(&site))
            .await
            .expect("a connection");
        caller.write_all(&ask.bytes()).await.expect("it is taken");
        let mut buffer = vec![0; 1 << 20];
        let mut read = 0;
        while read < 15_000_000 {
            sleep(Duration::from_millis(150)).await;
            let length = caller.read(&mut buffer).await.unwrap_or(0);
            if length == 0 {
                break;
            }
            read += length;
        }
        expect_that!(read, ge(15_000_000));
    });
}

/// Guards against a bound on heads that counts what arrives of a large body together with a long head.
#[gtest]
fn sound_answer_with_a_long_head_and_a_large_body_passes() {
    run(Plan::default(), async |site: Site| {
        for kib in [8, 15, 24, 40, 55, 56] {
            let filling = "y".repeat(1_008);
            let lines: Vec<String> = (0..kib)
                .map(|number| format!("\r\nx-fill-{number}: {filling}"))
                .collect();
            let lines = lines.concat();
            let limit: &'static str = format!("none{lines}").leak();
            for seat in &site.desks {
                let remark = worker::Remark {
                    limit: Some(limit),
                    ..worker::Remark::default()
                };
                seat.worker.say(remark);
            }
            for bytes in ["100", "4000000"] {
                let ask = Ask::once(&format!("r{kib}-{bytes}"));
                let ask = ask.with(worker::EVENT_BYTES, bytes);
                let got = ask.send(address(&site)).await;
                println!("{kib} KiB before {bytes} bytes: {}", got.status);
                expect_that!(
                    got.status.as_u16(),
                    eq(200),
                    "{kib} KiB before {bytes} bytes"
                );
            }
        }
    });
}
