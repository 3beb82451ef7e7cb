//! Tunnels to upstreams through another instance, on real sockets: how they end, and what becomes of them at a planned stop.

use {
    futures_util::{SinkExt, StreamExt, future::join},
    googletest::prelude::*,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::codec::Framed,
    wellplank_core::incarnation::Incarnation,
    wellplank_standin::{
        client::Ask,
        host,
        site::{Plan, Seat, Site, run},
        uplink::State,
        worker,
    },
    wellplank_wire::{
        frame,
        peer::{
            Frame, Life, TunnelBytes, TunnelRequest, TunnelResponse, TunnelStatus, frame::Body,
        },
    },
};

/// Time that anything may take here.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time within which an upstream is to learn that nobody waits for it any more: the users' half a second.
const NOTICE: Duration = Duration::from_millis(500);

type Frames = Framed<TcpStream, frame::Codec>;

/// Asks an instance for a tunnel to a worker; `None` if it declines.
async fn open(gateway: SocketAddr, seat: &Seat) -> Option<Frames> {
    let connection = TcpStream::connect(gateway).await.ok()?;
    let mut frames = Framed::new(connection, frame::Codec::new());
    let Incarnation { born, id } = Incarnation::new(&seat.worker.name, seat.worker.born);
    let request = TunnelRequest {
        upstream: Some(Life { id, born }),
    };
    let body = Some(Body::TunnelRequest(request));
    frames.send(Frame { body }).await.ok()?;
    match frames.next().await?.ok()?.body? {
        Body::TunnelResponse(response) if response.status() == TunnelStatus::Open => Some(frames),
        _ => None,
    }
}

/// Sends a request as an instance does, to the worker at the other end.
async fn send(frames: &mut Frames, seat: &Seat, ask: Ask) {
    let bytes = ask
        .with("wellplank-expect-instance", &seat.worker.name)
        .bytes();
    let sent = frames.get_mut().write_all(&bytes).await;
    sent.expect("the tunnel is open");
}

/// The next bytes; empty at the end of the worker's connection, `None` if the tunnel ends without one.
async fn receive(frames: &mut Frames) -> Option<Vec<u8>> {
    let frame = timeout(PATIENCE, frames.next())
        .await
        .expect("something comes");
    match frame?.ok()?.body? {
        Body::TunnelBytes(bytes) => Some(bytes.data),
        _ => None,
    }
}

/// All bytes, and whether the worker's connection came to its end.
async fn receive_all(frames: &mut Frames) -> (String, bool) {
    let mut all = Vec::new();
    while let Some(bytes) = receive(frames).await {
        if bytes.is_empty() {
            return (String::from_utf8(all).expect("text"), true);
        }
        all.extend(bytes);
    }
    (String::from_utf8(all).expect("text"), false)
}

fn plan() -> Plan {
    Plan {
        links: true,
        ..Plan::default()
    }
}

#[gtest]
fn tunnel_carries_an_answer_and_marks_the_end_of_the_upstreams_connection() {
    run(plan(), async |site: Site| {
        let seat = &site.desks[0];
        let mut tunnel = open(site.instances[0].peers, seat).await.expect("a tunnel");
        send(&mut tunnel, seat, Ask::once("run")).await;
        let (text, marked) = receive_all(&mut tunnel).await;
        expect_that!(text, ends_with(worker::reply(b"what is asked")));
        expect_that!(marked, eq(true));
    });
}

#[gtest]
fn tunnel_whose_upstream_is_reset_ends_without_a_mark() {
    run(plan(), async |site: Site| {
        let seat = &site.engines[0];
        let mut tunnel = open(site.instances[0].peers, seat).await.expect("a tunnel");
        send(&mut tunnel, seat, Ask::stream("run")).await;
        receive(&mut tunnel).await;
        site.instances[0].set_links(State::Resets);
        let (_, marked) = receive_all(&mut tunnel).await;
        expect_that!(marked, eq(false));
    });
}

#[gtest]
fn upstream_learns_that_the_other_end_of_a_tunnel_was_closed() {
    run(plan(), async |site: Site| {
        let seat = &site.engines[0];
        let mut tunnel = open(site.instances[0].peers, seat).await.expect("a tunnel");
        send(
            &mut tunnel,
            seat,
            Ask::stream("run").with(worker::EVENT_BYTES, "2000"),
        )
        .await;
        receive(&mut tunnel).await;
        drop(tunnel);
        sleep(NOTICE).await;
        expect_that!(site.ledger.cancelled(), eq(1));
    });
}

