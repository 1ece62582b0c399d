/** Holder of a group lease. Its name in control includes its address, so that all agents can report it. */
export interface GroupLeaseHolder {
  readonly target: string;
  /** `host:port` of the leader's agent. */
  readonly address: string;
}
