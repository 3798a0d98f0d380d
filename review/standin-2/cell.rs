//! A small cell of real processes on loopback, its operator and its callers.

use std::fs::File;
use std::io::{Error, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;
use crate::worker::{Delays, LEASE_MAX_MS, Worker};

/// Program of both roles, as the deploy file names it.
const PROGRAM: &str = "target/release/plantaincross-platform";
/// Key of the only account.
pub const KEY: &str = "key-of-the-account";
/// Host name of all queues.
pub const HOST: &str = "queues.example";
/// Last part of the address of the permission service.
const ADVICE_HOST: u8 = 9;
/// Last part of the address of a control instance that replaces another one.
const REPLACEMENT_HOST: u8 = 4;

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Record of what was sent, answered and run.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<String>>>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            lines: Arc::default(),
            began: Instant::now(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record lock");
        // A lost line only makes the record harder to read.
        let _ = writeln!(file, "{at:9.3} {text}");
        let mut lines = self.lines.lock().expect("record lock");
        lines.push(text.to_owned());
    }

    /// Returns the lines so far, without their times.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("record lock").clone()
    }
}

struct Process {
    name: String,
    settings: PathBuf,
    role: &'static str,
    child: Option<Child>,
}

/// Running cell.
pub struct Cell {
    pub record: Record,
    pub workers: Vec<Worker>,
    /// Orders to workers that the network holds up.
    pub delays: Delays,
    folder: PathBuf,
    control: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    processes: Vec<Process>,
}

fn address(host: u8, port: u16) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, high.max(1), low, host), port).into()
}

// Returns a port from which on a range is free on all loopback addresses.
fn free_port() -> Result<u16> {
    let is_free = |port: u16| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok();
    let first = 20_000 + (std::process::id() % 300) as u16 * 40;
    let mut ports = (first..32_000).step_by(40);
    let found = ports.find(|&port| (port..port + 40).all(is_free));
    found.ok_or_else(|| Error::other("no free ports"))
}

