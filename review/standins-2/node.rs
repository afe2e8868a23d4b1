//! Nodes as processes, started with the command of the deploy file.

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{client, http::free_address, record::Record};

/// Ids of the processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ports that all nodes of a case share, each at its own address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub peers: u16,
}

impl Ports {
    pub fn free(ip: Ipv4Addr) -> Self {
        let port = || free_address(ip).port();
        Self { front: port(), ready: port(), control: port(), peers: port() }
    }
}

/// Returns addresses of loopback that no other run is likely to use.
pub fn addresses(count: u8) -> Vec<Ipv4Addr> {
    let number = std::process::id();
    let (high, low) = ((number >> 8 & 0x7f) as u8 + 64, (number & 0xff) as u8);
    (0..count).map(|at| Ipv4Addr::new(127, high, low, at + 10)).collect()
}

pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
    starts: u32,
}

/// What a node's settings file says beside its own addresses.
pub struct Settings<'a> {
    pub zone: &'a str,
    pub zones: &'a [(&'a str, &'a str)],
    pub seeds: &'a [Ipv4Addr],
    pub store: SocketAddrV4,
    pub grace_s: u32,
    pub memory_mb: u32,
    pub max_fds: u32,
}

impl Node {
    pub fn new(name: &str, ip: Ipv4Addr, ports: Ports, settings: &Settings<'_>, record: &Record) -> Self {
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let node = Self {
            name: name.to_owned(),
            ip,
            ports,
            settings: folder.join(format!("{name}.conf")),
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
            starts: 0,
        };
        node.write(settings, true);
        node
    }

    /// Writes the settings file, with the fields of `DEPLOY.md`.
    pub fn write(&self, settings: &Settings<'_>, bootstrap: bool) {
        let Settings { zone, zones, seeds, store, grace_s, memory_mb, max_fds } = settings;
        let (ip, ports) = (self.ip, self.ports);
        let region = zones.iter().find(|(name, _)| name == zone).map_or("", |(_, region)| region);
        let lines: String = zones.iter().map(|(name, region)| format!("zones.{name}={region}\n")).collect();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:{}", ports.control)).collect();
        let text = format!(
            "node={}\nrole=router\nmachineClass=front\nserves=front,control\nip={ip}\nzone={zone}\n\
             region={region}\n{lines}listen.front={ip}:{}\nlisten.ready={ip}:{}\n\
             listen.control={ip}:{}\nportRange={},{}\nseeds={}\nbootstrap={bootstrap}\n\
             lossCounts=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb={memory_mb}\n\
             limits.maxFds={max_fds}\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n\
             entry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=1\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=4000\nbounds.ackMs=5000\n\
             bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS={grace_s}\nbounds.lostMs=200\n\
             bounds.configMs=3000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=6000\n\
             bounds.strictRevoke=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.budgetMinRetries=52\nbounds.coldOver=1.5\n\
             bounds.coldSlack=5\nbounds.evacMs=5000\nbounds.recoverS=12\nbounds.passMs=400\n\
             bounds.reuseWindowS=10\nplatform.addr={store}\nplatform.form=read\n\
             platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
             platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n",
            self.name, ports.front, ports.ready, ports.control, ports.peers, ports.peers + 15,
            seeds.join(","),
        );
        fs::write(&self.settings, text).expect("the settings file can be written");
    }

    pub fn start(&mut self) {
        let program = env::var("NODE").unwrap_or_else(|_| "target/release/peridotdeck-node".to_owned());
        let options = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = options.expect("the log can be written");
        let errors = log.try_clone().expect("a descriptor is free");
        let child = Command::new(program)
            .args(["--metrics", "9464"])
            .env("PERIDOTDECK_CONFIG", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the node's program was built");
        STARTED.lock().expect("held briefly").push(child.id());
        self.starts += 1;
        self.record.line(&format!("{} started (start {})", self.name, self.starts));
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        self.record.line(&format!("{} got SIG{name}", self.name));
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        self.wait();
    }

    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            let _ = child.wait();
            STARTED.lock().expect("held briefly").retain(|each| *each != id);
        }
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the resident memory of the process in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let words = line.unwrap_or_default().split_whitespace().next();
        words.and_then(|kilobytes| kilobytes.parse().ok()).unwrap_or(0)
    }

    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.front)
    }

    /// Asks the readiness check, as the platform does.
    pub fn is_ready(&self) -> bool {
        client::get(SocketAddrV4::new(self.ip, self.ports.ready), "/api/ready") == Some(200)
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} did not become ready; its log is {}", self.name, self.log.display()))
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Kills the processes that are left and removes the temporary folder.
pub fn end_all() {
    for id in STARTED.lock().expect("held briefly").drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    if env::var("KEEP").is_err() {
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let _ = fs::remove_dir_all(folder);
    }
}
