/** Answer of control's operator API. */
export interface OperatorAnswer {
  readonly status: number;
  /** Origin of the leader, when the replica redirects to it. */
  readonly leaderUrl: string | null;
  readonly body: unknown;
}
