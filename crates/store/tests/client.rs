//! Tests of how the client reports requests that get no valid answer.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::block_on;
use http_types::Method;
use rstest::rstest;
use std::time::Duration;
use store::{ClientError, CommitError, HttpPlatform, JsonClient, StoreTransaction, TableStore};

const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that reads a request on each connection and writes `answer`, or
/// stays silent if it is empty.
async fn serve(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    async_std::task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            if stream.read(&mut buffer).await.is_ok() && !answer.is_empty() {
                // The client may have closed the connection.
                let _write_result = stream.write_all(answer.as_bytes()).await;
            } else {
                async_std::task::sleep(TIMEOUT * 4).await;
            }
        }
    });
    address
}

#[rstest]
#[case::silent("")]
#[case::cut("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n[]")]
#[case::garbage("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{")]
#[case::broken("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n")]
#[case::status_zero("HTTP/1.1 000 Odd\r\ncontent-length: 2\r\n\r\n[]")]
#[case::status_600("HTTP/1.1 600 Odd\r\ncontent-length: 2\r\n\r\n[]")]
#[case::status_999("HTTP/1.1 999 Odd\r\ncontent-length: 2\r\n\r\n[]")]
#[case::protocol("HTTP/1.1 101 Switching Protocols\r\ncontent-length: 2\r\n\r\n[]")]
fn commit_unknown_without_answer(#[case] answer: &'static str) {
    block_on(async {
        let platform = HttpPlatform::new(&serve(answer).await, &[], TIMEOUT);
        let outcome = platform.commit(&StoreTransaction::default()).await;
        assert!(
            matches!(outcome, Err(CommitError::Unknown(_))),
            "{outcome:?}"
        );
    });
}

#[rstest]
#[case::limited("HTTP/1.1 429 Too Many\r\ncontent-length: 0\r\n\r\n")]
#[case::unavailable("HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n")]
fn commit_not_attempted_when_refused(#[case] answer: &'static str) {
    block_on(async {
        let platform = HttpPlatform::new(&serve(answer).await, &[], TIMEOUT);
        let outcome = platform.commit(&StoreTransaction::default()).await;
        assert!(
            matches!(outcome, Err(CommitError::NotAttempted(_))),
            "{outcome:?}"
        );
    });
}

#[test]
fn commit_uses_relay_when_platform_is_unreachable() {
    block_on(async {
        let relay =
            serve("HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n[{\"key\":\"a\",\"version\":3}]\n")
                .await;
        let platform = HttpPlatform::new("127.0.0.1:1", &[relay], TIMEOUT);
        let versions = platform.commit(&StoreTransaction::default()).await.unwrap();
        assert_eq!(versions[0].version, 3);
    });
}

#[test]
fn client_not_sent_without_listener() {
    block_on(async {
        let client = JsonClient::new("127.0.0.1:1", TIMEOUT);
        let outcome = client.send(Method::Post, "/", &[]).await;
        assert!(
            matches!(outcome, Err(ClientError::NotSent(_))),
            "{outcome:?}"
        );
    });
}

/// An interim answer is not the end of the exchange: the connection is not used again, as
/// the next request on it would take the final answer for its own.
#[rstest]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::protocol("HTTP/1.1 101 Switching Protocols\r\ncontent-length: 2\r\n\r\n[]")]
fn client_interim_answer_is_no_answer(#[case] answer: &'static str) {
    block_on(async {
        let client = JsonClient::new(&serve(answer).await, TIMEOUT);
        for _ in 0..2 {
            let outcome = client.send(Method::Post, "/", &[]).await;
            assert!(
                matches!(outcome, Err(ClientError::NoAnswer(_))),
                "{outcome:?}"
            );
        }
    });
}
