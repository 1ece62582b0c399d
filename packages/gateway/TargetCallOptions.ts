import type { Guard } from "./Guard";
import type { TargetConnectionPool } from "./TargetConnectionPool";
import type { WireCodec } from "./WireCodec";

/** One request to one target. */
export interface TargetCallOptions {
  readonly host: string;
  readonly port: number;
  /** Connection pool of the target; null for a connection that serves this request only. */
  readonly connectionPool: TargetConnectionPool | null;
  readonly codec: WireCodec;
  readonly requestId: string | null;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Longest wait for the head of the response, in ms. */
  readonly responseTimeoutMs: number;
  /** Runs the handlers of the call and of its listener. */
  readonly guard: Guard;
}
