/** Holder of a group lease. Its name in control includes its address, so that each agent can point to the lead. */
export interface LeadHolder {
  readonly target: string;
  /** `host:port` of the lead's agent. */
  readonly address: string;
}
