//! A small deployment of the system's own processes on loopback addresses.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::json::Json;

/// Longest lease of a run, in milliseconds; also what the workers shorten leases to.
pub const MAX_LEASE_MS: u64 = 6_000;
/// Zones; instances and workers are spread over them in turn.
pub const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
pub const HOST: &str = "q.example";

/// Ids of the processes that were started and not yet ended by the script.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills a process that the script has started.
fn kill_process(pid: u32) {
    let command = format!("kill -KILL {pid}");
    // The process may have ended by itself.
    let _ = Command::new("sh").arg("-c").arg(command).status();
}

/// Kills all processes that the script has started.
pub fn kill_all() {
    for pid in STARTED.lock().expect("process list").drain(..) {
        kill_process(pid);
    }
}

/// Process of the system.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// Deployment of three control instances and some entry instances.
#[derive(Debug)]
pub struct Cell {
    pub controls: Vec<Instance>,
    pub entries: Vec<Instance>,
    ports: Ports,
    network: [u8; 2],
    folder: PathBuf,
    program: PathBuf,
}

#[derive(Clone, Copy, Debug)]
struct Ports {
    control: u16,
    front: u16,
    ready: u16,
    peer: u16,
}

impl Cell {
    /// Starts the processes. `folder` receives settings, data and logs.
    pub fn start(program: &Path, folder: &Path, entries: u8) -> Self {
        let (network, ports) = free_network();
        let mut cell = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            ports,
            network,
            folder: folder.to_owned(),
            program: program.to_owned(),
        };
        for at in 0..3 {
            let ip = cell.ip(10 + at);
            cell.controls.push(cell.instance("core", "control", at, ip));
        }
        for at in 0..entries {
            let ip = cell.ip(30 + at);
            cell.entries.push(cell.instance("front", "entry", at, ip));
        }
        for at in 0..3 {
            cell.start_control(at);
        }
        for at in 0..usize::from(entries) {
            cell.entries[at].spawn(&cell.program, &cell.folder);
        }
        cell
    }

    /// Returns an address of the deployment's network.
    pub const fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host)
    }

    /// Returns a listener on a free port of an address of the deployment's network.
    pub fn listener(&self, host: u8) -> TcpListener {
        TcpListener::bind((self.ip(host), 0)).expect("free port")
    }

    /// Returns the addresses for operators and workers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let address = |i: &Instance| SocketAddr::new(IpAddr::V4(i.ip), self.ports.control);
        self.controls.iter().map(address).collect()
    }

    /// Returns the addresses for clients.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        let address = |i: &Instance| SocketAddr::new(IpAddr::V4(i.ip), self.ports.front);
        self.entries.iter().map(address).collect()
    }

    /// Starts a control instance, with the data folder that it had.
    pub fn start_control(&mut self, at: usize) {
        let (program, folder) = (self.program.clone(), self.folder.clone());
        self.controls[at].spawn(&program, &folder);
    }

    /// Waits until every entry instance says that it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        self.entries.iter().all(|entry| {
            let address = SocketAddr::new(IpAddr::V4(entry.ip), self.ports.ready);
            let mut client = Client::new(address);
            loop {
                let answer = client.call("GET", "/ready", "", "", Duration::from_secs(1));
                if matches!(answer, Some((200, _))) {
                    return true;
                }
                if Instant::now() > deadline {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        })
    }

    /// Sends a request of the operator to one instance after the other until one answers 200.
    /// Returns the last status and body.
    pub fn operate(&self, method: &str, path: &str, body: &str, limit: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + limit;
        let mut last = (0, Vec::new());
        for address in self.control_addresses().into_iter().cycle() {
            if Instant::now() > deadline {
                break;
            }
            let mut client = Client::new(address);
            // A second, and more for large bodies.
            let wait = Duration::from_millis(1_000 + body.len() as u64 / 1_000);
            match client.call(method, path, "", body, wait) {
                Some((200, body)) => return (200, body),
                Some(answer) => last = answer,
                None => {}
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        last
    }

    fn instance(&self, class: &str, role: &'static str, at: u8, ip: Ipv4Addr) -> Instance {
        let zone = ZONES[usize::from(at) % ZONES.len()];
        let name = format!("{class}-{zone}-{at}");
        let settings = self.folder.join(format!("{name}.conf"));
        let Ports {
            control,
            front,
            ready,
            peer,
        } = self.ports;
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("{}:{control}", self.ip(10 + seed)))
            .collect();
        let listen = if role == "control" {
            let data = self.folder.join(format!("data-{name}"));
            format!(
                "serves=control\nlisten.control={ip}:{control}\ndataDir={}\nlimits.diskMb=128\n\
                 limits.cpuShare=0.5\nlimits.memoryMb=256\nfaultCounted=true\n",
                data.display()
            )
        } else {
            format!(
                "serves=front\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
                 limits.diskMb=0\nlimits.cpuShare=0.25\nlimits.memoryMb=260\nfaultCounted=false\n"
            )
        };
        let zones: String = ZONES.iter().map(|z| format!("zones.{z}=r\n")).collect();
        let text = format!(
            "nodeName={name}\nrole={role}\nmachineClass={class}\nip={ip}\nzone={zone}\nregion=r\n\
             {zones}{listen}internalPorts={peer},{peer}\nseedNodes={}\nbootstrap=true\n\
             limits.cores=1\nlimits.maxFds=4096\nlimits.linkMbps=1000.0\ndiscovery=registry\n\
             entry=vip\nheartbeatMs=1500\npolicies=base,drain,config,cost,recover,sched,tenants,quota\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n\
             bounds.maxHoldMs={MAX_LEASE_MS}\nbounds.stopMs=200\nbounds.gangMs=3000\n\
             bounds.cancel_ms=3000\nbounds.farFactor=1.5\nbounds.checkpointIntervalS=0.5\n\
             bounds.requireFencing=false\nconfig_mode=highest\norders=rpc\nadvice=\n\
             cloudApi.duties=\n",
            seeds.join(",")
        );
        fs::write(&settings, text).expect("settings file");
        Instance {
            name,
            ip,
            role,
            settings,
            child: None,
        }
    }
}

