import type { Socket } from "node:net";
import type { PartialMessagePool } from "./PartialMessagePool";

/** Bounds of the heads of requests. */
export interface HeadLimits {
  /** Bytes of the target, the names and the values together; may change at any time. */
  readonly getMaxBytes: () => number;
  readonly maxFields: number;
  /** What the incomplete heads of all connections hold. */
  readonly pool: PartialMessagePool;
  /** Called with a connection whose head is too large, or has to give way to others; it must be closed. */
  readonly onTooLarge: (socket: Socket) => void;
}
