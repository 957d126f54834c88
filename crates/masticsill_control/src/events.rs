//! Log events of the control role, numbers 4100 to 4199.

use masticsill_types::Event;

/// The replica has started.
pub const CONTROL_STARTED: Event = Event::new(4101, "control_started");
/// The replica's role, term or known leader changed.
pub const ROLE_CHANGED: Event = Event::new(4102, "control_role_changed");
/// Writing or syncing failed; the replica stops.
pub const STORAGE_FAILED: Event = Event::new(4103, "control_storage_failed");
/// This version can't decode an entry of the log or a snapshot; the replica stops.
pub const STATE_UNREADABLE: Event = Event::new(4104, "control_state_unreadable");
/// The replica stored the founding members; its data folder belongs to a cluster from now on.
pub const FOUNDED: Event = Event::new(4105, "control_founded");
/// The data folder is new, and the replica waits until an operator admits it.
pub const WAITS_FOR_ADMISSION: Event = Event::new(4106, "control_waits_for_admission");
/// A quorum message from a peer could not be decoded.
pub const MESSAGE_UNREADABLE: Event = Event::new(4107, "control_message_unreadable");
/// A request was refused because its operator token is missing or unknown.
pub const OPERATOR_UNKNOWN: Event = Event::new(4108, "control_operator_unknown");
/// The replica is stopping and transfers its leadership.
pub const HANDING_OVER: Event = Event::new(4109, "control_handing_over");
/// The replica stopped.
pub const CONTROL_STOPPED: Event = Event::new(4110, "control_stopped");
/// The state was restored from the leader's snapshot.
pub const SNAPSHOT_RESTORED: Event = Event::new(4111, "control_snapshot_restored");
/// A snapshot of the state was taken.
pub const SNAPSHOT_TAKEN: Event = Event::new(4112, "control_snapshot_taken");
/// This replica leads and starts to send orders to engines, having fenced former leaders.
pub const ORDERS_BEGUN: Event = Event::new(4120, "control_orders_begun");
/// An order to an engine ended.
pub const ORDER_ENDED: Event = Event::new(4121, "control_order_ended");
/// An agent did not confirm the fencing of former leaders; it gets no orders until it does.
pub const AGENT_NOT_FENCED: Event = Event::new(4122, "control_agent_not_fenced");
/// An endpoint registered, or changed what it announces.
pub const ENDPOINT_HEARD: Event = Event::new(4130, "control_endpoint_heard");
/// An endpoint deregistered.
pub const ENDPOINT_LEFT: Event = Event::new(4131, "control_endpoint_left");
/// An endpoint's heartbeats stopped arriving, or resumed.
pub const ENDPOINT_SILENCE: Event = Event::new(4132, "control_endpoint_silence");
/// This replica asked to be admitted to the quorum.
pub const ADMISSION_ASKED: Event = Event::new(4133, "control_admission_asked");
/// The leader removes a member that has been silent and is not needed.
pub const VOTER_TRIMMED: Event = Event::new(4134, "control_voter_trimmed");
/// The persisted endpoint records could not be read or written; only a restart gets slower.
pub const ENDPOINTS_NOT_KEPT: Event = Event::new(4135, "control_endpoints_not_kept");
/// The updates of an engine's prompt cache can be read.
pub const PROMPTS_FOLLOWED: Event = Event::new(4136, "control_prompts_followed");
/// The updates of an engine's prompt cache can't be read; requests are placed without them.
pub const PROMPTS_LOST: Event = Event::new(4137, "control_prompts_lost");
/// A process without a disk serves control by forwarding calls to the replicas.
pub const FORWARDER_STARTED: Event = Event::new(4138, "control_forwarder_started");
/// No replica accepted a forwarded heartbeat; the endpoint retries at another process.
pub const HEARTBEAT_NOT_PASSED: Event = Event::new(4139, "control_heartbeat_not_passed");
/// This replica founded a cluster, or could not reserve the members for it.
pub const FOUNDING_PROPOSED: Event = Event::new(4140, "control_founding_proposed");
/// The document in force can't be split into pieces, so that relays can't fetch it.
pub const DOCUMENT_UNCUT: Event = Event::new(4141, "control_document_uncut");
/// A message of an endpoint could not be parsed; it is refused or skipped.
pub const WORD_UNREADABLE: Event = Event::new(4142, "control_word_unreadable");
/// This replica gave up its founding: its log is empty, and a cluster exists without it.
pub const FOUNDING_GIVEN_UP: Event = Event::new(4143, "control_founding_given_up");
/// An endpoint crash was assessed: whether it counts against the request that ran there.
pub const CRASH_JUDGED: Event = Event::new(4144, "control_crash_judged");

