//! A store wrapper that counts calls, as the platform charges for each of them.

use prometheus::IntCounterVec;
use std::sync::Arc;
use std::time::Duration;
use store::{FeedReply, RowPage, RowStore, RowWrite, StoreFuture, WriteError, WriteReceipt};

/// Forwards calls to a store and counts them by call and table.
#[derive(Debug)]
pub(crate) struct CountedStore {
    store: Arc<dyn RowStore>,
    calls: IntCounterVec,
}

impl CountedStore {
    pub(crate) fn new(store: Arc<dyn RowStore>, calls: IntCounterVec) -> Self {
        Self { store, calls }
    }

    fn count(&self, call: &str, table: &str) {
        self.calls.with_label_values(&[call, table]).inc();
    }
}

impl RowStore for CountedStore {
    fn list<'a>(&'a self, table: &'a str) -> StoreFuture<'a, RowPage> {
        self.count("list", table);
        self.store.list(table)
    }

    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'a, FeedReply> {
        self.count("feed", table);
        self.store.feed(table, after, wait)
    }

    fn write<'a>(&'a self, write: &'a RowWrite) -> StoreFuture<'a, WriteReceipt, WriteError> {
        let table = write
            .sets
            .last()
            .map_or("", |(name, _)| name.table.as_str());
        self.count("write", table);
        self.store.write(write)
    }
}
