import type { FrameKind } from "./FrameKind";

/** One message between two processes. `id` pairs a request with its response; it is 0 for a notification. */
export interface Frame {
  readonly kind: FrameKind;
  readonly id: number;
  readonly name: string;
  readonly body: unknown;
}
