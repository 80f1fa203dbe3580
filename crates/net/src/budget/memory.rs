//! Memory that a handler holds for a request beyond its body, such as the state of a job.

use std::sync::Arc;

use super::{Account, Part};
use crate::wakeup::now;

/// State of a request that needs no charge. The state of an ordinary job is smaller.
const STATE_ALLOTMENT_BYTES: usize = 8 * 1024;

/// Access of a handler to the budget of the process, in the extensions of each request.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use chestnutfork_net::{Body, HttpHandler, RequestMemory, json_response};
/// use hyper::{Request, Response, StatusCode};
///
/// #[derive(Clone)]
/// struct Expander;
///
/// impl HttpHandler for Expander {
///     async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
///         let expanded_bytes = req.body().len() * 100;
///         let memory = req.extensions().get::<RequestMemory>();
///         let held = match memory {
///             Some(memory) => memory.hold(expanded_bytes).await,
///             None => None,
///         };
///         if held.is_none() {
///             return json_response(StatusCode::SERVICE_UNAVAILABLE, &"overloaded");
///         }
///         // The charge ends with `held`.
///         json_response(StatusCode::OK, &expanded_bytes)
///     }
/// }
/// ```
#[derive(Clone, Debug)]
pub struct RequestMemory {
    account: Arc<Account>,
}

/// Memory that is charged to the budget; dropping it ends the charge. The default is no charge.
#[derive(Debug, Default)]
#[must_use = "dropping it ends the charge"]
pub struct HeldMemory {
    account: Option<Arc<Account>>,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            account.release(Part::State);
        }
    }
}

impl RequestMemory {
    pub(crate) fn new(account: Arc<Account>) -> Self {
        Self { account }
    }

    /// Charges memory that the handler holds until the request is answered, and returns `None` if the process has no
    /// room for it.
    ///
    /// A request holds one such charge at a time.
    pub async fn hold(&self, bytes: usize) -> Option<HeldMemory> {
        if bytes <= STATE_ALLOTMENT_BYTES {
            return Some(HeldMemory::default());
        }
        // Even an attempt that is not granted must be released, because the grant may be on its way.
        let held = HeldMemory {
            account: Some(Arc::clone(&self.account)),
        };
        let granted = self.account.charge(Part::State, bytes, now()).await;
        granted.then_some(held)
    }
}
