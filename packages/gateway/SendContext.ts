/** Values that a gateway adds to a request to a target. */
export interface SendContext {
  readonly targetId: string;
  /** Name of the team as the value of a header; null for none. */
  readonly team: string | null;
  readonly leftMs: number;
  /** Id of the event after which a stream is resumed; null leaves the caller's own value. */
  readonly resumeAfter: string | null;
  /** 0 is the most urgent, 9 the least; null uses the target's default. */
  readonly urgency: number | null;
}
