/**
 * Holder of a group lease. Its name in control includes its address, so that each agent can report the
 * leader's.
 */
export interface LeadHolder {
  readonly target: string;
  /** `host:port` of the leader's agent. */
  readonly address: string;
}
