//! Processor time, memory and open files of processes and threads, from `/proc`.

use std::fs;

/// Clock ticks a second in which processor time is counted.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// User time in a `stat` line, as a field behind the name.
const USER_TIME_FIELD: usize = 11;
/// System time in a `stat` line, as a field behind the name.
const SYSTEM_TIME_FIELD: usize = 12;

/// Processor time, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    /// In user mode.
    pub user_s: f64,
    /// In the kernel.
    pub system_s: f64,
}

impl CpuTime {
    /// The difference to an earlier reading.
    pub fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime {
            user_s: self.user_s - earlier.user_s,
            system_s: self.system_s - earlier.system_s,
        }
    }

    /// User and system time together.
    pub fn total_s(self) -> f64 {
        self.user_s + self.system_s
    }
}

fn parse_cpu_time(text: &str) -> Option<CpuTime> {
    let after_name = text.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let seconds = |field: usize| Some(fields.get(field)?.parse::<f64>().ok()? / CLOCK_TICKS_PER_S);
    Some(CpuTime {
        user_s: seconds(USER_TIME_FIELD)?,
        system_s: seconds(SYSTEM_TIME_FIELD)?,
    })
}

/// The processor time of a process; `None` once it has ended.
pub fn process_cpu(pid: u32) -> Option<CpuTime> {
    parse_cpu_time(&fs::read_to_string(format!("/proc/{pid}/stat")).ok()?)
}

/// The processor time of the calling thread.
pub fn thread_cpu() -> Option<CpuTime> {
    parse_cpu_time(&fs::read_to_string("/proc/thread-self/stat").ok()?)
}

/// Resident memory of a process, in MiB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessMemory {
    /// At present.
    pub resident_mb: f64,
    /// At its peak.
    pub peak_mb: f64,
}

/// The resident memory of a process; `None` once it has ended.
pub fn process_memory(pid: u32) -> Option<ProcessMemory> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let megabytes = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kilobytes / 1024.0)
    };
    Some(ProcessMemory {
        resident_mb: megabytes("VmRSS:")?,
        peak_mb: megabytes("VmHWM:")?,
    })
}

/// Number of open files of a process, sockets included; `None` once it has ended.
pub fn count_open_files(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
