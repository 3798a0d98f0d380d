//! `plantaincross show`

use super::{Cell, block_on, print};
use crate::error::Result;
use crate::http::Shown;

/// Shows the configuration in force at one instance, as JSON.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    cell: Cell,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance cannot be asked.
pub fn run(args: &Args) -> Result<()> {
    block_on(async {
        let shown: Shown = args
            .cell
            .client()?
            .call("GET", "/v1/config", None::<&()>)
            .await?;
        print(format_args!(
            "# version {} digest {}",
            shown.version, shown.digest
        ))?;
        let text = serde_json::to_string_pretty(&shown.config).expect("configuration encodes");
        print(text)
    })
}
