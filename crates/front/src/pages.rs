//! HTTP server for the readiness check and the metrics.

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use h1::{Connection, HeadLimits, HeaderList, encode_response_head};
use kernel::TaskScope;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which a connection stays open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers a request for a path with a status and a text.
pub(crate) trait PageSource: Send + Sync + fmt::Debug {
    /// Returns the status and text for a path.
    fn page(&self, path: &str) -> (u16, String);
}

/// Serves pages until the scope is closed.
pub(crate) async fn serve_pages(
    listener: Arc<TcpListener>,
    source: Arc<dyn PageSource>,
    scope: TaskScope,
) {
    loop {
        let stream = h1::accept(&listener, "pages").await;
        let source = Arc::clone(&source);
        scope.spawn(async move { serve_connection(stream, &*source).await });
    }
}

async fn serve_connection(stream: TcpStream, source: &dyn PageSource) {
    let mut connection = Connection::new(stream);
    let limits = HeadLimits::default();
    loop {
        let request = connection.read_request(&limits);
        let Ok(Ok(Some(head))) = timeout(IDLE_TIMEOUT, request).await else {
            return;
        };
        let (status, text) = source.page(&head.target);
        let mut headers = HeaderList::new();
        headers.push("content-length", text.len().to_string());
        let mut bytes = encode_response_head(status, &headers);
        bytes.extend_from_slice(text.as_bytes());
        if connection.write(&bytes).await.is_err() || !head.keeps_alive {
            return;
        }
    }
}
