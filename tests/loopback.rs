//! Runs the real binary on loopback: it starts, rejects invalid requests and settings, and keeps
//! running while its store, cloud and peers are unreachable.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A controller process that is killed at the end of its test.
struct ControllerProcess(Child);

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a port that is free now. Another process may take it before the test listens on it.
fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

fn write_config(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// The platform's settings for a controller that listens on a port; nothing listens on the ports of
/// its store and its cloud.
fn platform_json(listen: u16) -> String {
    let (peer, state, cloud) = (free_port(), free_port(), free_port());
    format!(
        r#"{{"member":"n0","site":"a","listen":"127.0.0.1:{listen}","peer_listen":"127.0.0.1:{peer}",
        "siblings":[],"services":{{"cloud":"127.0.0.1:{cloud}","state":"127.0.0.1:{state}"}},
        "facts":{{"count":1,"zones":["a"],"teams":[],
        "workers":{{"report_s":1,"lease_s":10,"cancel_s":35}},
        "state":{{"rps":150,"write_rps":60,"value_kb":8,"txn_ops":16}},
        "cloud":{{"rps":4,"list_lag_s":8}},"resources":{{"cpu":1,"mem_mb":56,"max_sockets":64}}}}}}"#
    )
}

fn salttrestle() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_salttrestle"));
    command.stderr(Stdio::null()).stdout(Stdio::null());
    command
}

/// Sends bytes on a new connection and reads until the end of a response's headers or until the
/// other side closes the connection.
fn exchange(port: u16, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    stream.write_all(bytes).expect("sent");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(count) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        if count == 0 || received.windows(4).any(|w| w == b"\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn wait_until_listening(port: u16) {
    let started_at = Instant::now();
    while TcpStream::connect(("127.0.0.1", port)).is_err() {
        assert!(
            started_at.elapsed() < Duration::from_secs(20),
            "the controller doesn't listen"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn requests_are_answered_without_store_and_cloud() {
    let port = free_port();
    let file = write_config("own.json", &platform_json(port));
    let child = salttrestle()
        .arg("--config")
        .arg(file)
        .spawn()
        .expect("the controller starts");
    let mut controller = ControllerProcess(child);
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
        let response = exchange(port, bytes.as_bytes());
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{bytes:?}: {response}"
        );
        if *status == "503" {
            assert!(response.contains("Retry-After: "), "{response}");
        }
        if bytes.starts_with("nonsense") {
            assert!(response.contains("Connection: close"), "{response}");
        }
    }
    // With more idle connections than the controller has sockets, it closes the oldest ones and
    // still answers a new one.
    let idle: Vec<_> = (0..80)
        .filter_map(|_| TcpStream::connect(("127.0.0.1", port)).ok())
        .collect();
    let response = exchange(port, b"GET /up HTTP/1.1\r\n\r\n");
    assert!(
        response.starts_with("HTTP/1.1 503"),
        "{response} with {} idle connections",
        idle.len()
    );
    assert!(
        controller.0.try_wait().expect("a status").is_none(),
        "the controller has exited"
    );
}

#[test]
fn startup_fails_with_invalid_settings() {
    let valid = write_config("good.json", &platform_json(free_port()));
    let invalid = write_config("bad.json", "{\"member\": 1}");
    let unknown_key = write_config("off.properties", "no.such-key = 1\n");
    let exit_code = |args: &[&std::ffi::OsStr]| {
        salttrestle()
            .args(args)
            .status()
            .expect("the program runs")
            .code()
    };
    let (config, check, properties) = (
        "--config".as_ref(),
        "--check".as_ref(),
        "--properties".as_ref(),
    );
    assert_eq!(exit_code(&[check, config, valid.as_os_str()]), Some(0));
    assert_eq!(exit_code(&[check, config, invalid.as_os_str()]), Some(2));
    assert_eq!(exit_code(&[config, "/nonexistent".as_ref()]), Some(2));
    assert_eq!(
        exit_code(&[
            check,
            properties,
            unknown_key.as_os_str(),
            config,
            valid.as_os_str()
        ]),
        Some(2)
    );
    assert_eq!(exit_code(&["--version".as_ref()]), Some(0));
}
