/** Answer to one request for a permit. */
export interface PermitAnswer {
  /** Target that one request may be sent to; null when none has a permit in time. */
  readonly target: string | null;
  /** Time until the permit may be used, in ms. */
  readonly startInMs: number;
  /** Time until each target that was asked for has a permit that nobody holds, in ms; null for never. */
  readonly freeInMs: Readonly<Record<string, number | null>>;
}