/// The leader answered an operator's order of a roll-out.
pub const ROLLOUT_ORDERED: Event = Event::new(4145, "control_rollout_ordered");
/// A roll-out entered another phase, or its share changed.
pub const ROLLOUT_STEPPED: Event = Event::new(4146, "control_rollout_stepped");
/// A roll-out was completed or rolled back.
pub const ROLLOUT_ENDED: Event = Event::new(4147, "control_rollout_ended");
/// The origins of streams that a former process of this replica stored were read.
pub const STREAM_ORIGINS_RESTORED: Event = Event::new(4148, "control_stream_origins_restored");
/// The origins of streams could not be read or stored.
pub const STREAM_ORIGINS_NOT_STORED: Event = Event::new(4149, "control_stream_origins_not_stored");
/// Another replica that has started was sent the origins of streams that are known here.
pub const STREAM_ORIGINS_SENT: Event = Event::new(4150, "control_stream_origins_sent");

/// The members in this replica's log changed.
pub const MEMBERS_CHANGED: Event = Event::new(4151, "control_members_changed");
/// This replica is about to stop and asked to leave the quorum.
pub const LEAVE_ASKED: Event = Event::new(4152, "control_leave_asked");
/// The data folder is damaged; it is replaced if the other replicas form a quorum.
pub const FOLDER_DAMAGED: Event = Event::new(4153, "control_folder_damaged");
/// The files of a damaged data folder were set aside; this replica has a new identity.
pub const FOLDER_SET_ASIDE: Event = Event::new(4154, "control_folder_set_aside");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    CONTROL_STARTED,
    ROLE_CHANGED,
    STORAGE_FAILED,
    STATE_UNREADABLE,
    FOUNDED,
    WAITS_FOR_ADMISSION,
    MESSAGE_UNREADABLE,
    OPERATOR_UNKNOWN,
    HANDING_OVER,
    CONTROL_STOPPED,
    SNAPSHOT_RESTORED,
    SNAPSHOT_TAKEN,
    ORDERS_BEGUN,
    ORDER_ENDED,
    AGENT_NOT_FENCED,
    ENDPOINT_HEARD,
    ENDPOINT_LEFT,
    ENDPOINT_SILENCE,
    ADMISSION_ASKED,
    VOTER_TRIMMED,
    ENDPOINTS_NOT_KEPT,
    PROMPTS_FOLLOWED,
    PROMPTS_LOST,
    FORWARDER_STARTED,
    HEARTBEAT_NOT_PASSED,
    FOUNDING_PROPOSED,
    DOCUMENT_UNCUT,
    WORD_UNREADABLE,
    FOUNDING_GIVEN_UP,
    CRASH_JUDGED,
    ROLLOUT_ORDERED,
    ROLLOUT_STEPPED,
    ROLLOUT_ENDED,
    STREAM_ORIGINS_RESTORED,
    STREAM_ORIGINS_NOT_STORED,
    STREAM_ORIGINS_SENT,
    MEMBERS_CHANGED,
    LEAVE_ASKED,
    FOLDER_DAMAGED,
    FOLDER_SET_ASIDE,
];
