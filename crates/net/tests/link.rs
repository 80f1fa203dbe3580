//! Links over loopback sockets: authentication, delivery, detection of unresponsive peers and reconnection.

use std::time::Duration;

use chestnutfork_net::{
    ClusterSecret, DialConfig, Identity, LinkError, LinkHandler, LinkId, LinkSender, Listener, Metrics,
    ProcessLimits, dial, listen,
};
use chestnutfork_wire::Role;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Link event that a [`Recorder`] passes to a test.
#[derive(Debug)]
enum Event {
    Opened(Identity, LinkSender<String>),
    Received(Vec<String>),
    Closed(LinkError),
}

#[derive(Clone)]
struct Recorder(mpsc::UnboundedSender<Event>);

impl LinkHandler for Recorder {
    type In = String;
    type Out = String;

    fn opened(&self, _link: LinkId, peer: Identity, tx: LinkSender<String>) {
        let _ = self.0.send(Event::Opened(peer, tx));
    }

    fn received(&self, _link: LinkId, messages: Vec<String>) {
        let _ = self.0.send(Event::Received(messages));
    }

    fn closed(&self, _link: LinkId, error: LinkError) {
        let _ = self.0.send(Event::Closed(error));
    }
}

fn identity(role: Role, name: &str, process: u64) -> Identity {
    Identity {
        role,
        name: name.into(),
        process,
        address: String::new(),
    }
}

async fn entry(secret: &str) -> (Listener, String, mpsc::UnboundedReceiver<Event>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let (tx, rx) = mpsc::unbounded_channel();
    let local = identity(Role::Entry, "entry-1", 1);
    let secret = ClusterSecret::new(secret);
    let listener = listen(
        socket,
        local,
        secret,
        Metrics::disabled(),
        ProcessLimits::default(),
        move |session| session.run(Recorder(tx.clone())),
    );
    (listener, address, rx)
}

fn agent_config(address: &str, secret: &str) -> DialConfig {
    let local = identity(Role::Agent, "agent-1", 2);
    DialConfig::builder(address, local, ClusterSecret::new(secret)).build()
}

async fn opened(rx: &mut mpsc::UnboundedReceiver<Event>) -> (Identity, LinkSender<String>) {
    match rx.recv().await.unwrap() {
        Event::Opened(peer, tx) => (peer, tx),
        other => panic!("expected an open link, saw {other:?}"),
    }
}

async fn received(rx: &mut mpsc::UnboundedReceiver<Event>, count: usize) -> Vec<String> {
    let mut all = Vec::new();
    while all.len() < count {
        match rx.recv().await.unwrap() {
            Event::Received(messages) => all.extend(messages),
            other => panic!("expected messages, saw {other:?}"),
        }
    }
    all
}

/// Guards against lost or reordered messages and a wrong peer identity.
#[tokio::test]
async fn dial_delivers_messages_in_order() {
    let (_listener, address, mut at_entry) = entry("s").await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let _dialer = dial(agent_config(&address, "s"), Recorder(tx));
    let (entry_seen, to_entry) = opened(&mut at_agent).await;
    let (agent_seen, to_agent) = opened(&mut at_entry).await;
    assert_eq!((entry_seen.name.as_str(), entry_seen.process), ("entry-1", 1));
    assert_eq!((agent_seen.name.as_str(), agent_seen.process), ("agent-1", 2));
    let sent: Vec<_> = (0..1_000).map(|n| n.to_string()).collect();
    for message in &sent {
        assert!(to_entry.send(message.clone()));
        assert!(to_agent.send(message.clone()));
    }
    assert_eq!(received(&mut at_entry, 1_000).await, sent);
    assert_eq!(received(&mut at_agent, 1_000).await, sent);
}

/// Guards against a link to a process that does not have the cluster secret.
#[tokio::test]
async fn listen_refuses_wrong_secret() {
    let (_listener, address, mut at_entry) = entry("right").await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let dialer = dial(agent_config(&address, "wrong"), Recorder(tx));
    // A peer with the right secret connects while the other one retries.
    let (good_tx, mut at_good) = mpsc::unbounded_channel();
    let _good = dial(agent_config(&address, "right"), Recorder(good_tx));
    opened(&mut at_good).await;
    opened(&mut at_entry).await;
    drop(dialer);
    assert!(
        at_agent.recv().await.is_none(),
        "the link with the wrong secret was opened"
    );
}

/// Starts a proxy. Once `stall` is set, connections that were already open stay open but forward nothing.
async fn start_proxy(to: String, stall: watch::Receiver<bool>) -> String {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (client, _) = socket.accept().await.unwrap();
            let server = TcpStream::connect(&to).await.unwrap();
            let (client_rx, client_tx) = client.into_split();
            let (server_rx, server_tx) = server.into_split();
            tokio::spawn(forward(client_rx, server_tx, stall.clone()));
            tokio::spawn(forward(server_rx, client_tx, stall.clone()));
        }
    });
    address
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    stall: watch::Receiver<bool>,
) {
    let mut buf = vec![0; 4_096];
    let opened_stalled = *stall.borrow();
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        // Connections that were open before the stall never forward again; new ones do.
        if *stall.borrow() && !opened_stalled {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

/// Guards against a connection that has stopped delivering data and is never replaced, although new ones work.
#[tokio::test]
async fn dial_replaces_silent_connection() {
    let (_listener, address, mut at_entry) = entry("s").await;
    let (stall, stalled) = watch::channel(false);
    let address = start_proxy(address, stalled).await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let _dialer = dial(agent_config(&address, "s"), Recorder(tx));
    let _open_at_agent = opened(&mut at_agent).await;
    let _open_at_entry = opened(&mut at_entry).await;
    stall.send_replace(true);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(4)).await;
    let mut closed = Vec::new();
    while closed.is_empty() {
        if let Event::Closed(error) = at_agent.recv().await.unwrap() {
            closed.push(error);
        }
    }
    tokio::time::resume();
    assert!(matches!(closed[0], LinkError::TimedOut), "{closed:?}");
    let (_, to_entry) = opened(&mut at_agent).await;
    to_entry.send("again".into());
    let mut open_links = Vec::new();
    loop {
        match at_entry.recv().await.unwrap() {
            Event::Received(messages) => {
                assert_eq!(messages, ["again"]);
                return;
            }
            Event::Opened(_, tx) => open_links.push(tx),
            Event::Closed(_) => {}
        }
    }
}

/// Guards against a link to a peer whose role is not the expected one.
#[tokio::test]
async fn dial_refuses_wrong_role() {
    let (_listener, address, mut at_entry) = entry("s").await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let local = identity(Role::Agent, "agent-1", 2);
    let cfg = DialConfig::builder(&address, local, ClusterSecret::new("s"))
        .expected_role(Role::Control)
        .build();
    let dialer = dial(cfg, Recorder(tx));
    // The accepting side sees the link open and then close.
    opened(&mut at_entry).await;
    assert!(matches!(at_entry.recv().await.unwrap(), Event::Closed(_)));
    drop(dialer);
    assert!(
        at_agent.recv().await.is_none(),
        "a link to the wrong role was opened"
    );
}
