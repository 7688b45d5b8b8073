//! Bodies of answers, read from an upstream or another host.

use crate::answer::{AnswerBody, BodyStream, MAX_BUFFERED_BODY_BYTES};
use crate::pool::{ConnectionPool, PooledConnection};
use async_std::future::timeout;
use futures::FutureExt;
use futures::future::BoxFuture;
use h1::{BodyLength, BodyReader, ResponseHead};
use kernel::{Cause, Refusal};
use std::sync::Arc;
use std::time::Duration;

/// A resource that an exchange holds until the end of the answer's body.
pub(crate) trait ExchangeGuard: Send + 'static {
    /// Frees the resource after the last part; dropping it instead means that the
    /// body was cut short.
    fn complete(self);
}

impl ExchangeGuard for () {
    fn complete(self) {}
}

/// Causes of refusal for a body that is buffered and fails.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyFailureCauses {
    /// The body was cut short.
    pub truncated: Cause,
    /// The body did not arrive in time.
    pub timed_out: Cause,
}

/// A body that is read part by part from a pooled connection.
pub(crate) struct RemoteBody<G: ExchangeGuard> {
    pool: Arc<ConnectionPool>,
    reader: BodyReader,
    length: Option<u64>,
    pooled: Option<PooledConnection>,
    keeps_alive: bool,
    stall_timeout: Duration,
    guard: Option<G>,
}

impl<G: ExchangeGuard> RemoteBody<G> {
    /// Starts reading after `head`; `stall_timeout` is the maximum time without
    /// progress.
    ///
    /// # Errors
    ///
    /// Fails when only the end of the connection marks the end of the body.
    pub fn new(
        pool: &Arc<ConnectionPool>,
        pooled: PooledConnection,
        head: &ResponseHead,
        stall_timeout: Duration,
        guard: G,
    ) -> Result<Self, Cause> {
        let length = match head.body {
            BodyLength::Fixed(length) => Some(length),
            BodyLength::Chunked => None,
            // Its end can't be distinguished from a truncation.
            BodyLength::UntilClose => return Err(Cause::AnswerInvalid),
        };
        Ok(Self {
            pool: Arc::clone(pool),
            reader: BodyReader::new(head.body),
            length,
            pooled: Some(pooled),
            keeps_alive: head.keeps_alive,
            stall_timeout,
            guard: Some(guard),
        })
    }

    /// Buffers a small body within `remaining`; a larger one is returned as a stream.
    ///
    /// # Errors
    ///
    /// Fails with one of `causes` if a small body is cut short or late.
    pub async fn into_answer(
        mut self,
        remaining: Duration,
        causes: BodyFailureCauses,
    ) -> Result<AnswerBody, Refusal> {
        let length = self.length;
        if length.is_none_or(|length| length > MAX_BUFFERED_BODY_BYTES) {
            return Ok(AnswerBody::Stream(length, Box::new(self)));
        }
        match timeout(remaining, self.read_whole()).await {
            Ok(Ok(body)) => Ok(AnswerBody::Whole(body)),
            Ok(Err(_error)) => Err(causes.truncated.into()),
            Err(_elapsed) => Err(causes.timed_out.into()),
        }
    }

    async fn read_whole(&mut self) -> h1::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.read_part().await? {
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    async fn read_part(&mut self) -> h1::Result<Option<Vec<u8>>> {
        let Some(pooled) = &mut self.pooled else {
            return Ok(None);
        };
        let reading = self.reader.next(&mut pooled.connection);
        let part = timeout(self.stall_timeout, reading)
            .await
            .map_err(|_elapsed| h1::Error::Truncated)??;
        if self.reader.is_done() {
            self.finish();
        }
        Ok(part)
    }

    /// Returns the connection to the pool and completes the guard after the last part.
    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.complete();
        }
        let Some(pooled) = self.pooled.take() else {
            return;
        };
        // Bytes after the answer mean that the connection is out of sync.
        if self.keeps_alive && !pooled.connection.has_buffered_bytes() {
            self.pool.keep(pooled);
        }
    }
}

impl<G: ExchangeGuard> BodyStream for RemoteBody<G> {
    fn next(&mut self) -> BoxFuture<'_, h1::Result<Option<Vec<u8>>>> {
        self.read_part().boxed()
    }
}
