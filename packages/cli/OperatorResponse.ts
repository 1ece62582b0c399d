/** Response of control's operator API. */
export interface OperatorResponse {
  readonly status: number;
  /** Origin of the leader if the replica redirects to it; null otherwise. */
  readonly leaderUrl: string | null;
  readonly body: unknown;
}
