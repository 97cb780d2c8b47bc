//! Generates `crates/wire/src/link/generated.rs` from `crates/wire/proto/link.proto`.
//!
//! Run `cargo run --manifest-path tools/codegen/Cargo.toml` from the root of the repository after
//! a change of the proto file, then `cargo fmt`, and commit the result. No build runs this.

use std::error::Error;
use std::path::Path;
use std::{env, fs};

const PROTO_DIR: &str = "crates/wire/proto";
const TARGET: &str = "crates/wire/src/link/generated.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = protox::compile(["link.proto"], [root.join(PROTO_DIR)])?;
    let out = env::temp_dir().join(format!("corneltrestle-codegen-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .bytes(".corneltrestle.link.v1.Value.body")
        .compile_fds(files)?;
    fs::copy(out.join("corneltrestle.link.v1.rs"), root.join(TARGET))?;
    fs::remove_dir_all(&out)?;
    Ok(())
}
