//! Who a caller is: bearer tokens against the customers of the configuration.

use barleyspar_control_log::ControlState;
use barleyspar_domain::CustomerSpec;
use poem::Request;
use poem::http::StatusCode;
use sha2::{Digest, Sha256};

use crate::http::BadRequest;

/// SHA-256 of the request's bearer token, in lower-case hexadecimal.
pub fn token_digest(request: &Request) -> Result<String, BadRequest> {
    let refuse = || BadRequest::new(StatusCode::UNAUTHORIZED, "a bearer token is required");
    let value = request.headers().get("authorization").ok_or_else(refuse)?;
    let text = value.to_str().map_err(|_| refuse())?;
    let token = text.strip_prefix("Bearer ").ok_or_else(refuse)?;
    Ok(format!("{:x}", Sha256::digest(token.trim().as_bytes())))
}

/// The customer whose token the request carries. Only digests are compared, so
/// the time a comparison takes tells nothing about a token.
pub fn customer<'a>(
    state: &'a ControlState,
    request: &Request,
) -> Result<&'a CustomerSpec, BadRequest> {
    let digest = token_digest(request)?;
    let mut customers = state.customers();
    customers
        .find(|customer| customer.token_sha256 == digest)
        .ok_or_else(|| BadRequest::new(StatusCode::UNAUTHORIZED, "the bearer token is unknown"))
}
