/** Body of `order` (`POST /agent/order`): an order of control or of a group lead to the target. */
export interface OrderRequest {
  /** Fencing number: term of the control leader, or epoch of the group lease. */
  readonly epoch: number;
  /** Recent stamp of this agent. */
  readonly stamp: string;
  /** Handed to the target as it is. */
  readonly order: unknown;
}
