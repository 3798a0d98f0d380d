//! Processes of the program under test on loopback addresses, started as the deploy file says.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::path::Path;
use crate::record::Record;
use crate::worker::LEASE_MAX_MS;

const PROGRAM: &str = "target/release/plantaincross-platform";
/// Delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ids of the running processes, so that they can be ended in any case.
pub static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, _: u64, _: u64, _: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

pub fn signal_all(signal: i32) {
    for pid in CHILDREN.lock().expect("children").iter() {
        // SAFETY: `kill` has no requirements on memory; the process is a child not yet reaped.
        unsafe { kill(*pid, signal) };
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

struct Process {
    name: String,
    role: Role,
    zone: usize,
    ip: Ipv4Addr,
    child: Option<Child>,
    starts: u32,
    /// When the platform starts it again.
    due: Option<Instant>,
}

/// A cell with its processes, kept running as the platform does.
pub struct Cell {
    processes: Vec<Process>,
    folder: PathBuf,
    port: u16,
    /// Paths from the first entry instance to the control instances.
    pub paths: Vec<Path>,
    record: Record,
    /// Number of times that a process has ended by itself.
    pub own_ends: u32,
}

/// Returns a loopback address of this run.
pub fn ip(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id & 63) as u8, (id >> 6 & 255) as u8, last)
}

/// Returns the first of 20 ports that are free on all addresses of this run.
fn free_ports() -> u16 {
    let is_free = |port: u16| {
        [10_u8, 11, 12, 20, 21, 22, 23, 24, 25].iter().all(|last| {
            (0..20).all(|i| TcpListener::bind(SocketAddr::new(ip(*last).into(), port + i)).is_ok())
        })
    };
    (0..200)
        .map(|turn| 18_000 + turn * 100)
        .find(|port| is_free(*port))
        .expect("free ports")
}

impl Cell {
    /// Starts the control and entry instances. With `has_paths`, the first entry instance reaches
    /// the control instances over paths that can be cut.
    pub fn start(controls: u8, entries: u8, has_paths: bool, record: Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let port = free_ports();
        let mut cell = Self {
            processes: Vec::new(),
            folder,
            port,
            paths: Vec::new(),
            record,
            own_ends: 0,
        };
        if has_paths {
            let address = |last| SocketAddr::new(ip(last).into(), port + 3);
            let path = |at| Path::start(address(50 + at), address(10 + at));
            cell.paths = (0..controls).map(path).collect();
        }
        let controls = (0..controls).map(|at| (at, Role::Control, ip(10 + at)));
        let entries = (0..entries).map(|at| (at, Role::Entry, ip(20 + at)));
        for (at, role, ip) in controls.chain(entries) {
            let kind = if role == Role::Control {
                "core"
            } else {
                "front"
            };
            cell.processes.push(Process {
                name: format!("{kind}-{at}"),
                role,
                zone: usize::from(at) % 3,
                ip,
                child: None,
                starts: 0,
                due: None,
            });
        }
        for at in 0..cell.processes.len() {
            cell.spawn(at);
        }
        cell
    }

    fn addresses(&self, role: Role, port: u16) -> Vec<SocketAddr> {
        let of_role = self.processes.iter().filter(|p| p.role == role);
        of_role
            .map(|p| SocketAddr::new(IpAddr::V4(p.ip), port))
            .collect()
    }

