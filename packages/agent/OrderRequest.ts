/** Body of `POST /agent/order`: an order from control or from a group leader to the target. */
export interface OrderRequest {
  /** Fencing token: term of the control leader, or epoch of the group lease. */
  readonly epoch: number;
  /** Recent stamp of this agent. */
  readonly stamp: string;
  /** Forwarded to the target unchanged. */
  readonly order: unknown;
}
