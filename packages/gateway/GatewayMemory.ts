import type { Clock } from "@clementinemux/common/Clock";
import { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import { ByteBudget } from "./ByteBudget";
import { UnreadResponses } from "./UnreadResponses";
import { getUploadShareBytes } from "./getUploadShareBytes";

interface GatewayMemoryOptions {
  /** Bytes that all bodies and events of a gateway may hold together. */
  readonly maxHeldBytes: number;
  readonly clock: Clock;
  /** The connection of a caller that did not read was closed. */
  readonly onUnreadDropped: () => void;
}

/** Divides the memory for the bodies and events of a gateway among uploads, requests in work and responses. */
export class GatewayMemory {
  /** Uploads that are not complete. */
  readonly uploads: PartialMessagePool;
  /** Requests in work, and responses. */
  readonly byteBudget: ByteBudget;
  readonly unread: UnreadResponses;

  constructor({ maxHeldBytes, clock, onUnreadDropped }: GatewayMemoryOptions) {
    const uploadBytes = getUploadShareBytes(maxHeldBytes);
    this.uploads = new PartialMessagePool(() => uploadBytes);
    this.byteBudget = new ByteBudget(maxHeldBytes - uploadBytes);
    this.unread = new UnreadResponses(this.byteBudget, () => clock.monotonicMs(), onUnreadDropped);
  }

  get gauges() {
    const { responses } = this.byteBudget;
    return {
      clementinemux_gateway_held_bytes: this.byteBudget.usedBytes + this.uploads.usedBytes,
      clementinemux_gateway_upload_bytes: this.uploads.usedBytes,
      clementinemux_gateway_unfinished_uploads: this.uploads.size,
      clementinemux_gateway_response_bytes: responses.usedBytes,
      clementinemux_gateway_unfinished_responses: responses.size,
      clementinemux_gateway_unread_responses: this.unread.size,
    };
  }
}
