import type { FrameKind } from "./FrameKind";

/** One message between two processes. `id` pairs a request with its answer; 0 for a notify. */
export interface Frame {
  readonly kind: FrameKind;
  readonly id: number;
  readonly name: string;
  readonly body: unknown;
}
