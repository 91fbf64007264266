//! Passes the commit of the checkout to the crate.

use vergen_gitcl::{Emitter, Gitcl};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Passes nothing without git or a checkout.
    Emitter::default()
        .add_instructions(&Gitcl::builder().sha(false).build())?
        .emit()?;
    Ok(())
}
