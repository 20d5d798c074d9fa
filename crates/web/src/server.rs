//! Start of an HTTP server.

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

/// Starts a server whose handlers run to completion even when the caller disconnects.
///
/// # Errors
///
/// Returns why the server could not be built, for example because the address is in use.
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

const KNOWN_METHODS: [Method; 4] = [Method::GET, Method::POST, Method::PUT, Method::DELETE];

/// Path parameter of [`reject_method_on_name`].
#[derive(Deserialize, JsonSchema)]
struct NamePath {
    #[serde(rename = "name")]
    _name: String,
}

/// Responds to GET, POST, PUT and DELETE, except the methods in `allowed`, with a typed error; `path` may contain
/// `{name}`.
///
/// # Panics
///
/// Panics if the path was registered with one of the rejected methods before.
pub fn reject_other_methods<C: ServerContext>(api: &mut ApiDescription<C>, path: &str, allowed: &[Method]) {
    for method in KNOWN_METHODS.iter().filter(|method| !allowed.contains(method)) {
        let name = format!("refuse {method} {path}");
        let (json, all) = ("application/json", ApiEndpointVersions::All);
        let method = method.clone();
        let endpoint = match path.contains("{name}") {
            true => ApiEndpoint::new(name, reject_method_on_name::<C>, method, json, path, all),
            false => ApiEndpoint::new(name, reject_method::<C>, method, json, path, all),
        };
        api.register(endpoint.visible(false)).expect("each path and method is registered once");
    }
}

async fn reject_method<C: ServerContext>(
    cx: RequestContext<C>,
) -> std::result::Result<dropshot::HttpResponseOk<()>, ApiError> {
    let message = format!("{} is not possible here", cx.request.method());
    Err(ApiError::new(405, "method_not_allowed", message))
}

async fn reject_method_on_name<C: ServerContext>(
    cx: RequestContext<C>,
    _path: Path<NamePath>,
) -> std::result::Result<dropshot::HttpResponseOk<()>, ApiError> {
    reject_method(cx).await
}
