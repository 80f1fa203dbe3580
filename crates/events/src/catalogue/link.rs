//! Events of links between processes.

use std::time::Duration;

use crate::declaration::events;

events! {
    /// Events of links between processes.
    pub enum LinkEvent<'a> {
        2001 Opened "link_opened" Info "link opened" {
            peer: &'a str = "Name of the peer.",
            role: &'a str = "Role of the peer.",
        }
            meaning: "A link is authenticated and in use.",
            remedy: "None.";
        2002 Closed "link_closed" Info "link closed" {
            peer: &'a str = "Name of the peer.",
            role: &'a str = "Role of the peer.",
            reason: &'a str = "Reason for the closure.",
        }
            meaning: "A link was closed; the dialling side reconnects.",
            remedy: "None, unless it repeats: then check the peer and the network.";
        2003 Silent "link_silent" Warn "link timed out, reconnecting" {
            peer: &'a str = "Name of the peer.",
            role: &'a str = "Role of the peer.",
            silent: Duration = "Time limit that was exceeded.",
        }
            meaning: "No message was received from the peer, or sent to it, within the time limit, so the link is closed and opened again.",
            remedy: "If it repeats, check the peer's load and the network between the two failure domains.";
        2004 AuthenticationFailed "link_authentication_failed" Error "link authentication failed" {
            address: &'a str = "Address of the peer.",
            reason: &'a str = "Which check failed.",
        }
            meaning: "The peer did not prove that it has the cluster secret.",
            remedy: "Give both processes the same `cluster_secret`; if the address is unknown, find out who connects.";
        2005 DialFailed "link_dial_failed" Warn "peer cannot be reached" {
            address: &'a str = "Address of the peer.",
            error: &'a str = "Error of the connection.",
            retry: Duration = "Delay before the next attempt.",
        }
            meaning: "A connection attempt to a peer failed; it is retried with backoff.",
            remedy: "If it persists, check that the peer is running and that the address in the settings is correct.";
        2006 ProtocolError "link_protocol_error" Error "invalid message from the peer" {
            peer: &'a str = "Name of the peer.",
            error: &'a str = "Error in the message.",
        }
            meaning: "A message could not be decoded or was out of sequence; the link is closed.",
            remedy: "Check that both processes run compatible versions; otherwise report a bug.";
        2007 Overloaded "link_overloaded" Warn "link closed because its send queue is full" {
            peer: &'a str = "Name of the peer.",
            role: &'a str = "Role of the peer.",
            queued: u64 = "Messages in the send queue.",
        }
            meaning: "The peer reads too slowly, so the link is closed and opened again.",
            remedy: "Check the load of the peer and the capacity of the network.";
        2008 NameTaken "link_name_taken" Error "two processes use the same name" {
            peer: &'a str = "Name that both processes use.",
            address: &'a str = "Address of the later process.",
        }
            meaning: "Two running processes of one role present the same name; the later one replaces the earlier one.",
            remedy: "Give each process its own `name` in its settings.";
        2009 RequestsEvicted "requests_evicted" Warn "unfinished requests dropped" {
            count: u64 = "Requests and idle connections dropped since the last event of this kind.",
            charged: u64 = "Bytes of unfinished requests that remain charged.",
            connections: u64 = "Connections that remain open.",
        }
            meaning: "Connections or the bytes of unfinished requests reached their limit, so those furthest behind the minimum rate were dropped; none of the dropped requests has run.",
            remedy: "Find out who sends requests that do not complete; if they are legitimate, raise the limits in the settings.";
        2010 RequestsRefused "requests_refused" Warn "requests refused by the limits on clients" {
            count: u64 = "Requests and connections refused since the last event of this kind.",
            charged: u64 = "Bytes of unfinished requests that are charged.",
            connections: u64 = "Open connections.",
        }
            meaning: "Connections or the bytes of unfinished requests reached their limit and all requests were in progress, so new ones were refused; none of them has run.",
            remedy: "Check the load of the process; raise the limits in the settings or add processes.";
        2011 HandshakesDropped "handshakes_dropped" Warn "unauthenticated links dropped" {
            count: u64 = "Connections dropped since the last event of this kind.",
        }
            meaning: "Too many connections waited for authentication at once, so the oldest of them were dropped.",
            remedy: "Find out who connects to the port for links; processes of the deployment connect again by themselves.";
    }
}
