//! Clients that do not keep to the limits, before an instance as a process of its own.
//!
//! The machine is the smallest of the users' pages. Where a crowd is as large as an eighth of its descriptors, the process has an
//! eighth of its descriptors, of the memory that an instance leaves for clients, and of the limits on heads and bodies; its settings
//! say so.

use {
    googletest::prelude::*,
    serde_json::Value,
    std::sync::{Mutex, PoisonError},
    wellplank_standin::{
        client::Ask,
        flood::{self, Outcome, Port, Script, Setting},
        site, worker,
    },
};

/// Memory and descriptors of the smallest machine of the users' pages.
const MACHINE_KIB: u64 = 88 << 10;
const MACHINE_DESCRIPTORS: u64 = 4_100;

/// Memory of the machine that an instance takes without clients, in kibibytes.
const INSTANCE_KIB: u64 = 24 << 10;

/// Divisor of the machine, of the crowd and of the limits.
const SCALE: u64 = 8;

/// Descriptors of the process, and memory that a crowd may take, in kibibytes.
const DESCRIPTORS: u64 = MACHINE_DESCRIPTORS / SCALE;
const CROWD_KIB: u64 = (MACHINE_KIB - INSTANCE_KIB) / SCALE;

/// Limits of the users' pages.
const HEADER_BYTES: usize = 16_384;
const BODY_BYTES: usize = 4 << 20;
const HEADER_MS: u64 = 3_000;

/// Clients that leave the process a fifth of its descriptors, and clients that have more connections than it has descriptors.
const CLIENTS: usize = 400;
const MANY_CLIENTS: usize = 600;

/// Clients that hold as much as the limits allow each.
const FEW_CLIENTS: usize = 40;

/// Bytes that stand for a head or a body without an end.
const ENDLESS: usize = 1 << 20;

/// Held by the test that runs: one crowd at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// The site's configuration with the limits of the pages, those in bytes divided.
fn limits(version: u64, divisor: usize) -> Value {
    let mut configuration = site::configuration(version);
    configuration["limits"]["max_header_bytes"] = (HEADER_BYTES / divisor).into();
    configuration["limits"]["max_body_bytes"] = (BODY_BYTES / divisor).into();
    configuration["limits"]["header_timeout_ms"] = HEADER_MS.into();
    configuration
}

fn unscaled(version: u64) -> Value {
    limits(version, 1)
}

fn scaled(version: u64) -> Value {
    limits(version, SCALE as usize)
}

/// A crowd of the scaled machine.
fn setting(script: fn(usize) -> Script) -> Setting {
    Setting {
        clients: CLIENTS,
        configuration: scaled,
        crowds: 8,
        descriptors: DESCRIPTORS,
        is_stopped: false,
        memory_mb: (INSTANCE_KIB + CROWD_KIB) >> 10,
        port: Port::Callers,
        script,
    }
}

fn run(setting: Setting) -> Outcome {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(flood::run(setting));
    runtime.shutdown_background();
    println!("{outcome:?}, grown by {} KiB", outcome.growth_kib());
    outcome
}

/// Runs a crowd of the scaled machine, before which the process must hold.
fn expect_holds(setting: Setting) {
    let outcome = run(setting);
    expect_that!(outcome.ends, elements_are![]);
    expect_that!(outcome.growth_kib(), le(CROWD_KIB));
    expect_that!(outcome.descriptors as u64, lt(DESCRIPTORS));
    expect_that!(outcome.answered, eq([true, true]));
}

/// The start of a head, without its end.
fn head(path: &str, number: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nauthorization: Token {}\r\nwellplank-request-id: r-{number}\r\n",
        site::KEY
    )
}

/// A script that writes a piece without an end behind an opening.
fn endless(opening: impl Into<Vec<u8>>, piece: &[u8]) -> Script {
    Script {
        opening: opening.into(),
        piece: piece.repeat((8 << 10) / piece.len()),
        bytes_max: ENDLESS,
        reads: false,
    }
}

/// A script that writes once and keeps the connection.
fn once(opening: impl Into<Vec<u8>>) -> Script {
    Script {
        opening: opening.into(),
        bytes_max: 1,
        ..Script::default()
    }
}

