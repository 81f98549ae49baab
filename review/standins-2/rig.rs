//! What all cases share: the controllers' processes, their addresses, the record, and users.

use crate::cbor::{V, decode, encode};
use crate::http::Client;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn below(&mut self, count: usize) -> usize {
        (self.next() % count.max(1) as u64) as usize
    }
}

/// The record of a run. Lines of detail are left out where a run has too many of them.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    start: Instant,
    with_detail: bool,
}

impl Log {
    pub fn create(path: &Path, with_detail: bool) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            start: Instant::now(),
            with_detail,
        })
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
    pub fn detail(&self, text: impl AsRef<str>) {
        if self.with_detail {
            self.line(text);
        }
    }
}

/// Names and addresses of the controllers.
pub struct Nodes {
    pub names: Vec<String>,
    pub addresses: Vec<SocketAddr>,
}

impl Nodes {
    pub fn count(&self) -> usize {
        self.names.len()
    }
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }
    pub fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }
}

/// Free loopback ports: they are bound all at once, so that they differ, and then released.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

pub fn listeners(count: usize) -> std::io::Result<(Vec<TcpListener>, Vec<SocketAddr>)> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()?;
    Ok((listeners, addresses))
}

/// The controllers' processes.
pub struct Controllers {
    program: Vec<String>,
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

impl Controllers {
    /// `run` is the line of that name in the deploy file; `settings` are the settings of each
    /// controller as JSON.
    pub fn new(run: &str, folder: &Path, settings: &[String]) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        for (index, text) in settings.iter().enumerate() {
            std::fs::write(folder.join(format!("settings-{index}.json")), text)?;
        }
        Ok(Self {
            program: run.split_whitespace().map(String::from).collect(),
            folder: folder.into(),
            children: settings.iter().map(|_| None).collect(),
        })
    }
    pub fn start(&mut self, index: usize) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("controller-{index}.log")))?;
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(self.folder.join(format!("settings-{index}.json")))
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[index] = Some(child);
        Ok(())
    }
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.children[index].as_ref().map(Child::id)
    }
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(pid) = self.pid(index) {
            // The shell's own `kill`: not every machine has a program of that name.
            let command = format!("kill -{name} {pid}");
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }
    /// Whether a controller's process has ended although it wasn't killed.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.children[index].as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.children.len() {
            self.signal(index, "CONT");
            self.kill(index);
        }
    }
}

/// A job as its user submits it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub troupe: String,
    pub crew: String,
    pub form: &'static str,
    pub rank: &'static str,
    pub verses: u64,
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub scatter: bool,
    pub reckon_s: f64,
}

impl Job {
    pub fn body(&self) -> Vec<u8> {
        encode(&V::map(vec![
            ("id", V::s(&self.id)),
            ("troupe", V::s(&self.troupe)),
            ("crew", V::s(&self.crew)),
            ("form", V::s(self.form)),
            ("rank", V::s(self.rank)),
            ("verses", V::U(self.verses)),
            ("cores", V::F(self.cores)),
            ("accelerators", V::F(self.accelerators)),
            ("memGb", V::F(self.mem_gb)),
            ("score", V::s("img-01")),
            ("sizeGb", V::F(0.5)),
            ("builds", V::Null),
            ("quarter", V::Null),
            ("samePlace", V::B(false)),
            ("scatter", V::B(self.scatter)),
            ("borrowed", V::B(false)),
            ("reckonS", V::F(self.reckon_s)),
            ("bookmarkS", V::F(0.0)),
            ("stashS", V::F(0.0)),
            ("curtainS", V::Null),
        ]))
    }
}

/// The answer to a user's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub stance: String,
    pub retry_after: u64,
}

fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&[u8]>,
    timeout_s: u64,
) -> Answer {
    let mut client = Client::default();
    let message = client.call(address, method, path, body, Duration::from_secs(timeout_s));
    let Some(message) = message else {
        return Answer {
            status: 0,
            stance: String::new(),
            retry_after: 0,
        };
    };
    let stance = decode(&message.body)
        .and_then(|body| body.get("stance").and_then(V::text).map(String::from))
        .unwrap_or_default();
    Answer {
        status: message.status(),
        stance,
        retry_after: message.retry_after.unwrap_or(0),
    }
}

pub fn poll(address: SocketAddr, id: &str) -> Answer {
    call(address, "GET", &format!("/work/{id}"), None, 2)
}

pub fn up(address: SocketAddr) -> bool {
    call(address, "GET", "/up", None, 1).status == 200
}

pub fn submit(address: SocketAddr, job: &Job) -> Answer {
    call(address, "POST", "/work", Some(&job.body()), 5)
}

pub fn withdraw(address: SocketAddr, id: &str) -> Answer {
    call(
        address,
        "POST",
        &format!("/work/{id}/withdraw"),
        Some(&[]),
        5,
    )
}

/// Submits a job like a user: repeated at the nodes in turn for up to `for_s` seconds. Returns
/// whether it was accepted.
pub fn submit_until_accepted(nodes: &Nodes, job: &Job, for_s: f64, log: &Log) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(for_s);
    let mut node = job.id.bytes().map(usize::from).sum::<usize>() % nodes.count();
    loop {
        let answer = submit(nodes.address(node), job);
        log.line(format!(
            "user: POST /work {} at {} -> {} {}",
            job.id, nodes.names[node], answer.status, answer.stance
        ));
        match answer.status {
            200 | 201 => return true,
            400 | 422 => return false,
            _ => {}
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_secs(answer.retry_after.clamp(1, 30)));
        node = (node + 1) % nodes.count();
    }
}

/// The `run` line of the deploy file.
pub fn run_line(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).ok()?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    Some(line.split('"').nth(1)?.to_string())
}
