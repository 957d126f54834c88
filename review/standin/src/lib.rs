//! What the review's scripts share: processes of the product, a small HTTP client and a record.
//!
//! Everything here follows the users' pages: settings as the deploy file's template gives them, calls
//! as PROTOCOL describes them. Each machine has its own loopback address.

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const FRONT_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
pub const CONTROL_PORT: u16 = 8229;
pub const FIRST_PORT: u16 = 7340;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// The record of a run, with the time since its start.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record only.
    pub fn detail(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// What a deployment's sheet says.
#[derive(Clone)]
pub struct Sheet {
    pub zones: [&'static str; 3],
    pub region: &'static str,
    pub heartbeat_ms: u64,
    pub memory_mb: u64,
    pub bounds: &'static str,
    pub contracts: &'static str,
}

/// The processes of one deployment. All of them end when this is dropped.
pub struct Deployment {
    folder: PathBuf,
    pub network: (u8, u8),
    pub seeds: Vec<u8>,
    sheet: Sheet,
    binary: PathBuf,
}

impl Deployment {
    pub fn new(sheet: Sheet) -> Self {
        let root = std::env::current_dir().expect("a current folder");
        let binary = root.join("target/release/masticsill");
        if !binary.is_file() {
            eprintln!("target/release/masticsill is missing; build it first");
            std::process::exit(2);
        }
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("masticsill-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = free_network(id);
        Self {
            folder,
            network,
            seeds: vec![1, 2, 3],
            sheet,
            binary,
        }
    }

    pub fn ip(&self, machine: u8) -> String {
        format!("127.{}.{}.{machine}", self.network.0, self.network.1)
    }

    pub fn control(&self, machine: u8) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.ip(machine)).parse().unwrap()
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip(machine)).parse().unwrap()
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        format!("{}:{READY_PORT}", self.ip(machine)).parse().unwrap()
    }

    fn data_folder(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// Prepares the process of one role on a machine, without starting it.
    pub fn process(&self, role: &'static str, machine: u8, has_disk: bool) -> Process {
        Process {
            binary: self.binary.clone(),
            child: None,
            data: (role == "control" && has_disk).then(|| self.data_folder(machine)),
            log: self.folder.join(format!("{role}-{machine}.log")),
            machine,
            role,
            settings: self.folder.join(format!("{role}-{machine}.json")),
        }
    }

    /// Writes a process's settings as the template in `deploy/` gives them.
    pub fn write_settings(&self, process: &Process, is_bootstrap: bool) {
        let ip = self.ip(process.machine);
        let zone = self.sheet.zones[usize::from(process.machine - 1) % 3];
        let listen = match process.role {
            "control" => format!(r#"{{"control":"{ip}:{CONTROL_PORT}"}}"#),
            _ => format!(r#"{{"front":"{ip}:{FRONT_PORT}","ready_addr":"{ip}:{READY_PORT}"}}"#),
        };
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|it| format!("\"{}\"", self.control(*it)))
            .collect();
        let data = process.data.as_ref().map_or(String::new(), |it| {
            format!(r#""data_dir":"{}","#, it.display())
        });
        let zones: Vec<String> = self
            .sheet
            .zones
            .iter()
            .map(|it| format!(r#""{it}":"{}""#, self.sheet.region))
            .collect();
        let counted = process.data.is_some();
        let text = format!(
            concat!(
                r#"{{"operators":[],"platform":{{"node":"front-{zone}-{machine}","role":"{role}","#,
                r#""machine_class":"front","serves":["{serves}"],"ip":"{ip}","zone":"{zone}","#,
                r#""region":"{region}","zones":{{{zones}}},"listen":{listen},"#,
                r#""port_range":[{first},{last}],"seeds":[{seeds}],"bootstrap":{bootstrap},"#,
                r#""fault_counted":{counted},"limits":{{"cpu_share":0.45,"cores":1,"#,
                r#""memory_mb":{memory},"max_fds":4100,"link_mbps":1000.0,"disk_mb":64}},{data}"#,
                r#""discovery":"registry","entry":"vip","heartbeat_ms":{heartbeat},"#,
                r#""contracts":[{contracts}],"#,
                r#""fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{{bounds}}},"#,
                r#""config_mode":"highest"}}}}"#
            ),
            zone = zone,
            machine = process.machine,
            role = process.role,
            serves = if process.role == "control" { "control" } else { "front" },
            ip = ip,
            region = self.sheet.region,
            zones = zones.join(","),
            listen = listen,
            first = FIRST_PORT,
            last = FIRST_PORT + 15,
            seeds = seeds.join(","),
            bootstrap = is_bootstrap,
            counted = counted,
            memory = self.sheet.memory_mb,
            data = data,
            heartbeat = self.sheet.heartbeat_ms,
            contracts = self.sheet.contracts,
            bounds = self.sheet.bounds,
        );
        fs::write(&process.settings, text).expect("the settings can be written");
    }

    pub fn log_text(&self, process: &Process) -> String {
        fs::read_to_string(&process.log).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Two middle numbers of loopback addresses that nobody listens on.
fn free_network(id: u32) -> (u8, u8) {
    for attempt in 0..200u32 {
        let number = (id.wrapping_add(attempt * 977)) % 60_000;
        let high = 10 + u8::try_from(number / 250 % 240).unwrap();
        let low = u8::try_from(number % 250).unwrap();
        let is_free = (1..=8).all(|machine| {
            [FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT, FIRST_PORT + 1, 9464, 9465]
                .iter()
                .all(|port| TcpListener::bind(format!("127.{high}.{low}.{machine}:{port}")).is_ok())
        });
        if is_free {
            return (high, low);
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(2);
}

/// One process of the product.
pub struct Process {
    binary: PathBuf,
    child: Option<Child>,
    data: Option<PathBuf>,
    log: PathBuf,
    pub machine: u8,
    pub role: &'static str,
    settings: PathBuf,
}

impl Process {
    /// Starts it with the command of the deploy file.
    pub fn start(&mut self, deployment: &Deployment, is_bootstrap: bool) {
        deployment.write_settings(self, is_bootstrap);
        let log = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new(&self.binary)
            .arg("platform")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("the process can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, for example `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let sent = Command::new("kill").args(["-s", name, &id.to_string()]).status();
            if !sent.is_ok_and(|it| it.success()) {
                eprintln!("a signal can't be sent");
                std::process::exit(2);
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until the process has ended; kills it after `grace`.
    pub fn await_end(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        while !self.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Empties the machine's disk. The process must not run.
    pub fn wipe_disk(&self) {
        if let Some(data) = &self.data {
            fs::remove_dir_all(data).expect("the disk can be emptied");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a call on a new channel and reads the whole answer; none without one in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<Answer> {
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    read_answer(&mut stream)
}

/// Reads one answer with a length, in chunks, or up to the end of the channel.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut piece = [0u8; 16 * 1024];
    let head_end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut piece).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let status: u16 = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut body = bytes[head_end + 4..].to_vec();
    let value = |name: &str| {
        let found = headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    if let Some(length) = value("content-length").and_then(|it| it.parse::<usize>().ok()) {
        while body.len() < length {
            let count = stream.read(&mut piece).ok()?;
            if count == 0 {
                return None;
            }
            body.extend_from_slice(&piece[..count]);
        }
        body.truncate(length);
    } else if value("transfer-encoding").is_some() {
        while !body.ends_with(b"0\r\n\r\n") {
            let count = stream.read(&mut piece).ok()?;
            if count == 0 {
                return None;
            }
            body.extend_from_slice(&piece[..count]);
        }
        body = join_chunks(&body)?;
    } else {
        loop {
            let count = stream.read(&mut piece).ok()?;
            if count == 0 {
                break;
            }
            body.extend_from_slice(&piece[..count]);
        }
    }
    Some(Answer { status, headers, body })
}

fn join_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = find(rest, b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..end]).ok()?.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(end + 2..end + 2 + size)?);
        rest = rest.get(end + 4 + size..)?;
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

/// The number after `"version":` of a manifest.
pub fn version_of(manifest: &str) -> Option<u64> {
    let rest = manifest.split("\"version\":").nth(1)?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis())
}

pub fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A request as it arrived at a replica.
pub struct Request {
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.split("\r\n").skip(1);
        lines.find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn id(&self) -> &str {
        self.header("Request-Id").unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Bytes in a millisecond that a replica reads on one channel: 1,000 Mbit/s, a machine's own link.
const LINK_BYTES_PER_MS: usize = 125_000;

/// Reads one request with a length; none at the end of the channel. `arrived` is told of its head.
pub fn read_request(stream: &mut TcpStream, arrived: &dyn Fn(&Request)) -> Option<Request> {
    let mut bytes = Vec::new();
    let mut piece = vec![0u8; 64 * 1024];
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut piece).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut request = Request {
        head,
        body: bytes[end + 4..].to_vec(),
    };
    let length: usize = request
        .header("Content-Length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    arrived(&request);
    let mut unpaced = 0;
    while request.body.len() < length {
        let count = stream.read(&mut piece).ok()?;
        if count == 0 {
            return None;
        }
        request.body.extend_from_slice(&piece[..count]);
        unpaced += count;
        if unpaced >= LINK_BYTES_PER_MS {
            unpaced -= LINK_BYTES_PER_MS;
            thread::sleep(Duration::from_millis(1));
        }
    }
    Some(request)
}

/// A replica: says that it is there, as PROTOCOL describes it, and serves each channel with `serve`,
/// which answers one request and says whether the channel stays open. `arrived` is told of each head.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    is_over: Arc<std::sync::atomic::AtomicBool>,
}

impl Replica {
    pub fn start(
        ip: &str,
        service: &str,
        zone: &str,
        slots: u32,
        is_engine: bool,
        heartbeat_ms: u64,
        controls: Vec<SocketAddr>,
        arrived: impl Fn(&Request) + Send + Sync + 'static,
        serve: impl Fn(&str, &Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
        static LAST: AtomicU64 = AtomicU64::new(0);
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let address = listener.local_addr().unwrap();
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{:08x}", 0x7f3a_0000 + number * 257 + u64::from(std::process::id() % 251));
        let is_over = Arc::new(AtomicBool::new(false));
        let serve = Arc::new(serve);
        let arrived = Arc::new(arrived);
        let own_id = id.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let (serve, own_id) = (Arc::clone(&serve), own_id.clone());
                let arrived = Arc::clone(&arrived);
                thread::spawn(move || serve_channel(stream, &own_id, &*arrived, &*serve));
            }
        });
        let models = if is_engine {
            r#","stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}]"#
        } else {
            ""
        };
        let body = format!(
            r#""service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0{models}"#
        );
        let (beating, beat_id) = (Arc::clone(&is_over), id.clone());
        thread::spawn(move || {
            let mut sequence = 0u64;
            let mut next = usize::try_from(number).unwrap();
            while !beating.load(Ordering::Relaxed) {
                sequence += 1;
                let beat = format!("{{{body},\"sequence\":{sequence}}}");
                let path = format!("/-/replicas/{beat_id}");
                for _ in 0..controls.len() {
                    let control = controls[next % controls.len()];
                    let answer = call(control, "PUT", &path, &beat, Duration::from_secs(1));
                    if answer.is_some_and(|it| it.status / 100 == 2) {
                        break;
                    }
                    next += 1;
                }
                thread::sleep(Duration::from_millis(heartbeat_ms));
            }
        });
        Self { id, address, is_over }
    }

    /// Ends its liveness reports.
    pub fn stop(&self) {
        self.is_over.store(true, std::sync::atomic::Ordering::Relaxed);
    }
}

fn serve_channel(
    mut stream: TcpStream,
    id: &str,
    arrived: &dyn Fn(&Request),
    serve: &dyn Fn(&str, &Request, &mut TcpStream) -> bool,
) {
    while let Some(request) = read_request(&mut stream, arrived) {
        if request.path().starts_with("/-/kv-events") {
            // No parts are kept. The call waits as long as it asks for.
            let wait: u64 = request.header("Wait-Ms").and_then(|it| it.parse().ok()).unwrap_or(0);
            thread::sleep(Duration::from_millis(wait.min(1_000)));
            let body = r#"{"epoch":1,"next":1,"lost":false,"events":[]}"#;
            if stream.write_all(json_answer(200, body).as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.path().starts_with("/-/kv-list") {
            let body = r#"{"epoch":1,"next":1,"held":[]}"#;
            if stream.write_all(json_answer(200, body).as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.path().starts_with("/-/") {
            if stream.write_all(json_answer(503, "{}").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let expected = request.header("Expect-Replica");
        if expected.is_some_and(|it| it != id) {
            let answer = format!("HTTP/1.1 421 Misdirected Request\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !serve(id, &request, &mut stream) {
            return;
        }
    }
}

fn json_answer(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The bytes of memory that a process holds now, as the kernel counts them.
pub fn resident_bytes(process: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find(|it| it.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}
