//! Links over real sockets on loopback: authentication, delivery, silence and reconnection.

use std::time::Duration;

use chestnutfork_net::{
    ClusterSecret, DialConfig, Identity, LinkError, LinkHandler, LinkId, LinkSender, Listener, Metrics, dial,
    listen,
};
use chestnutfork_wire::Role;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// What a handler reports to a test.
#[derive(Debug)]
enum Seen {
    Opened(Identity, LinkSender<String>),
    Received(Vec<String>),
    Closed(LinkError),
}

#[derive(Clone)]
struct Recorder(mpsc::UnboundedSender<Seen>);

impl LinkHandler for Recorder {
    type In = String;
    type Out = String;

    fn opened(&self, _link: LinkId, peer: Identity, tx: LinkSender<String>) {
        let _ = self.0.send(Seen::Opened(peer, tx));
    }

    fn received(&self, _link: LinkId, messages: Vec<String>) {
        let _ = self.0.send(Seen::Received(messages));
    }

    fn closed(&self, _link: LinkId, error: LinkError) {
        let _ = self.0.send(Seen::Closed(error));
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

async fn entry(secret: &str) -> (Listener, String, mpsc::UnboundedReceiver<Seen>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let (tx, rx) = mpsc::unbounded_channel();
    let me = identity(Role::Entry, "entry-1", 1);
    let secret = ClusterSecret::new(secret);
    let listener = listen(socket, me, secret, Metrics::disabled(), move |session| {
        session.run(Recorder(tx.clone()))
    });
    (listener, address, rx)
}

fn agent_config(address: &str, secret: &str) -> DialConfig {
    let me = identity(Role::Agent, "agent-1", 2);
    DialConfig::builder(address, me, ClusterSecret::new(secret)).build()
}

async fn opened(rx: &mut mpsc::UnboundedReceiver<Seen>) -> (Identity, LinkSender<String>) {
    match rx.recv().await.unwrap() {
        Seen::Opened(peer, tx) => (peer, tx),
        other => panic!("expected an open link, saw {other:?}"),
    }
}

async fn received(rx: &mut mpsc::UnboundedReceiver<Seen>, count: usize) -> Vec<String> {
    let mut all = Vec::new();
    while all.len() < count {
        match rx.recv().await.unwrap() {
            Seen::Received(messages) => all.extend(messages),
            other => panic!("expected messages, saw {other:?}"),
        }
    }
    all
}

/// Guards against lost or reordered messages and against a wrong identity of the peer.
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

/// Guards against a process without the cluster secret that joins.
#[tokio::test]
async fn listen_refuses_wrong_secret() {
    let (_listener, address, mut at_entry) = entry("right").await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let dialer = dial(agent_config(&address, "wrong"), Recorder(tx));
    // A peer with the right secret gets through while the other one keeps trying.
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

/// Forwards connections until told to hold back all bytes while leaving the connections open.
async fn relay(to: String, hold: watch::Receiver<bool>) -> String {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (client, _) = socket.accept().await.unwrap();
            let server = TcpStream::connect(&to).await.unwrap();
            let (client_rx, client_tx) = client.into_split();
            let (server_rx, server_tx) = server.into_split();
            tokio::spawn(forward(client_rx, server_tx, hold.clone()));
            tokio::spawn(forward(server_rx, client_tx, hold.clone()));
        }
    });
    address
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    hold: watch::Receiver<bool>,
) {
    let mut buf = vec![0; 4_096];
    let born_held = *hold.borrow();
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        // Connections that were open when the hold began stay silent for good; new ones work.
        if *hold.borrow() && !born_held {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

/// Guards against a connection that went silent for good and is never replaced while new ones work.
#[tokio::test]
async fn dial_replaces_silent_connection() {
    let (_listener, address, mut at_entry) = entry("s").await;
    let (hold, on_hold) = watch::channel(false);
    let address = relay(address, on_hold).await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let _dialer = dial(agent_config(&address, "s"), Recorder(tx));
    let _open_at_agent = opened(&mut at_agent).await;
    let _open_at_entry = opened(&mut at_entry).await;
    hold.send_replace(true);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(4)).await;
    let mut closed = Vec::new();
    while closed.is_empty() {
        if let Seen::Closed(error) = at_agent.recv().await.unwrap() {
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
            Seen::Received(messages) => {
                assert_eq!(messages, ["again"]);
                return;
            }
            Seen::Opened(_, tx) => open_links.push(tx),
            Seen::Closed(_) => {}
        }
    }
}

/// Guards against an accepted role that the dialling side did not mean to reach.
#[tokio::test]
async fn dial_refuses_wrong_role() {
    let (_listener, address, mut at_entry) = entry("s").await;
    let (tx, mut at_agent) = mpsc::unbounded_channel();
    let me = identity(Role::Agent, "agent-1", 2);
    let cfg = DialConfig::builder(&address, me, ClusterSecret::new("s"))
        .expected_role(Role::Control)
        .build();
    let dialer = dial(cfg, Recorder(tx));
    // The accepting side sees the link open and close again.
    opened(&mut at_entry).await;
    assert!(matches!(at_entry.recv().await.unwrap(), Seen::Closed(_)));
    drop(dialer);
    assert!(
        at_agent.recv().await.is_none(),
        "a link to the wrong role was opened"
    );
}
