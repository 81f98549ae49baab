//! CPU time, memory and open files of processes and threads, read from `/proc`.

use std::fs;

/// Clock ticks per second (`USER_HZ`), the unit of CPU times in `stat` files.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Index of the user time (`utime`) among the fields that follow the name in a `stat` file.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time (`stime`) among the fields that follow the name in a `stat` file.
const SYSTEM_TIME_FIELD: usize = 12;

/// CPU time of a process or thread, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    /// Time in user mode.
    pub user_s: f64,
    /// Time in the kernel.
    pub system_s: f64,
}

impl CpuTime {
    /// Returns the time since an earlier reading.
    pub fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime {
            user_s: self.user_s - earlier.user_s,
            system_s: self.system_s - earlier.system_s,
        }
    }

    /// Returns the sum of user and system time.
    pub fn total_s(self) -> f64 {
        self.user_s + self.system_s
    }
}

/// Parses the CPU time of a `stat` file. Splits after the last `)`, since the name of a process may
/// hold spaces and parentheses.
fn parse_cpu_time(text: &str) -> Option<CpuTime> {
    let after_name = text.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let seconds = |field: usize| Some(fields.get(field)?.parse::<f64>().ok()? / CLOCK_TICKS_PER_S);
    Some(CpuTime {
        user_s: seconds(USER_TIME_FIELD)?,
        system_s: seconds(SYSTEM_TIME_FIELD)?,
    })
}

/// Returns the CPU time of a process; `None` if it has ended.
pub fn process_cpu(pid: u32) -> Option<CpuTime> {
    parse_cpu_time(&fs::read_to_string(format!("/proc/{pid}/stat")).ok()?)
}

/// Returns the CPU time of the calling thread.
pub fn thread_cpu() -> Option<CpuTime> {
    parse_cpu_time(&fs::read_to_string("/proc/thread-self/stat").ok()?)
}

/// Resident memory of a process, in MiB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessMemory {
    /// Current value.
    pub resident_mb: f64,
    /// Peak since the start of the process.
    pub peak_mb: f64,
}

/// Returns the resident memory of a process; `None` if it has ended.
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

/// Returns the number of open file descriptors of a process, sockets included; `None` if it has
/// ended.
pub fn count_open_files(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
