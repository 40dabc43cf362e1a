//! Stand-ins of the review's scripts: the platform's store, plain servers, the balancer and
//! clients, as the users' pages describe them. Standard library only.

mod http;
mod keepalive;
mod lapse;
mod rig;
mod store;
mod weights;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let case = arguments.get(1).map(String::as_str).unwrap_or_default();
    let folder = arguments.get(2).map(String::as_str).unwrap_or_default();
    let code = match case {
        "keep-alive" => keepalive::run(folder),
        "lapse" => lapse::run(folder),
        "weights" => weights::run(folder),
        _ => {
            eprintln!("usage: stand CASE FOLDER");
            2
        }
    };
    std::process::exit(code);
}
