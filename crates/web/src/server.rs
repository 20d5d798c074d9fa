//! Starting an HTTP server.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, ConfigDropshot, HandlerTaskMode, HttpServer, Path,
    RequestContext, ServerBuilder, ServerContext,
};
use http::Method;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::error::ApiError;

/// Result of starting a server.
pub type Result<T> = std::result::Result<T, dropshot::BuildError>;

/// Starts a server whose handlers run to their end even when the caller goes away.
///
/// # Errors
///
/// Returns why the address could not be bound.
pub fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
    body_limit_bytes: usize,
) -> Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: body_limit_bytes,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, context, log).config(config).start()
}

const METHODS: [Method; 4] = [Method::GET, Method::POST, Method::PUT, Method::DELETE];

/// The one parameter that a path may have.
#[derive(Deserialize, JsonSchema)]
struct NamePath {
    #[serde(rename = "name")]
    _name: String,
}

/// Answers every method other than `allowed` on `path` with a typed error; the path may hold `{name}`.
///
/// # Panics
///
/// Panics if the path was registered with one of the other methods before.
pub fn refuse_other_methods<C: ServerContext>(api: &mut ApiDescription<C>, path: &str, allowed: &[Method]) {
    for method in METHODS.iter().filter(|method| !allowed.contains(method)) {
        let name = format!("refuse {method} {path}");
        let (json, all) = ("application/json", ApiEndpointVersions::All);
        let method = method.clone();
        let endpoint = match path.contains("{name}") {
            true => ApiEndpoint::new(name, refuse_named::<C>, method, json, path, all),
            false => ApiEndpoint::new(name, refuse::<C>, method, json, path, all),
        };
        api.register(endpoint.visible(false)).expect("paths and methods are registered once");
    }
}

async fn refuse<C: ServerContext>(
    cx: RequestContext<C>,
) -> std::result::Result<dropshot::HttpResponseOk<()>, ApiError> {
    let message = format!("{} is not possible here", cx.request.method());
    Err(ApiError::new(405, "method_not_allowed", message))
}

async fn refuse_named<C: ServerContext>(
    cx: RequestContext<C>,
    _path: Path<NamePath>,
) -> std::result::Result<dropshot::HttpResponseOk<()>, ApiError> {
    refuse(cx).await
}
