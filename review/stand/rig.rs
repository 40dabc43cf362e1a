//! What the cases share: gateways as processes, plain servers, the balancer and a record.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// Zones of the deployment.
pub const ZONES: [&str; 4] = ["caerdydd", "abertawe", "aberystwyth", "bangor"];

/// Ports that all front machines use.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
    pub store: u16,
}

impl Ports {
    pub fn free() -> Self {
        let listeners: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"))
            .collect();
        let port = |index: usize| listeners[index].local_addr().expect("an address").port();
        Self {
            front: port(0),
            ready: port(1),
            control: port(2),
            internal: port(3),
            store: port(4),
        }
    }
}

/// Lines of `record.txt`, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(
                Path::new(folder).join("record.txt"),
            )?)),
            started: Instant::now(),
        })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the lock");
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }
}

/// Front machine with its gateway process.
pub struct Gateway {
    settings: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn new(index: usize, ports: Ports, seeds: &[IpAddr], folder: &Path, bounds: &str) -> Self {
        let ip = machine_ip(index);
        let zone = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|ip| format!("{ip}:{}", ports.control))
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("zones.{zone}=cymru\n"))
            .collect();
        let text = format!(
            "node-name={name}\nrole=gateway\nmachine-class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=cymru\n{}listen.front={ip}:{}\nlisten.ready={ip}:{}\n\
             listen.control={ip}:{}\ninternal-ports={},{}\nseeds={}\nbootstrap=true\n\
             limits.cpu-share=0.19\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\n\
             discovery=platform\nentry=vip\nheartbeat-ms=1200\n{bounds}\
             platform.address=127.0.0.1:{}\nplatform.form=log\n",
            zones.concat(),
            ports.front,
            ports.ready,
            ports.control,
            ports.internal,
            ports.internal,
            seeds.join(","),
            ports.store,
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings file");
        Self {
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("the log file");
        let child = Command::new("target/release/bulrushslip-gateway")
            .env_clear()
            .env("BULRUSHSLIP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn()
            .expect("the gateway");
        self.child = Some(child);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the loopback address of a front machine; that of another run differs, since the port of
/// the metrics does not.
pub fn machine_ip(index: usize) -> IpAddr {
    let run = std::process::id();
    let byte = |number: u32| u8::try_from(number).expect("a small number");
    let host = u8::try_from(10 + index).expect("few machines");
    IpAddr::V4(Ipv4Addr::new(
        127,
        byte(64 + run % 64),
        byte(1 + run / 64 % 250),
        host,
    ))
}

/// Asks a gateway whether it is ready.
pub fn is_ready(ip: IpAddr, ports: Ports) -> bool {
    let address = SocketAddr::new(ip, ports.ready);
    let head = "GET /readyz HTTP/1.1\r\nHost: ready\r\n";
    http::call(address, head, &[], Duration::from_secs(1))
        .is_ok_and(|answer| answer.status() == 200)
}

/// Balancer: asks each gateway once a second; two misses take it out until the next 200.
pub struct Balancer {
    in_rotation: Vec<Arc<AtomicBool>>,
}

impl Balancer {
    pub fn start(ips: &[IpAddr], ports: Ports) -> Self {
        let in_rotation: Vec<Arc<AtomicBool>> = ips
            .iter()
            .map(|_| Arc::new(AtomicBool::new(false)))
            .collect();
        for (ip, flag) in ips.iter().copied().zip(in_rotation.iter().cloned()) {
            std::thread::spawn(move || {
                let mut misses = 2;
                loop {
                    misses = if is_ready(ip, ports) { 0 } else { misses + 1 };
                    flag.store(misses < 2, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        Self { in_rotation }
    }

    /// Returns the gateways that get new connections: all if fewer than half are in rotation.
    pub fn targets(&self) -> Vec<usize> {
        let all = 0..self.in_rotation.len();
        let ready: Vec<usize> = all
            .clone()
            .filter(|index| self.in_rotation[*index].load(Ordering::Relaxed))
            .collect();
        if ready.len() * 2 < self.in_rotation.len() {
            all.collect()
        } else {
            ready
        }
    }
}

/// Pseudo-random numbers by xorshift.
pub struct Dice(pub u64);

impl Dice {
    pub fn roll(&mut self, sides: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        usize::try_from(self.0 >> 33).unwrap_or(0) % sides
    }
}

/// Starts a plain server that runs a request only if it is the one that the request expects.
pub fn plain_server(id: &str, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (id, record) = (id.to_owned(), record.clone());
    http::serve(listener, move |request, stream| {
        let request_id = request.header("x-request-id").unwrap_or_default();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = [("x-instance-id", id.as_str()), ("x-request-id", request_id)];
            return http::respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        record.line(&format!("run {request_id} at {id}"));
        std::thread::sleep(Duration::from_millis(10));
        let headers = [
            ("x-instance-id", id.as_str()),
            ("x-request-id", request_id),
            ("x-server-seal", "seal"),
            ("keep-alive", "timeout=5"),
        ];
        http::respond(stream, "200 OK", &headers, b"done").is_ok()
    });
    address
}

/// Configuration with a non-idempotent and an idempotent route to one service.
pub fn plain_configuration() -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r{attempts}\",\"host\":\"unit.example\",\"path-prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout-ms\":1000,\"target-latency-ms\":150,\"priority\":2,\
             \"service\":\"clone-api\",\"max-attempts\":{attempts},\"public\":true,\
             \"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"clone-api\",\
         \"health-path\":\"/healthz\",\"max-connections\":250,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        route("/commit/", "non_idempotent", 1),
        route("/status/", "idempotent", 2),
    )
}

/// Waits until all gateways are ready.
pub fn await_ready(ips: &[IpAddr], ports: Ports) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if ips.iter().all(|ip| is_ready(*ip, ports)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}
