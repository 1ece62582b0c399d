/** A caller's request to a model. */
export interface ModelRequest {
  readonly path: string;
  readonly isChat: boolean;
  readonly model: string;
  readonly adapter: string;
  /** Whether the caller requested a stream of events; otherwise it gets one JSON response. */
  readonly stream: boolean;
  readonly maxTokenCount: number;
  readonly promptTokenCount: number;
  readonly prefixHashes: readonly number[];
  /** Whether the same prompt and tokens give the same continuation: greedy or seeded. */
  readonly deterministic: boolean;
  /** The body as the caller sent it. */
  readonly body: Readonly<Record<string, unknown>>;
}