#[gtest]
fn header_lines_without_end_do_not_fill_memory() {
    expect_holds(setting(|number| {
        endless(head("/again/1", number), b"x-a: b\r\n")
    }));
}

#[gtest]
fn header_line_without_end_does_not_fill_memory() {
    expect_holds(setting(|number| {
        endless(head("/again/1", number) + "x-a: ", b"zzzzzzzz")
    }));
}

#[gtest]
fn request_line_without_end_does_not_fill_memory() {
    expect_holds(setting(|_| endless("POST /", b"zzzzzzzz")));
}

#[gtest]
fn empty_lines_without_end_before_a_request_do_not_fill_memory() {
    expect_holds(setting(|_| endless("\r\n", b"\r\n")));
}

#[gtest]
fn line_feeds_without_end_before_a_request_do_not_fill_memory() {
    expect_holds(setting(|_| endless("\n", b"\n")));
}

#[gtest]
fn heads_that_stop_below_the_limit_do_not_fill_memory() {
    expect_holds(setting(|number| {
        let line = format!("x-a: {}\r\n", "z".repeat(1_700));
        once(head("/again/1", number) + &line)
    }));
}

#[gtest]
fn heads_at_the_readiness_port_without_end_do_not_fill_memory() {
    expect_holds(Setting {
        port: Port::Ready,
        ..setting(|number| endless(head("/ready", number), b"x-a: b\r\n"))
    });
}

#[gtest]
fn silent_connections_do_not_take_all_descriptors() {
    expect_holds(Setting {
        clients: MANY_CLIENTS,
        ..setting(|_| Script::default())
    });
}

#[gtest]
fn silent_connections_at_the_readiness_port_do_not_take_all_descriptors() {
    expect_holds(Setting {
        clients: MANY_CLIENTS,
        port: Port::Ready,
        ..setting(|_| Script::default())
    });
}

#[gtest]
fn idle_connections_do_not_take_all_descriptors() {
    expect_holds(Setting {
        clients: MANY_CLIENTS,
        ..setting(|number| Script {
            reads: true,
            ..once(Ask::again(&format!("r-{number}")).bytes())
        })
    });
}

#[gtest]
fn bodies_that_stop_do_not_take_all_descriptors() {
    expect_holds(Setting {
        clients: MANY_CLIENTS,
        ..setting(|number| once(head("/again/1", number) + "content-length: 100\r\n\r\nhalf"))
    });
}

#[gtest]
fn chunk_extensions_without_end_do_not_fill_memory() {
    expect_holds(setting(|number| {
        let head = head("/again/1", number) + "transfer-encoding: chunked\r\n\r\n1;a=";
        endless(head, b"zzzzzzzz")
    }));
}

#[gtest]
fn trailers_without_end_do_not_fill_memory() {
    expect_holds(setting(|number| {
        let head = head("/again/1", number) + "transfer-encoding: chunked\r\n\r\n0\r\n";
        endless(head, b"x-a: b\r\n")
    }));
}

#[gtest]
fn requests_without_end_whose_answers_are_not_read_do_not_fill_memory() {
    expect_holds(setting(|number| {
        let ask = Ask::again(&format!("r-{number}")).bytes();
        endless(ask.clone(), &ask)
    }));
}

#[gtest]
fn other_protocols_do_not_fill_memory() {
    expect_holds(setting(|number| {
        if number % 2 == 0 {
            endless("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\0\0\0\x04\0\0\0\0\0")
        } else {
            endless([0x16, 3, 1, 2, 0, 1, 0, 1], b"\xfc\x03\x03\0")
        }
    }));
}

/// A crowd of few clients that send and ask for as much as the limits allow, before a process with a whole machine.
fn whole(script: fn(usize) -> Script) -> Setting {
    Setting {
        clients: FEW_CLIENTS,
        configuration: unscaled,
        crowds: 8,
        descriptors: MACHINE_DESCRIPTORS,
        is_stopped: false,
        memory_mb: MACHINE_KIB >> 10,
        port: Port::Callers,
        script,
    }
}

