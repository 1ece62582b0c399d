/** A complete event of a stream, including its blank line. */
export interface RelayedEvent {
  readonly bytes: Buffer;
  /** Null for an event without an id. */
  readonly id: string | null;
  /** Whether it has data; an event of comments only is a keep-alive of the target. */
  readonly hasData: boolean;
}
