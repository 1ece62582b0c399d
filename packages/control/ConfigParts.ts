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

// Half a frame, so that a part with its envelope always fits.
const partBytes = 524_288;
// All holders that fetch within this time read the same revision, although changes go on, and receive the
// changes made since with their next renewal. A fetch of 8 MiB takes 16 round trips.
const heldMs = 5000;

/** Encoded configuration that is being fetched in parts. */
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

  /** Frees the encoding once its time has passed. */
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
