//! Authenticated WebSocket links and HTTP helpers.