impl Cell {
    /// Starts three control instances, an entry instance and workers.
    pub fn start(case: &Path, workers: usize) -> Result<Self> {
        let record = Record::create(&case.join("record.txt"))?;
        let folder = std::env::temp_dir().join(format!("plantaincross-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let port = free_port()?;
        let mut cell = Self {
            record: record.clone(),
            workers: Vec::new(),
            delays: Delays::default(),
            folder,
            control: (1..=3).map(|host| address(host, port)).collect(),
            entries: vec![address(11, port)],
            processes: Vec::new(),
        };
        let advice = address(ADVICE_HOST, port);
        http::serve(advice, move |request| {
            let body = Json::parse(&request.body)?;
            let good = body.list("workers").into_iter().filter_map(|id| match id {
                Json::Text(id) => Some(format!("[\"{id}\",\"ticket of {id}\"]")),
                _ => None,
            });
            let good: Vec<String> = good.collect();
            std::thread::sleep(Duration::from_millis(10));
            Some((200, format!("{{\"good\":[{}]}}", good.join(","))))
        })?;
        for at in 0..3 {
            let own = address(at as u8 + 1, port);
            cell.add_process(&format!("control-{at}"), "control", at, own, true)?;
        }
        cell.add_process("entry-0", "entry", 0, address(11, port), true)?;
        for at in 0..workers {
            let own = address(50 + at as u8, port);
            let name = format!("w{at}");
            let worker = Worker::start(&name, own, at % 3, &cell.control, &cell.delays, &record)?;
            cell.workers.push(worker);
        }
        Ok(cell)
    }

    fn add_process(
        &mut self,
        name: &str,
        role: &'static str,
        zone: usize,
        own: SocketAddr,
        bootstrap: bool,
    ) -> Result<()> {
        let (ip, port) = (own.ip(), own.port());
        let seeds: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        let data = self.folder.join(format!("{name}-data"));
        let listen = if role == "control" {
            std::fs::create_dir_all(&data)?;
            format!("listen.control={own}\ndataDir={}\n", data.display())
        } else {
            format!("listen.front={own}\nlisten.ready={ip}:{}\n", port + 1)
        };
        let text = format!(
            "nodeName={name}\nrole={role}\nip={ip}\nzone=z{zone}\nregion=g\nzones.z0=g\nzones.z1=g\nzones.z2=g\n\
             {listen}internalPorts={},{}\nseedNodes={}\nbootstrap={bootstrap}\nfaultTolerance.machines=1\n\
             faultTolerance.zones=1\nlimits.maxFds=4096\nlimits.memoryMb=256\nbounds.graceS=6\n\
             bounds.maxHoldMs={LEASE_MAX_MS}\nbounds.stopMs=200\nbounds.farFactor=1.5\nheartbeatMs=1500\n\
             orders=rpc\nadvice={}\n",
            port + 2,
            port + 17,
            seeds.join(","),
            address(ADVICE_HOST, port),
        );
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text)?;
        self.processes.push(Process {
            name: name.to_owned(),
            settings,
            role,
            child: None,
        });
        let at = self.processes.len() - 1;
        self.spawn(at)
    }

    fn spawn(&mut self, at: usize) -> Result<()> {
        let process = &mut self.processes[at];
        let log = self.folder.join(format!("{}.log", process.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .arg(process.role)
            .env("PLANTAINCROSS_CONFIG", &process.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.line(&format!("{} is started", process.name));
        process.child = Some(child);
        Ok(())
    }

    /// Returns the position of a control instance that does not lead.
    pub fn follower(&self) -> usize {
        let leads = |at: &usize| {
            let log = self.folder.join(format!("control-{at}.log"));
            let log = std::fs::read_to_string(log).unwrap_or_default();
            log.rfind("\"event\":\"led\"") > log.rfind("\"event\":\"lead_lost\"")
        };
        (0..3).find(|at| !leads(at)).unwrap_or_default()
    }

    /// Kills a control instance for good.
    pub fn remove_control(&mut self, at: usize) -> Result<()> {
        let process = &mut self.processes[at];
        if let Some(mut child) = process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        self.record.line(&format!("{} is killed", process.name));
        Ok(())
    }

    /// Starts another control instance with an empty disk, at an address of its own.
    pub fn add_control(&mut self, zone: usize) -> Result<()> {
        let own = address(REPLACEMENT_HOST, self.control[0].port());
        self.add_process("control-new", "control", zone, own, false)?;
        self.control[zone] = own;
        Ok(())
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn configure(&self, body: &str) -> Result<()> {
        let version = Json::parse(body).map_or(0, |b| b.number("version"));
        let end = Instant::now() + Duration::from_secs(12);
        let mut at = 0;
        while Instant::now() < end {
            let to = self.control[at % self.control.len()];
            let limit = Duration::from_secs(2);
            let answer = http::call(to, "PUT", "/config", &[], body, limit);
            self.record.line(&format!(
                "operator sends version {version} to {to}: {answer:?}"
            ));
            match answer {
                Ok((200, _)) => return Ok(()),
                Ok((400, _)) => return Err(Error::other("configuration refused")),
                _ => {}
            }
            at += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(Error::other("configuration not acknowledged"))
    }

    /// Sends a caller's request and records the answer.
    pub fn request(&self, method: &str, path: &str, body: &str) -> Result<(u16, String)> {
        let key = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Deadline-Ms", "3000"),
        ];
        let limit = Duration::from_secs(4);
        let answer = http::call(self.entries[0], method, path, &headers, body, limit);
        let shown = body.chars().take(160).collect::<String>();
        self.record
            .line(&format!("caller {method} {path} {shown}: {answer:?}"));
        answer
    }

    /// Hands a job in until it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            match self.request("POST", path, body) {
                Ok((200, _)) => return Ok(()),
                Ok((400..=404, _)) => return Err(Error::other("job refused")),
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        Err(Error::other("job not accepted"))
    }

    /// Returns the state of a job as the caller sees it, or an empty text.
    pub fn state_of(&self, path: &str) -> String {
        match self.request("GET", path, "") {
            Ok((200, body)) => Json::parse(&body).map_or_else(String::new, |b| b.text("state")),
            _ => String::new(),
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                // A process that has ended needs no kill.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
