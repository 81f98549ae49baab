//! The socket poller reports ready sockets by the keys under which they were added, and waits no
//! longer than its timeout.

use salttrestle::net::waiting::{Ready, SocketPoller};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LISTENER: usize = 0;
const ACCEPTED: usize = 7;
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);
const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// Both ends of a connection, and a poller that watches the near end.
struct PolledConnection {
    poller: SocketPoller,
    /// Keeps the listener open, since the poller watches it.
    _listener: TcpListener,
    near: TcpStream,
    far: TcpStream,
}

/// Opens a connection whose near end is watched under [`ACCEPTED`].
fn polled_connection() -> PolledConnection {
    let mut poller = SocketPoller::new().expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    poller.add(&listener, LISTENER).expect("watched");
    let address = listener.local_addr().expect("an address");
    let far = TcpStream::connect(address).expect("a connection");
    let ready = poller.wait(LONG_TIMEOUT).expect("a wait").to_vec();
    assert_eq!(ready, [readable(LISTENER)]);
    let (near, _) = listener.accept().expect("accepted");
    near.set_nonblocking(true).expect("set");
    poller.add(&near, ACCEPTED).expect("watched");
    PolledConnection {
        poller,
        _listener: listener,
        near,
        far,
    }
}

fn readable(key: usize) -> Ready {
    Ready {
        key,
        readable: true,
        writable: false,
    }
}

#[test]
fn wait_without_events_lasts_until_its_timeout() {
    let mut connection = polled_connection();
    let started_at = Instant::now();
    assert_eq!(connection.poller.wait(SHORT_TIMEOUT).expect("a wait"), []);
    assert!(
        started_at.elapsed() >= SHORT_TIMEOUT,
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(connection.poller.wait(Duration::ZERO).expect("a wait"), []);
}

#[test]
fn unread_bytes_and_a_closed_connection_are_reported_each_time() {
    let mut connection = polled_connection();
    connection.far.write_all(b"report").expect("sent");
    // Readiness is level-triggered: unread bytes are reported again.
    for _ in 0..2 {
        assert_eq!(
            connection.poller.wait(LONG_TIMEOUT).expect("a wait"),
            [readable(ACCEPTED)]
        );
    }
    drop(connection.far);
    let ready = connection.poller.wait(LONG_TIMEOUT).expect("a wait");
    assert!(ready[0].readable && ready[0].key == ACCEPTED, "{ready:?}");
}

#[test]
fn writable_socket_is_reported_only_while_writing_is_watched() {
    let mut connection = polled_connection();
    let watch = |connection: &PolledConnection, writing| {
        let set = connection
            .poller
            .set_write_interest(&connection.near, ACCEPTED, writing);
        set.expect("set");
    };
    watch(&connection, true);
    let ready = connection.poller.wait(LONG_TIMEOUT).expect("a wait");
    assert!(ready[0].writable && !ready[0].readable, "{ready:?}");
    watch(&connection, false);
    assert_eq!(connection.poller.wait(SHORT_TIMEOUT).expect("a wait"), []);
}

#[test]
fn removed_connection_is_not_reported() {
    let mut connection = polled_connection();
    connection.poller.remove(&connection.near).expect("removed");
    connection.far.write_all(b"report").expect("sent");
    assert_eq!(connection.poller.wait(SHORT_TIMEOUT).expect("a wait"), []);
}

/// One wait reports all of 20 sockets that are ready.
#[test]
fn all_ready_connections_are_reported_at_once() {
    let mut poller = SocketPoller::new().expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut open_connections = Vec::new();
    for key in 3..23 {
        let mut far = TcpStream::connect(address).expect("a connection");
        let (near, _) = listener.accept().expect("accepted");
        poller.add(&near, key).expect("watched");
        far.write_all(b"x").expect("sent");
        open_connections.push((near, far));
    }
    std::thread::sleep(SHORT_TIMEOUT);
    let ready = poller.wait(LONG_TIMEOUT).expect("a wait");
    let mut keys: Vec<usize> = ready.iter().map(|event| event.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, (3..23).collect::<Vec<_>>());
}