#[gtest]
fn planned_stop_of_a_gateway_cuts_no_tunnel_and_opens_no_new_one() {
    run(plan(), async |mut site: Site| {
        let gateway = site.instances[0].peers;
        let seat = &site.engines[0];
        let mut tunnel = open(gateway, seat).await.expect("a tunnel");
        send(&mut tunnel, seat, Ask::stream("run")).await;
        receive(&mut tunnel).await;
        let mut instance = site.instances.remove(0);
        let during = async {
            sleep(Duration::from_millis(50)).await;
            let refused = open(gateway, &site.engines[1]).await.is_none();
            (refused, receive_all(&mut tunnel).await)
        };
        let ((), (refused, (text, marked))) = join(instance.stop(), during).await;
        expect_that!(refused, eq(true));
        expect_that!(marked, eq(true));
        expect_that!(
            text,
            contains_substring(format!("id: {}\n", worker::EVENTS))
        );
    });
}

#[gtest]
fn tunnel_to_an_unknown_upstream_is_declined() {
    run(plan(), async |site: Site| {
        let mut other = Seat {
            host: host::Host::new(1),
            worker: site.desks[0].worker.clone(),
        };
        other.worker.name = "another".into();
        expect_that!(
            open(site.instances[0].peers, &other).await.is_none(),
            eq(true)
        );
    });
}

/// Answers one request for a tunnel as a gateway does, with an answer of an upstream that ends with its connection, and
/// marks that end or is gone before.
async fn serve_unframed(listener: TcpListener, worker: String, marks: bool) {
    let Ok((connection, _)) = listener.accept().await else {
        return;
    };
    let mut frames: Frames = Framed::new(connection, frame::Codec::new());
    let _ = frames.next().await;
    let open = TunnelResponse {
        named: None,
        status: TunnelStatus::Open.into(),
    };
    let body = Some(Body::TunnelResponse(open));
    let _ = frames.send(Frame { body }).await;
    let mut request = vec![0; 64 << 10];
    let length = frames.get_mut().read(&mut request).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let name = request
        .lines()
        .find_map(|line| line.strip_prefix("wellplank-request-id: "));
    let name = name.unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nwellplank-request-id: {name}\r\nwellplank-response-signature: {worker}\r\n\
        connection: close\r\n\r\nthe first half"
    );
    let parts = [answer.into_bytes()]
        .into_iter()
        .chain(marks.then(Vec::new));
    for data in parts {
        let body = Some(Body::TunnelBytes(TunnelBytes { data }));
        let _ = frames.send(Frame { body }).await;
    }
}

/// Whether a caller gets a whole answer over a gateway that marks its end, or is gone before.
async fn is_whole(site: &Site, marks: bool) -> bool {
    let address = host::free_address();
    let listener = TcpListener::bind(address).await.expect("a free address");
    let entry = json!({ "address": address, "data_centre": "dc-0" });
    site.shelf.put("wellplank/instances/dc-0/gateway", &entry);
    // Instances read the others every two seconds, and serializable reads may be old.
    sleep(Duration::from_millis(2_800)).await;
    site.instances[0].set_links(State::Refuses);
    let gateway = serve_unframed(listener, site.desks[0].worker.name.clone(), marks);
    let ask = async {
        let response = Ask::once("run").try_open(site.instances[0].callers).await;
        match response {
            Ok(response) => {
                let got = wellplank_standin::client::Got::read(response, usize::MAX).await;
                got.whole && got.status.is_success()
            }
            Err(_) => false,
        }
    };
    let (whole, ()) = join(ask, gateway).await;
    whole
}

#[gtest]
fn response_without_a_length_is_whole_if_the_gateway_marks_its_end() {
    run(plan(), async |site: Site| {
        expect_that!(is_whole(&site, true).await, eq(true));
    });
}

#[gtest]
fn response_without_a_length_whose_gateway_is_gone_is_not_whole() {
    run(plan(), async |site: Site| {
        expect_that!(is_whole(&site, false).await, eq(false));
    });
}
