//! Recovery after the majority of the control replicas was lost permanently.

use eyre::bail;
use masticsill_control::recover_as_sole_voter;
use masticsill_settings::{RoleSettings, Settings};

/// Makes the control replica that the settings describe the only voter of its cluster.
///
/// # Errors
///
/// An error if the settings describe another role, or the data folder can't be used.
pub(crate) fn recover(settings: &Settings) -> eyre::Result<()> {
    let RoleSettings::Control(control) = &settings.role else {
        bail!("the settings are not a control replica's; name the surviving replica's file");
    };
    let cluster = settings.cluster.as_str();
    recover_as_sole_voter(&control.data_folder, cluster, &settings.node)?;
    println!(
        "{} is the only voter now; start it, then join two new replicas",
        settings.node
    );
    Ok(())
}
