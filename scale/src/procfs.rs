//! What the system says of processes and threads.

use std::fs;

/// Clock ticks a second in which processor time is counted.
const TICKS_PER_S: f64 = 100.0;
/// Fields of a `stat` line behind the name: user and system time.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Processor time that was used, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    /// In the program itself.
    pub user_s: f64,
    /// In the system on its behalf.
    pub system_s: f64,
}

impl CpuTime {
    /// What was used since an earlier reading.
    pub fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime {
            user_s: self.user_s - earlier.user_s,
            system_s: self.system_s - earlier.system_s,
        }
    }

    /// Both together.
    pub fn total_s(self) -> f64 {
        self.user_s + self.system_s
    }
}

fn cpu_from_stat(text: &str) -> Option<CpuTime> {
    let behind_name = text.rsplit_once(')')?.1;
    let fields: Vec<&str> = behind_name.split_whitespace().collect();
    let seconds = |at: usize| Some(fields.get(at)?.parse::<f64>().ok()? / TICKS_PER_S);
    Some(CpuTime {
        user_s: seconds(USER_FIELD)?,
        system_s: seconds(SYSTEM_FIELD)?,
    })
}

/// The processor time of a process; `None` once it has ended.
pub fn process_cpu(pid: u32) -> Option<CpuTime> {
    cpu_from_stat(&fs::read_to_string(format!("/proc/{pid}/stat")).ok()?)
}

/// The processor time of the calling thread.
pub fn thread_cpu() -> Option<CpuTime> {
    cpu_from_stat(&fs::read_to_string("/proc/thread-self/stat").ok()?)
}

/// Resident memory of a process in MiB, now and at its peak.
pub fn process_memory_mb(pid: u32) -> Option<(f64, f64)> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        let kb: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kb / 1024.0)
    };
    Some((field("VmRSS:")?, field("VmHWM:")?))
}

/// Open files of a process, sockets included.
pub fn process_files(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
