//! Authentication of client accounts and operators by API key, with constant-time comparison.

use std::collections::BTreeMap;

use dropshot::{RequestContext, ServerContext};
use sorrelland_core::id::AccountId;
use sorrelland_web::ApiError;
use subtle::ConstantTimeEq;

pub type Result<T> = std::result::Result<T, ApiError>;

/// API keys that an entry accepts, by account and by operator.
pub struct Keys {
    accounts: BTreeMap<String, String>,
    operators: BTreeMap<String, String>,
}

impl Keys {
    /// Creates the tables from the settings, with keys by name.
    pub fn new(accounts: &BTreeMap<String, String>, operators: &BTreeMap<String, String>) -> Self {
        Self { accounts: accounts.clone(), operators: operators.clone() }
    }

    /// Returns the account whose key the request carries.
    ///
    /// # Errors
    ///
    /// Returns 401 when there is no such key.
    pub fn account<C: ServerContext>(&self, cx: &RequestContext<C>) -> Result<AccountId> {
        let name = find_owner(&self.accounts, cx);
        name.map(AccountId::new)
            .ok_or_else(|| ApiError::new(401, "bad_account_key", "no client account has this key"))
    }

    /// Returns the operator whose key the request carries.
    ///
    /// # Errors
    ///
    /// Returns 401 when there is no such key.
    pub fn operator<C: ServerContext>(&self, cx: &RequestContext<C>) -> Result<String> {
        let name = find_owner(&self.operators, cx);
        name.map(str::to_owned)
            .ok_or_else(|| ApiError::new(401, "bad_operator_key", "no operator has this key"))
    }
}

/// Returns the name whose key the request carries as bearer token.
fn find_owner<'a, C: ServerContext>(
    keys: &'a BTreeMap<String, String>,
    cx: &RequestContext<C>,
) -> Option<&'a str> {
    let header = cx.request.headers().get(http::header::AUTHORIZATION)?;
    let given = header.to_str().ok()?.strip_prefix("Bearer ")?.as_bytes();
    // All keys are compared, so that the duration does not depend on which key matches.
    let mut found = None;
    for (name, key) in keys {
        if bool::from(key.as_bytes().ct_eq(given)) {
            found = Some(name.as_str());
        }
    }
    found
}
