/** Body of `heartbeat`. */
export interface HeartbeatRequest {
  readonly target: string;
  readonly incarnation: string;
}