impl Instance {
    fn spawn(&mut self, program: &Path, folder: &Path) {
        let log = folder.join(format!("{}.log", self.name));
        let log = File::options().append(true).create(true).open(log);
        let log = log.expect("log file");
        let errors = log.try_clone().expect("log file");
        let child = Command::new(program)
            .arg(self.role)
            .env("PLANTAINCROSS_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("program of the deploy file");
        STARTED.lock().expect("process list").push(child.id());
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            let mut started = STARTED.lock().expect("process list");
            started.retain(|pid| *pid != child.id());
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a configuration with the queues `/w/`, and `/b/` of less priority, of the service `svc`
/// and two client accounts. `cap` limits the processors that the first account uses at a time, in
/// thousandths of a core; 0 for no limit.
pub fn configuration(cap: u64) -> String {
    let route = |name: &str, prefix: &str, priority: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","type":"non_idempotent","timeoutMs":3000,"sloMs":1000,"priority":{priority},"backend":"svc","maxAttempts":3,"stretch":2.2,"public":false}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"svc","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"spare":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{},{}]}}"#,
        route("r-work", "/w/", 1),
        route("r-bulk", "/b/", 2),
        tenant("t1", KEYS[0], cap),
        tenant("t2", KEYS[1], 0)
    )
}

fn tenant(name: &str, key: &str, cap: u64) -> String {
    format!(
        r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1,"weight":10,"cap":{{"cpu":{cap},"memMb":0,"gpu":0}}}}"#
    )
}

/// Keys of the two client accounts.
pub const KEYS: [&str; 2] = ["k1k1k1k1k1k1k1k1k1k1", "k2k2k2k2k2k2k2k2k2k2"];

/// Client that submits jobs and asks for them, at one entry instance after the other.
#[derive(Debug)]
pub struct Caller {
    addresses: Vec<SocketAddr>,
    next: usize,
    prefix: &'static str,
    key: &'static str,
}

impl Caller {
    /// Creates a client of the first account that uses the queue `/w/`.
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            next: 0,
            prefix: "/w/",
            key: KEYS[0],
        }
    }

    /// Creates a client of the second account that uses the queue `/b/`, of less priority.
    pub fn bulk(addresses: Vec<SocketAddr>) -> Self {
        Self {
            prefix: "/b/",
            key: KEYS[1],
            ..Self::new(addresses)
        }
    }

    /// Sends one request. Returns the status, 0 without an answer, and the body.
    pub fn call(&mut self, method: &str, id: &str, body: &str) -> (u16, String) {
        let address = self.addresses[self.next % self.addresses.len()];
        self.next += 1;
        let Self { prefix, key, .. } = self;
        let headers =
            format!("Host: {HOST}\r\nAuthorization: Token {key}\r\nDeadline-Ms: 3000\r\n");
        let limit = Duration::from_millis(3_000);
        let answer =
            Client::new(address).call(method, &format!("{prefix}{id}"), &headers, body, limit);
        answer.map_or((0, String::new()), |(status, body)| {
            (status, String::from_utf8_lossy(&body).into_owned())
        })
    }

    /// Submits a job until it is accepted, as clients do after a refusal. Returns the last status.
    pub fn submit(&mut self, id: &str, body: &str, attempts: u32) -> u16 {
        let mut status = 0;
        for attempt in 0..attempts {
            if attempt > 0 {
                std::thread::sleep(Duration::from_millis(1_000));
            }
            status = self.call("POST", id, body).0;
            if status == 200 {
                break;
            }
        }
        status
    }

    /// Returns the state of a job; empty if the answer shows none.
    pub fn state(&mut self, id: &str) -> (u16, String) {
        let (status, body) = self.call("GET", id, "");
        let state = Json::parse(body.as_bytes()).and_then(|b| b.text("state").map(str::to_owned));
        (status, state.unwrap_or_default())
    }
}

// Returns a network of loopback addresses and ports that are free on it.
fn free_network() -> ([u8; 2], Ports) {
    let id = std::process::id();
    for attempt in 0..200_u32 {
        let mixed = id.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7_919);
        let network = [(mixed >> 8) as u8 % 200 + 20, (mixed >> 16) as u8 % 250 + 1];
        let base = 20_000 + (mixed % 10_000) as u16;
        let ports = Ports {
            control: base,
            front: base + 1,
            ready: base + 2,
            peer: base + 3,
        };
        let hosts = [10, 11, 12, 30, 31];
        let is_free = hosts.iter().all(|&host| {
            let ip = Ipv4Addr::new(127, network[0], network[1], host);
            (base..base + 4).all(|port| TcpListener::bind((ip, port)).is_ok())
        });
        if is_free {
            return (network, ports);
        }
    }
    panic!("no free ports");
}
