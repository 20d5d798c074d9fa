//! TCP proxy on loopback whose connections can be delayed, reset, cut in one or both directions, or refused.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// What is done to the connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// Delay of each chunk of data.
    pub delay: Duration,
    /// Data towards the server is held back, and delivered when this is cleared.
    pub hold_requests: bool,
    /// Data towards the client is held back, and delivered when this is cleared.
    pub hold_responses: bool,
    /// New connections are reset.
    pub refuse: bool,
    /// Open and new connections are reset.
    pub reset: bool,
    /// The rules apply to one connection in this many; 0 and 1 for all.
    pub one_in: u64,
}

impl Rules {
    fn apply_to(&self, number: u64) -> bool {
        self.one_in <= 1 || number.is_multiple_of(self.one_in)
    }
}

/// Running proxy; it ends with the runtime.
#[derive(Debug)]
pub struct Proxy(watch::Sender<Rules>);

impl Proxy {
    /// Starts to forward connections from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be used.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let sender = watch::Sender::new(Rules::default());
        let receiver = sender.subscribe();
        tokio::spawn(async move {
            for number in 0.. {
                // A failed accept concerns one connection; the client retries.
                let Ok((client, _)) = listener.accept().await else { continue };
                let rules = *receiver.borrow();
                if (rules.refuse || rules.reset) && rules.apply_to(number) {
                    abort(&client);
                    continue;
                }
                tokio::spawn(forward(client, target, receiver.clone(), number));
            }
        });
        Ok(Self(sender))
    }

    /// Sets the rules for open and new connections.
    pub fn set(&self, rules: Rules) {
        self.0.send_replace(rules);
    }
}

/// Makes the end of a connection a reset.
fn abort(stream: &TcpStream) {
    // Fails only on a connection that is closed already.
    let _ = stream.set_zero_linger();
}

async fn forward(mut client: TcpStream, target: SocketAddr, rules: watch::Receiver<Rules>, number: u64) {
    let Ok(mut server) = TcpStream::connect(target).await else { return abort(&client) };
    // Without it small messages are delayed, which is harmless.
    let _ = client.set_nodelay(true).and_then(|()| server.set_nodelay(true));
    let was_reset = {
        let mut reset = rules.clone();
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let pump_requests = pump(from_client, to_server, rules.clone(), number, |rules| rules.hold_requests);
        let pump_responses = pump(from_server, to_client, rules, number, |rules| rules.hold_responses);
        tokio::select! {
            _ = async { tokio::join!(pump_requests, pump_responses) } => false,
            _ = reset.wait_for(|rules| rules.reset && rules.apply_to(number)) => true,
        }
    };
    if was_reset {
        abort(&client);
        abort(&server);
    }
}

/// Copies data, and then the end of the stream, in one direction.
async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut rules: watch::Receiver<Rules>,
    number: u64,
    held: impl Fn(&Rules) -> bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let n = from.read(&mut buf).await.unwrap_or(0);
        let is_open = |rules: &Rules| !(held(rules) && rules.apply_to(number));
        let Ok(now) = rules.wait_for(is_open).await.map(|rules| *rules) else { return };
        if now.apply_to(number) && !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        if n == 0 {
            // The other side may have closed already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
