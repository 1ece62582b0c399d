/** A complete event of a stream, its blank line included. */
export interface RelayedEvent {
  readonly bytes: Buffer;
  /** Null for an event without an id. */
  readonly id: string | null;
}
