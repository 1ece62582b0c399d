/** What a gateway adds to a request that it sends to a target. */
export interface SendContext {
  readonly targetId: string;
  readonly team: string | null;
  readonly leftMs: number;
  /** Continues a stream after this event; null leaves the caller's own value. */
  readonly resumeAfter: string | null;
  /** 0 is the most urgent, 9 the least; null for the target's default. */
  readonly urgency: number | null;
}
