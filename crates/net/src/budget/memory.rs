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
///         let mut held = req.extensions().get::<RequestMemory>().map(RequestMemory::hold);
///         if let Some(held) = &mut held
///             && !held.raise(expanded_bytes).await
///         {
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

/// Charge for the memory that a handler holds; dropping it ends the charge.
#[derive(Debug)]
#[must_use = "dropping it ends the charge"]
pub struct HeldMemory {
    account: Arc<Account>,
    charged: bool,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if self.charged {
            self.account.release(Part::State);
        }
    }
}

impl RequestMemory {
    pub(crate) fn new(account: Arc<Account>) -> Self {
        Self { account }
    }

    /// Returns a charge of zero. A request holds one charge at a time.
    pub fn hold(&self) -> HeldMemory {
        HeldMemory {
            account: Arc::clone(&self.account),
            charged: false,
        }
    }
}

impl HeldMemory {
    /// Raises the charge to `bytes`, and returns false if the process has no room for it.
    pub async fn raise(&mut self, bytes: usize) -> bool {
        if bytes <= STATE_ALLOTMENT_BYTES {
            return true;
        }
        // Even an attempt that is not granted must be released, because the grant may be on its way.
        self.charged = true;
        self.account.charge(Part::State, bytes, now()).await
    }
}
