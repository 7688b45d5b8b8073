//! What the HTTP libraries leave unchecked, on raw sockets.

mod common;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::block_on;
use common::{callers, exchange, get, header, plan, read_all, start, status};
use fake::UpstreamFaults;
use std::net::Shutdown;
use std::time::Duration;
use trial::Deployment;

const SILENCE: Duration = Duration::from_millis(800);

async fn one_host() -> (Deployment, String) {
    let deployment = start(&plan(1, 1)).await;
    let address = callers(&deployment, 0);
    (deployment, address)
}

#[test]
fn framing_refuses_ambiguous_requests() {
    block_on(async {
        let (deployment, address) = one_host().await;
        let cases: [(&str, u16); 11] = [
            (
                "POST /abonos/charges HTTP/1.1\r\nhost: t\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
                400,
            ),
            (
                "POST /abonos/charges HTTP/1.1\r\nhost: t\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
                400,
            ),
            (
                "POST /abonos/charges HTTP/1.1\r\nhost: t\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                "POST /abonos/charges HTTP/1.1\r\nhost: t\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                "POST /abonos/charges HTTP/1.1\r\nhost: t\r\ncontent-length: +3\r\n\r\nabc",
                400,
            ),
            (
                "POST /abonos/charges HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n",
                400,
            ),
            ("GET /mapview/charts/a HTTP/1.1\r\n\r\n", 400),
            (
                "GET /mapview/charts/a HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
                400,
            ),
            ("nonsense\r\n\r\n", 400),
            ("GET http://other/ HTTP/1.1\r\nhost: t\r\n\r\n", 400),
            (
                "GET /nowhere/at/all HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n",
                404,
            ),
        ];
        for (request, expected) in cases {
            let answer = exchange(&address, request.as_bytes()).await;
            assert_eq!(status(&answer), expected, "{request:?} gave {answer:?}");
            assert_eq!(header(&answer, "x-verdict"), Some("not-run"), "{request:?}");
        }
        assert_eq!(deployment.run_log.summary().runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_refuses_oversize_messages() {
    block_on(async {
        let (deployment, address) = one_host().await;
        let long = "a".repeat(40 << 10);
        let answer = exchange(
            &address,
            &get("/mapview/charts/a", &format!("x-long: {long}\r\n")),
        )
        .await;
        assert_eq!(status(&answer), 431);
        let many = "x-line: 1\r\n".repeat(200);
        let answer = exchange(&address, &get("/mapview/charts/a", &many)).await;
        assert_eq!(status(&answer), 431);
        let large = b"POST /abonos/charges HTTP/1.1\r\nhost: t\r\ncontent-length: 9000000\r\n\r\n";
        let answer = exchange(&address, large).await;
        assert_eq!(status(&answer), 413);
        assert_eq!(deployment.run_log.summary().runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_runs_no_half_body() {
    block_on(async {
        let (deployment, address) = one_host().await;
        let halves: [&[u8]; 2] = [
            b"POST /abonos/charges HTTP/1.1\r\nhost: t\r\nidempotency-key: h1\r\ncontent-length: 10\r\n\r\nhalf",
            b"POST /abonos/charges HTTP/1.1\r\nhost: t\r\nidempotency-key: h2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ];
        for half in halves {
            let mut stream = TcpStream::connect(&address).await.expect("a connection");
            stream.write_all(half).await.expect("half is sent");
            stream
                .shutdown(Shutdown::Write)
                .expect("the sending side closes");
            let answer = read_all(&mut stream, SILENCE).await;
            assert_eq!(status(&answer), 400, "{answer}");
            assert_eq!(header(&answer, "x-cause"), Some("body-incomplete"));
        }
        assert_eq!(deployment.run_log.summary().runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_never_shows_cut_answer_whole() {
    block_on(async {
        let (deployment, address) = one_host().await;
        for upstream in deployment.upstreams.values() {
            upstream.set_faults(UpstreamFaults {
                truncated_percent: 100,
                ..UpstreamFaults::default()
            });
        }
        // A small answer is read whole first; nothing of a cut one is passed on.
        let answer = exchange(
            &address,
            &get("/mapview/charts/a", "x-deadline-ms: 900\r\n"),
        )
        .await;
        assert_eq!(
            header(&answer, "x-verdict"),
            Some("may-have-run"),
            "{answer}"
        );
        // A large one is streamed; the connection breaks inside it.
        let headers = "x-answer-bytes: 200000\r\nx-cost-ms: 5\r\n";
        let answer = exchange(&address, &get("/puerto/zones/a", headers)).await;
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        assert_eq!(header(&answer, "content-length"), Some("200000"));
        assert!(body.len() < 200_000, "{} bytes", body.len());
        deployment.shut_down();
    });
}

#[test]
fn framing_drops_unexpected_answers() {
    block_on(async {
        let (deployment, address) = one_host().await;
        for upstream in deployment.upstreams.values() {
            upstream.set_faults(UpstreamFaults {
                doubled_percent: 100,
                ..UpstreamFaults::default()
            });
        }
        for number in 0..20 {
            let tag = format!("x-trial-tag: mark{number}\r\n");
            let answer = exchange(&address, &get("/mapview/charts/a", &tag)).await;
            let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            assert!(body.starts_with(&format!("mark{number};")), "{answer}");
        }
        deployment.shut_down();
    });
}

#[test]
fn framing_cancels_for_gone_caller() {
    block_on(async {
        let (deployment, address) = one_host().await;
        let mut stream = TcpStream::connect(&address).await.expect("a connection");
        let request = get("/mapview/charts/a", "x-cost-ms: 1500\r\n");
        stream
            .write_all(&request)
            .await
            .expect("the request is sent");
        async_std::task::sleep(Duration::from_millis(200)).await;
        assert_eq!(running(&deployment), 1);
        drop(stream);
        async_std::task::sleep(Duration::from_millis(400)).await;
        assert_eq!(running(&deployment), 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_strips_forged_headers() {
    block_on(async {
        let (deployment, address) = one_host().await;
        let forged = "trestle-secret: x\r\nx-primary-epoch: 999\r\nx-shard: 9\r\nx-shard-epoch: 9\r\nx-not-run: 1\r\n";
        let answer = exchange(&address, &get("/mapview/charts/a", forged)).await;
        assert_eq!(status(&answer), 200, "{answer}");
        let peers = deployment.running()[0].host.addresses().peers.clone();
        let answer = exchange(
            &peers,
            &get("/mapview/charts/a", "trestle-secret: wrong\r\n"),
        )
        .await;
        assert_eq!(answer, "", "a stranger on the peer port is told nothing");
        deployment.shut_down();
    });
}

fn running(deployment: &Deployment) -> usize {
    let upstreams = deployment.upstreams.values();
    upstreams.map(fake::FakeUpstream::running).sum()
}
