import { createHash } from "node:crypto";
import { encode } from "cbor-x";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";

interface HeldEncoding {
  readonly revision: number;
  readonly digest: string;
  readonly bytes: Uint8Array;
  readonly untilMs: number;
}

// Half the frame limit, so that a part with its envelope always fits.
const partBytes = 524_288;
// All leaseholders that fetch within this time read the same revision although changes continue, and receive
// the later changes with their next renewal. A fetch of 8 MiB takes 16 round trips.
const heldMs = 5000;

/** Serves an encoded configuration in parts, and caches the encoding while leaseholders fetch it. */
export class ConfigParts {
  #held: HeldEncoding | null = null;

  read(config: FleetConfig, { revision, offset }: FetchConfigRequest, nowMs: number): ConfigPart {
    this.release(nowMs);
    const held = this.#held ?? this.#encode(config, nowMs);
    const start = revision === held.revision ? offset : 0;
    return {
      revision: held.revision,
      digest: held.digest,
      totalBytes: held.bytes.length,
      offset: start,
      data: held.bytes.subarray(start, start + partBytes),
    };
  }

  /** Frees the cached encoding after its expiry. */
  release(nowMs: number): void {
    if (this.#held !== null && nowMs >= this.#held.untilMs) {
      this.#held = null;
    }
  }

  #encode(config: FleetConfig, nowMs: number): HeldEncoding {
    const bytes = encode(config);
    const digest = createHash("sha256").update(bytes).digest("hex");
    this.#held = { revision: config.revision, digest, bytes, untilMs: nowMs + heldMs };
    return this.#held;
  }
}