/// Runs a crowd before which a process with a whole machine must hold.
fn expect_fits(setting: Setting) {
    let outcome = run(setting);
    expect_that!(outcome.ends, elements_are![]);
    expect_that!(outcome.peak_kib, le(MACHINE_KIB));
    expect_that!(outcome.answered, eq([true, true]));
}

#[gtest]
fn bodies_that_stop_below_the_limit_fit_into_memory() {
    expect_fits(whole(|number| {
        let head = head("/again/1", number) + "content-length: 4194304\r\n\r\n";
        Script {
            bytes_max: BODY_BYTES,
            ..endless(head, b"zzzzzzzz")
        }
    }));
}

#[gtest]
fn bodies_whose_requests_run_fit_into_memory() {
    expect_fits(whole(|number| {
        let ask = Ask::again(&format!("r-{number}"));
        let ask = ask.with(worker::ANSWER_MS, "6000").body(BODY_BYTES);
        Script {
            bytes_max: usize::MAX,
            ..once(ask.bytes())
        }
    }));
}

#[gtest]
fn whole_answers_that_are_not_read_fit_into_memory() {
    expect_fits(whole(|number| {
        let ask = Ask::again(&format!("r-{number}"));
        once(ask.with(worker::EVENT_BYTES, "4000000").bytes())
    }));
}

#[gtest]
fn streams_that_are_not_read_fit_into_memory() {
    expect_fits(whole(|number| {
        let ask = Ask::stream(&format!("r-{number}"));
        once(ask.with(worker::EVENT_BYTES, "200000").bytes())
    }));
}

#[gtest]
fn zeros_of_a_chunks_size_without_end_do_not_hold_up_a_process() {
    expect_holds(setting(|number| {
        let head = head("/again/1", number) + "transfer-encoding: chunked\r\n\r\n";
        Script {
            bytes_max: usize::MAX,
            ..endless(head, b"00000000")
        }
    }));
}

#[gtest]
fn heads_at_the_metrics_port_without_end_do_not_fill_memory() {
    expect_holds(Setting {
        port: Port::Metrics,
        ..setting(|number| endless(head("/metrics", number), b"x-a: b\r\n"))
    });
}

/// Headers of as few bytes as there are, as many as the limit on heads allows, before bodies that stop.
#[gtest]
fn smallest_headers_fit_into_memory() {
    expect_fits(Setting {
        clients: CLIENTS,
        ..whole(|number| {
            let lines = (0..2_100).map(|line| format!("{line:x}:\r\n"));
            let lines = lines.collect::<Vec<String>>().concat();
            let start = head("/again/1", number) + &lines;
            if number % 2 == 0 {
                once(start + "content-length: 9\r\n\r\nhalf")
            } else {
                once(start + "x-answer-ms: 6000\r\ncontent-length: 0\r\n\r\n")
            }
        })
    });
}

/// What one crowd leaves behind is what the next one starts from.
#[gtest]
fn crowds_in_a_row_do_not_add_up() {
    expect_fits(Setting {
        crowds: 8,
        ..whole(|number| {
            let ask = Ask::again(&format!("r-{number}"));
            match number % 4 {
                0 => once(ask.with(worker::EVENT_BYTES, "4000000").bytes()),
                1 => endless(ask.bytes(), b"\r\n"),
                2 => Script {
                    bytes_max: BODY_BYTES,
                    ..endless(
                        head("/again/1", number) + "content-length: 4194304\r\n\r\n",
                        b"z",
                    )
                },
                _ => endless(ask.bytes(), &ask.bytes()),
            }
        })
    });
}

/// A process that is told to end beside a crowd ends in order, by itself.
#[gtest]
fn process_ends_in_order_beside_a_crowd() {
    for script in [
        (|_| Script::default()) as fn(usize) -> Script,
        |number| once(head("/again/1", number) + "content-length: 100\r\n\r\nhalf"),
        |number| {
            once(
                Ask::again(&format!("r-{number}"))
                    .with(worker::EVENT_BYTES, "4000000")
                    .bytes(),
            )
        },
        |_| endless("\r\n", b"\r\n"),
    ] {
        let outcome = run(Setting {
            is_stopped: true,
            ..whole(script)
        });
        expect_that!(outcome.ends, elements_are![]);
        expect_that!(outcome.has_stopped, some(eq(true)));
    }
}
