//! Requests whose response head has not been written.

use super::*;
use salvo::{Depot, FlowCtrl, Handler, Response};

/// Requests of callers that the process has read and not yet answered.
static UNANSWERED: AtomicU64 = AtomicU64::new(0);

/// Counts the requests that pass through it until their responses begin.
struct Count;

/// One counted request, until it is dropped.
struct Unanswered;

impl Unanswered {
    fn new() -> Self {
        UNANSWERED.fetch_add(1, Ordering::Relaxed);
        Self
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        UNANSWERED.fetch_sub(1, Ordering::Relaxed);
    }
}

#[salvo::async_trait]
impl Handler for Count {
    async fn handle(
        &self,
        request: &mut salvo::Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let _unanswered = Unanswered::new();
        flow.call_next(request, depot, response).await;
    }
}

/// A router that counts the requests to another one.
pub(crate) fn counted(router: Router) -> Router {
    Router::new().hoop(Count).push(router)
}

/// Number of requests that have been read and not answered.
pub(crate) fn count() -> u64 {
    UNANSWERED.load(Ordering::Relaxed)
}