    /// Returns the addresses for workers and operators.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Control, self.port)
    }

    /// Returns the addresses for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Entry, self.port + 1)
    }

    /// Returns the address of a worker.
    pub fn worker_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(ip(100 + at as u8).into(), self.port)
    }

    pub fn name(&self, at: usize) -> &str {
        &self.processes[at].name
    }

    fn settings(&self, at: usize) -> String {
        let process = &self.processes[at];
        let ip = process.ip;
        let mut seeds = self.controls();
        if process.name == "front-0" {
            for (seed, path) in seeds.iter_mut().zip(&self.paths) {
                seed.set_ip(path.address.ip());
            }
        }
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let is_control = process.role == Role::Control;
        let own = if is_control {
            let data = self.folder.join(&process.name);
            format!(
                "machineClass=core\nserves=control\nlisten.control={ip}:{}\ndataDir={}\n\
                 faultCounted=true\nlimits.cpuShare=0.5\nlimits.memoryMb=256\nlimits.maxFds=4096\n\
                 limits.diskMb=128\n",
                self.port,
                data.display()
            )
        } else {
            format!(
                "machineClass=front\nserves=front\nlisten.front={ip}:{}\nlisten.ready={ip}:{}\n\
                 faultCounted=false\nlimits.cpuShare=0.25\nlimits.memoryMb=260\n\
                 limits.maxFds=4100\nlimits.diskMb=0\n",
                self.port + 1,
                self.port + 2
            )
        };
        format!(
            "nodeName={}\nrole={}\nip={ip}\nzone=z{}\nregion=g\nzones.z0=g\nzones.z1=g\nzones.z2=g\n\
             {own}internalPorts={},{}\nseedNodes={}\nbootstrap={}\nlimits.cores=1\n\
             limits.linkMbps=1000.0\ndiscovery=registry\nentry=vip\nheartbeatMs=1500\n\
             policies=base,drain,config,cost,recover,sched,tenants,quota,advice,upkeep,sharing\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
             bounds.graceS=6\nbounds.configApplyMs=2000\nbounds.recoveryS=12\n\
             bounds.maxHoldMs={LEASE_MAX_MS}\nbounds.stopMs=200\nbounds.gangMs=3000\n\
             bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\n\
             bounds.status_s=120\nbounds.farFactor=1.5\nconfig_mode=highest\norders=rpc\nadvice=\n",
            process.name,
            if is_control { "control" } else { "entry" },
            process.zone,
            self.port + 3,
            self.port + 17,
            seeds.join(","),
            process.starts == 0,
        )
    }

    fn spawn(&mut self, at: usize) {
        let path = self
            .folder
            .join(format!("{}.conf", self.processes[at].name));
        std::fs::write(&path, self.settings(at)).expect("settings file");
        let data = self.folder.join(&self.processes[at].name);
        std::fs::create_dir_all(data).expect("data folder");
        let process = &mut self.processes[at];
        let open = |ending: &str| {
            let name = self.folder.join(format!("{}.{ending}", process.name));
            let file = File::options().create(true).append(true).open(name);
            file.expect("log file")
        };
        let role = if process.role == Role::Control {
            "control"
        } else {
            "entry"
        };
        let mut command = Command::new(PROGRAM);
        command
            .arg(role)
            .env("PLANTAINCROSS_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(open("log"))
            .stderr(open("err"));
        // SAFETY: `prctl` may be called between fork and exec. The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program starts");
        CHILDREN.lock().expect("children").push(child.id() as i32);
        process.child = Some(child);
        process.starts += 1;
        process.due = None;
        self.record.write(&format!("{} starts", process.name));
    }

    // Starts processes again that have ended, after a delay.
    fn supervise(&mut self) {
        for at in 0..self.processes.len() {
            let process = &mut self.processes[at];
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                let id = child.id() as i32;
                CHILDREN.lock().expect("children").retain(|pid| *pid != id);
                process.child = None;
                process.due = Some(Instant::now() + RESTART_DELAY);
                self.own_ends += 1;
                let path = self.folder.join(format!("{}.err", process.name));
                let text = std::fs::read_to_string(path).unwrap_or_default();
                let folder = self.folder.display().to_string();
                let last = text.lines().last().unwrap_or_default();
                let last = last.replace(&folder, "FOLDER");
                self.record.write(&format!(
                    "{} has ended by itself: {status}; it said: {last}",
                    process.name
                ));
            }
            if process.due.is_some_and(|due| Instant::now() >= due) {
                self.spawn(at);
            }
        }
    }

    /// Waits, and keeps the processes running meanwhile.
    pub fn wait(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        self.wait_until(duration, |_| Instant::now() >= until);
    }

    /// Waits until the condition holds. Returns false if it does not within `limit`.
    pub fn wait_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + limit;
        loop {
            self.supervise();
            if done(self) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// Kills all control processes at the same moment; they start again after the delay.
    pub fn kill_controls(&mut self) {
        let is_control = |at: &usize| self.processes[*at].role == Role::Control;
        let controls: Vec<usize> = (0..self.processes.len()).filter(is_control).collect();
        for at in &controls {
            if let Some(child) = &self.processes[*at].child {
                // SAFETY: as in `signal_all`.
                unsafe { kill(child.id() as i32, SIGKILL) };
            }
        }
        for at in controls {
            let process = &mut self.processes[at];
            self.record.write(&format!("SIGKILL to {}", process.name));
            if let Some(mut child) = process.child.take() {
                let _ = child.wait();
                let id = child.id() as i32;
                CHILDREN.lock().expect("children").retain(|pid| *pid != id);
            }
            process.due = Some(Instant::now() + RESTART_DELAY);
        }
    }

    /// Returns the position of the control instance that leads, by its log.
    pub fn leader(&self) -> Option<usize> {
        let latest_term = |at: usize| {
            let path = self.folder.join(format!("{}.log", self.processes[at].name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let led = text.lines().filter(|l| l.contains("\"event\":\"led\""));
            led.filter_map(|line| crate::json::Json::parse(line)?.number("term"))
                .max()
        };
        let controls = (0..self.processes.len())
            .filter(|at| self.processes[*at].role == Role::Control)
            .filter_map(|at| Some((latest_term(at)?, at)));
        controls.max().map(|(_, at)| at)
    }

    /// Returns the largest memory that each control process has used, in megabytes.
    pub fn memory_peaks(&self) -> Vec<u64> {
        let peak = |process: &Process| {
            let id = process.child.as_ref()?.id();
            let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
            let line = text.lines().find(|line| line.starts_with("VmHWM"))?;
            let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
            Some(kb / 1_024)
        };
        let controls = self.processes.iter().filter(|p| p.role == Role::Control);
        controls.filter_map(peak).collect()
    }

    /// Sends a configuration to one control address after the other until it is acknowledged.
    pub fn configure(&mut self, document: &str) -> bool {
        let controls = self.controls();
        for turn in 0..300 {
            let to = controls[turn % controls.len()];
            let answer = http::call(to, Duration::from_secs(1), "PUT", "/config", &[], document);
            if answer.is_ok_and(|(status, _)| status == 200) {
                self.record.write("the configuration is acknowledged");
                return true;
            }
            self.wait(Duration::from_millis(100));
        }
        false
    }

    /// Waits until all entry instances are ready.
    pub fn is_ready(&mut self) -> bool {
        let ready = self.addresses(Role::Entry, self.port + 2);
        self.wait_until(Duration::from_secs(20), |_| {
            ready.iter().all(|to| {
                let answer = http::call(*to, Duration::from_millis(500), "GET", "/ready", &[], "");
                answer.is_ok_and(|(status, _)| status == 200)
            })
        })
    }

    /// Reads the configuration's version from each control address that answers.
    pub fn versions(&self) -> Vec<u64> {
        let read = |to: &SocketAddr| {
            let answer = http::call(*to, Duration::from_secs(1), "GET", "/config", &[], "");
            let (_, body) = answer.ok().filter(|(status, _)| *status == 200)?;
            crate::json::Json::parse(&body)?.number("version")
        };
        self.controls().iter().filter_map(read).collect()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
