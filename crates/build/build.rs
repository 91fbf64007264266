//! Passes the commit of the checkout to the crate.

use vergen_gitcl::{Emitter, Gitcl};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Without git or a checkout the value is a placeholder.
    Emitter::default()
        .add_instructions(&Gitcl::builder().sha(false).build())?
        .emit()?;
    Ok(())
}
