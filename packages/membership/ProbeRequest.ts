/** Body of `probe`: requests that a relay try to reach a target on a new connection. */
export interface ProbeRequest {
  readonly target: string;
  readonly incarnation: string;
  /** `host:port` of the target's agent. */
  readonly address: string;
}
