//! HTTP server for callers, operators and targets, and the HTTP client.

mod activity;
mod body;
mod connection;
mod message;
mod refusal;
mod server;
mod stream;

pub use message::{Body, HttpClient, bearer_token, header_token, http_client, json_response};
pub use server::{HttpHandler, HttpLimits, HttpServer, HttpServerBuilder};
