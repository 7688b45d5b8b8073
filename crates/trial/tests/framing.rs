//! Checks of HTTP framing and headers that HTTP libraries omit and entry hosts make,
//! tested on raw sockets.

mod common;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::block_on;
use common::{
    client_address, exchange, get, header, read_all, small_plan, start_deployment, status,
};
use fake::UpstreamFaults;
use std::net::Shutdown;
use std::time::Duration;
use trial::Deployment;

const READ_TIMEOUT: Duration = Duration::from_millis(800);

async fn start_one_host() -> (Deployment, String) {
    let deployment = start_deployment(&small_plan(1, 1)).await;
    let address = client_address(&deployment, 0);
    (deployment, address)
}

#[test]
fn framing_refuses_ambiguous_requests() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
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
            let response = exchange(&address, request.as_bytes()).await;
            assert_eq!(status(&response), expected, "{request:?} gave {response:?}");
            assert_eq!(
                header(&response, "x-verdict"),
                Some("not-run"),
                "{request:?}"
            );
        }
        assert_eq!(deployment.run_log.summary().runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_refuses_oversize_messages() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
        let long_value = "a".repeat(40 << 10);
        let response = exchange(
            &address,
            &get("/mapview/charts/a", &format!("x-long: {long_value}\r\n")),
        )
        .await;
        assert_eq!(status(&response), 431);
        let many_headers = "x-line: 1\r\n".repeat(200);
        let response = exchange(&address, &get("/mapview/charts/a", &many_headers)).await;
        assert_eq!(status(&response), 431);
        let large_request =
            b"POST /abonos/charges HTTP/1.1\r\nhost: t\r\ncontent-length: 9000000\r\n\r\n";
        let response = exchange(&address, large_request).await;
        assert_eq!(status(&response), 413);
        assert_eq!(deployment.run_log.summary().runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_does_not_run_incomplete_body() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
        let incomplete_requests: [&[u8]; 2] = [
            b"POST /abonos/charges HTTP/1.1\r\nhost: t\r\nidempotency-key: h1\r\ncontent-length: 10\r\n\r\nhalf",
            b"POST /abonos/charges HTTP/1.1\r\nhost: t\r\nidempotency-key: h2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ];
        for incomplete_request in incomplete_requests {
            let mut stream = TcpStream::connect(&address).await.expect("a connection");
            stream
                .write_all(incomplete_request)
                .await
                .expect("half of the body is sent");
            stream
                .shutdown(Shutdown::Write)
                .expect("the sending side closes");
            let response = read_all(&mut stream, READ_TIMEOUT).await;
            assert_eq!(status(&response), 400, "{response}");
            assert_eq!(header(&response, "x-cause"), Some("body-incomplete"));
        }
        assert_eq!(deployment.run_log.summary().runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_never_completes_truncated_response() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
        for upstream in deployment.upstreams.values() {
            upstream.set_faults(UpstreamFaults {
                truncated_percent: 100,
                ..UpstreamFaults::default()
            });
        }
        // A small response is read completely first; a truncated one is not forwarded.
        let response = exchange(
            &address,
            &get("/mapview/charts/a", "x-deadline-ms: 900\r\n"),
        )
        .await;
        assert_eq!(
            header(&response, "x-verdict"),
            Some("may-have-run"),
            "{response}"
        );
        // A large response is streamed; the connection closes before its end.
        let headers = "x-answer-bytes: 200000\r\nx-cost-ms: 5\r\n";
        let response = exchange(&address, &get("/puerto/zones/a", headers)).await;
        let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        assert_eq!(header(&response, "content-length"), Some("200000"));
        assert!(body.len() < 200_000, "{} bytes", body.len());
        deployment.shut_down();
    });
}

#[test]
fn framing_discards_unsolicited_response() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
        for upstream in deployment.upstreams.values() {
            upstream.set_faults(UpstreamFaults {
                doubled_percent: 100,
                ..UpstreamFaults::default()
            });
        }
        for number in 0..20 {
            let tag = format!("x-trial-tag: mark{number}\r\n");
            let response = exchange(&address, &get("/mapview/charts/a", &tag)).await;
            let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            assert!(body.starts_with(&format!("mark{number};")), "{response}");
        }
        deployment.shut_down();
    });
}

#[test]
fn framing_cancels_request_of_disconnected_client() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
        let mut stream = TcpStream::connect(&address).await.expect("a connection");
        let request = get("/mapview/charts/a", "x-cost-ms: 1500\r\n");
        stream
            .write_all(&request)
            .await
            .expect("the request is sent");
        async_std::task::sleep(Duration::from_millis(200)).await;
        assert_eq!(running_requests(&deployment), 1);
        drop(stream);
        async_std::task::sleep(Duration::from_millis(400)).await;
        assert_eq!(running_requests(&deployment), 0);
        deployment.shut_down();
    });
}

#[test]
fn framing_strips_forged_headers() {
    block_on(async {
        let (deployment, address) = start_one_host().await;
        let forged_headers = "trestle-secret: x\r\nx-primary-epoch: 999\r\nx-shard: 9\r\nx-shard-epoch: 9\r\nx-not-run: 1\r\n";
        let response = exchange(&address, &get("/mapview/charts/a", forged_headers)).await;
        assert_eq!(status(&response), 200, "{response}");
        let peers = deployment.running_hosts()[0].host.addresses().peers.clone();
        let response = exchange(
            &peers,
            &get("/mapview/charts/a", "trestle-secret: wrong\r\n"),
        )
        .await;
        assert_eq!(
            response, "",
            "the peer port does not answer without the peer secret"
        );
        deployment.shut_down();
    });
}

fn running_requests(deployment: &Deployment) -> usize {
    let upstreams = deployment.upstreams.values();
    upstreams.map(fake::FakeUpstream::running).sum()
}
