//! A body on its way from an upstream or another host.

use crate::answer::{AnswerBody, BodyStream, WHOLE_BELOW_BYTES};
use crate::pool::{ConnectionPool, PooledConnection};
use async_std::future::timeout;
use futures::FutureExt;
use futures::future::BoxFuture;
use h1::{BodyLength, BodyReader, ResponseHead};
use kernel::{Cause, Refusal};
use std::sync::Arc;
use std::time::Duration;

/// Something that an exchange holds until its body's end.
pub(crate) trait ExchangeHold: Send + 'static {
    /// Lets go after the last part; dropping it instead means a cut.
    fn release(self);
}

impl ExchangeHold for () {
    fn release(self) {}
}

/// What a body that is read whole fails with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyCauses {
    /// It was cut short.
    pub cut: Cause,
    /// It did not arrive in time.
    pub late: Cause,
}

/// A body that is read part by part from a pooled connection.
pub(crate) struct RemoteBody<H: ExchangeHold> {
    pool: Arc<ConnectionPool>,
    reader: BodyReader,
    length: Option<u64>,
    pooled: Option<PooledConnection>,
    keeps_alive: bool,
    stall: Duration,
    hold: Option<H>,
}

impl<H: ExchangeHold> RemoteBody<H> {
    /// Starts after a head; `stall` is the longest time without progress.
    pub fn new(
        pool: &Arc<ConnectionPool>,
        pooled: PooledConnection,
        head: &ResponseHead,
        stall: Duration,
        hold: H,
    ) -> Result<Self, Cause> {
        let length = match head.body {
            BodyLength::Fixed(length) => Some(length),
            BodyLength::Chunked => None,
            // Its end can't be told from a cut.
            BodyLength::UntilClose => return Err(Cause::AnswerInvalid),
        };
        Ok(Self {
            pool: Arc::clone(pool),
            reader: BodyReader::new(head.body),
            length,
            pooled: Some(pooled),
            keeps_alive: head.keeps_alive,
            stall,
            hold: Some(hold),
        })
    }

    /// Reads a small body whole within `left`; a large one is left to be streamed.
    pub async fn into_answer(
        mut self,
        left: Duration,
        causes: BodyCauses,
    ) -> Result<AnswerBody, Refusal> {
        let length = self.length;
        if length.is_none_or(|length| length > WHOLE_BELOW_BYTES) {
            return Ok(AnswerBody::Stream(length, Box::new(self)));
        }
        match timeout(left, self.read_whole()).await {
            Ok(Ok(body)) => Ok(AnswerBody::Whole(body)),
            Ok(Err(_cut)) => Err(causes.cut.into()),
            Err(_elapsed) => Err(causes.late.into()),
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
        let part = timeout(self.stall, reading)
            .await
            .map_err(|_elapsed| h1::Error::Truncated)??;
        if self.reader.is_done() {
            self.finish();
        }
        Ok(part)
    }

    /// Gives connection and hold back after the last part.
    fn finish(&mut self) {
        if let Some(hold) = self.hold.take() {
            hold.release();
        }
        let Some(pooled) = self.pooled.take() else {
            return;
        };
        // Bytes beyond the answer mean that the connection is out of step.
        if self.keeps_alive && !pooled.connection.has_buffered_bytes() {
            self.pool.keep(pooled);
        }
    }
}

impl<H: ExchangeHold> BodyStream for RemoteBody<H> {
    fn next(&mut self) -> BoxFuture<'_, h1::Result<Option<Vec<u8>>>> {
        self.read_part().boxed()
    }
}
