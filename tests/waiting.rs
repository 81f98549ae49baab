//! Waiting for sockets: the keys they were added under come back, and time passes.

use salttrestle::net::waiting::{Ready, SocketPoller};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LISTENER: usize = 0;
const ACCEPTED: usize = 7;
const SOON: Duration = Duration::from_millis(20);
const LONG: Duration = Duration::from_secs(5);

/// Two ends of a connection.
struct Pair {
    waiting: SocketPoller,
    /// Kept, since it is watched.
    _listener: TcpListener,
    near: TcpStream,
    far: TcpStream,
}

/// A connection whose near end is watched under `ACCEPTED`.
fn pair() -> Pair {
    let mut waiting = SocketPoller::new().expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    waiting.add(&listener, LISTENER).expect("watched");
    let address = listener.local_addr().expect("an address");
    let far = TcpStream::connect(address).expect("a connection");
    let ready = waiting.wait(LONG).expect("a wait").to_vec();
    assert_eq!(ready, [readable(LISTENER)]);
    let (near, _) = listener.accept().expect("accepted");
    near.set_nonblocking(true).expect("set");
    waiting.add(&near, ACCEPTED).expect("watched");
    Pair {
        waiting,
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
fn a_quiet_wait_lasts_until_its_timeout() {
    let mut pair = pair();
    let began = Instant::now();
    assert_eq!(pair.waiting.wait(SOON).expect("a wait"), []);
    assert!(began.elapsed() >= SOON, "{:?}", began.elapsed());
    assert_eq!(pair.waiting.wait(Duration::ZERO).expect("a wait"), []);
}

#[test]
fn bytes_and_the_end_make_a_connection_readable_each_time() {
    let mut pair = pair();
    pair.far.write_all(b"report").expect("sent");
    // Level, not edge: what isn't read is reported again.
    for _ in 0..2 {
        assert_eq!(
            pair.waiting.wait(LONG).expect("a wait"),
            [readable(ACCEPTED)]
        );
    }
    drop(pair.far);
    let ready = pair.waiting.wait(LONG).expect("a wait");
    assert!(ready[0].readable && ready[0].key == ACCEPTED, "{ready:?}");
}

#[test]
fn room_to_write_is_reported_only_while_it_is_watched() {
    let mut pair = pair();
    let watch = |pair: &Pair, writing| {
        let set = pair
            .waiting
            .set_write_interest(&pair.near, ACCEPTED, writing);
        set.expect("set");
    };
    watch(&pair, true);
    let ready = pair.waiting.wait(LONG).expect("a wait");
    assert!(ready[0].writable && !ready[0].readable, "{ready:?}");
    watch(&pair, false);
    assert_eq!(pair.waiting.wait(SOON).expect("a wait"), []);
}

#[test]
fn a_connection_that_was_removed_is_silent() {
    let mut pair = pair();
    pair.waiting.remove(&pair.near).expect("removed");
    pair.far.write_all(b"report").expect("sent");
    assert_eq!(pair.waiting.wait(SOON).expect("a wait"), []);
}

/// Each watched socket has a place of its own in one answer.
#[test]
fn many_ready_connections_are_reported_at_once() {
    let mut waiting = SocketPoller::new().expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut kept = Vec::new();
    for key in 3..23 {
        let mut far = TcpStream::connect(address).expect("a connection");
        let (near, _) = listener.accept().expect("accepted");
        waiting.add(&near, key).expect("watched");
        far.write_all(b"x").expect("sent");
        kept.push((near, far));
    }
    std::thread::sleep(SOON);
    let ready = waiting.wait(LONG).expect("a wait");
    let mut keys: Vec<usize> = ready.iter().map(|r| r.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, (3..23).collect::<Vec<_>>());
}
