//! Parts that the tests of the selection share.

use kernel::ServiceName;
use place::RequestWork;

/// The service and route of a test's requests.
pub struct Work {
    service: ServiceName,
    route: String,
}

impl Work {
    pub fn new(service: &str, route: &str) -> Self {
        Self {
            service: service.into(),
            route: route.to_owned(),
        }
    }

    pub fn get(&self) -> RequestWork<'_> {
        RequestWork {
            service: &self.service,
            route: &self.route,
        }
    }
}

impl Default for Work {
    fn default() -> Self {
        Self::new("charts", "read")
    }
}
