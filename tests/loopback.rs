//! The real binary on loopback: it starts, refuses what it must, and stays up while
//! nothing that it needs is there.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

fn config(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn platform(listen: u16) -> String {
    let (peer, state, cloud) = (free_port(), free_port(), free_port());
    format!(
        r#"{{"member":"n0","site":"a","listen":"127.0.0.1:{listen}","peer_listen":"127.0.0.1:{peer}",
        "peers":[],"services":{{"cloud":"127.0.0.1:{cloud}","state":"127.0.0.1:{state}"}},
        "facts":{{"count":1,"zones":["a"],"teams":[],
        "workers":{{"report_s":1,"lease_s":10,"cancel_s":35}},
        "state":{{"rps":150,"write_rps":60,"value_kb":8,"txn_ops":16}},
        "cloud":{{"rps":4,"list_lag_s":8}},"resources":{{"cpu":1,"mem_mb":56,"max_sockets":64}}}}}}"#
    )
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_salttrestle"));
    command.stderr(Stdio::null()).stdout(Stdio::null());
    command
}

/// Sends bytes on a connection of their own and reads one answer, or all until the
/// other side closes.
fn exchange(port: u16, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    stream.write_all(bytes).expect("sent");
    let (mut all, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(count) = stream.read(&mut buffer) {
        all.extend_from_slice(&buffer[..count]);
        if count == 0 || all.windows(4).any(|w| w == b"\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

fn wait_until_listening(port: u16) {
    let begun = Instant::now();
    while TcpStream::connect(("127.0.0.1", port)).is_err() {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "it doesn't listen"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn answers_when_nothing_that_it_needs_is_there() {
    let port = free_port();
    let file = config("own.json", &platform(port));
    let child = program()
        .arg("--config")
        .arg(file)
        .spawn()
        .expect("it starts");
    let mut running = Running(child);
    wait_until_listening(port);
    let post = |path: &str, body: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let rows = [
        ("GET /up HTTP/1.1\r\n\r\n".to_string(), "503"),
        ("GET /work/wk-1 HTTP/1.1\r\n\r\n".to_string(), "503"),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_string(), "404"),
        ("GET /work/no%20id HTTP/1.1\r\n\r\n".to_string(), "404"),
        ("DELETE /work HTTP/1.1\r\n\r\n".to_string(), "405"),
        (
            "POST /up HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_string(),
            "405",
        ),
        ("GET /agent/beat HTTP/1.1\r\n\r\n".to_string(), "405"),
        (post("/work", "{}"), "400"),
        (post("/agent/beat", "{}"), "400"),
        (post("/work/wk-1/withdraw", ""), "503"),
        ("nonsense\r\n\r\n".to_string(), "400"),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_string(),
            "413",
        ),
    ];
    for (bytes, status) in &rows {
        let answer = exchange(port, bytes.as_bytes());
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{bytes:?}: {answer}"
        );
        if *status == "503" {
            assert!(answer.contains("Retry-After: "), "{answer}");
        }
        if bytes.starts_with("nonsense") {
            assert!(answer.contains("Connection: close"), "{answer}");
        }
    }
    // More quiet connections than it has sockets: the oldest make room.
    let quiet: Vec<_> = (0..80)
        .filter_map(|_| TcpStream::connect(("127.0.0.1", port)).ok())
        .collect();
    let answer = exchange(port, b"GET /up HTTP/1.1\r\n\r\n");
    assert!(
        answer.starts_with("HTTP/1.1 503"),
        "{answer} beside {}",
        quiet.len()
    );
    assert!(
        running.0.try_wait().expect("its state").is_none(),
        "it has ended"
    );
}

#[test]
fn settings_that_are_bad_end_the_start() {
    let good = config("good.json", &platform(free_port()));
    let bad = config("bad.json", "{\"member\": 1}");
    let off = config("off.properties", "no.such-key = 1\n");
    let run = |args: &[&std::ffi::OsStr]| program().args(args).status().expect("it runs").code();
    let (config, check, over) = (
        "--config".as_ref(),
        "--check".as_ref(),
        "--properties".as_ref(),
    );
    assert_eq!(run(&[check, config, good.as_os_str()]), Some(0));
    assert_eq!(run(&[check, config, bad.as_os_str()]), Some(2));
    assert_eq!(run(&[config, "/nonexistent".as_ref()]), Some(2));
    assert_eq!(
        run(&[check, over, off.as_os_str(), config, good.as_os_str()]),
        Some(2)
    );
    assert_eq!(run(&["--version".as_ref()]), Some(0));
}
