//! Immutable snapshot of sheet, upstreams and owners that requests are routed by.

use arc_swap::ArcSwap;
use evac::EvacOrders;
use fleet::KnownUpstream;
use grant::OwnerMap;
use indexmap::IndexMap;
use kernel::{ServiceName, UpstreamId};
use route::PrefixTable;
use sheet::{ClientLimits, RouteSheet};
use std::sync::Arc;

/// Sheet, upstreams and owners at one point in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrontView {
    pub routes: Arc<PrefixTable>,
    pub sheet: Option<Arc<RouteSheet>>,
    pub upstreams: Arc<IndexMap<UpstreamId, KnownUpstream>>,
    /// Upstreams by the hash that messages refer to them by.
    pub upstream_hashes: Arc<IndexMap<u32, UpstreamId>>,
    pub by_service: Arc<IndexMap<ServiceName, Vec<UpstreamId>>>,
    pub owners: Arc<IndexMap<ServiceName, OwnerMap>>,
    /// Orders to evacuate failure domains.
    pub orders: Arc<EvacOrders>,
}

impl FrontView {
    pub(crate) fn limits(&self) -> ClientLimits {
        self.sheet
            .as_ref()
            .map_or_else(ClientLimits::default, |sheet| sheet.limits)
    }

    pub(crate) fn is_sharded(&self, service: &ServiceName) -> bool {
        let sheet = self.sheet.as_ref();
        sheet
            .and_then(|sheet| sheet.services.get(service))
            .is_some_and(|service| service.is_sharded)
    }
}

/// The current view, read without a lock.
pub(crate) type SharedView = ArcSwap<FrontView>;
