//! Generates the Rust code of the gRPC services between nodes from the files in
//! `crates/wire/proto`.
//!
//! After a change of a proto file, run `cargo run --manifest-path tools/codegen/Cargo.toml` from
//! the root of the repository, then `cargo fmt --all`, and commit the result. No build runs this
//! tool.

use std::error::Error;
use std::path::Path;
use std::{env, fs};

const PROTO_DIR: &str = "crates/wire/proto";

/// Each proto file, its package and the file that is generated from it.
const FILES: [(&str, &str, &str); 2] = [
    ("link.proto", "corneltrestle.link.v1", "crates/wire/src/link/generated.rs"),
    ("mesh.proto", "corneltrestle.mesh.v1", "crates/wire/src/mesh/generated.rs"),
];

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = protox::compile(FILES.map(|(file, _, _)| file), [root.join(PROTO_DIR)])?;
    let out = env::temp_dir().join(format!("corneltrestle-codegen-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .bytes(".corneltrestle.link.v1.Value.body")
        .bytes(".corneltrestle.mesh.v1.FactsReply.changes")
        .compile_fds(files)?;
    for (_, package, target) in FILES {
        fs::copy(out.join(format!("{package}.rs")), root.join(target))?;
    }
    fs::remove_dir_all(&out)?;
    Ok(())
}
