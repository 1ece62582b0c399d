/** Events of the failure detector; each has a counter. */
export enum FailureDetectorEvent {
  HeartbeatMissed = "heartbeat_missed",
  /** The target responded on a new connection while its heartbeats were missing. */
  SilentConnection = "silent_connection",
  Unreachable = "unreachable",
  /** No relay of another failure domain confirmed that the target is unreachable. */
  Unconfirmed = "unconfirmed",
  MassSuspicion = "mass_suspicion",
  Flapping = "flapping",
  OwnStall = "own_stall",
  Removed = "removed",
}
