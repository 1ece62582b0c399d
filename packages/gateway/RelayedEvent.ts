/** A complete event of a stream, its blank line included. */
export interface RelayedEvent {
  readonly bytes: Buffer;
  /** Null for an event without an id. */
  readonly id: string | null;
  /** Whether it is more than comments, which a target sends to keep a connection open. */
  readonly hasData: boolean;
}
