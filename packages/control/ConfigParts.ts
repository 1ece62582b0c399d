import { encode } from "cbor-x";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";
import { getBytesDigest } from "./getBytesDigest";

interface CachedEncoding {
  readonly revision: number;
  readonly digest: string;
  readonly bytes: Uint8Array;
  readonly expiresAtMs: number;
}

// Half the frame limit, so that a part with its envelope always fits.
const partBytes = 524_288;
// All leaseholders that fetch within this time read the same revision although changes continue, and receive
// the later changes with their next renewal. A fetch of 8 MiB takes 16 round trips.
const cacheMs = 5000;

/** Serves an encoded configuration in parts, and caches the encoding while leaseholders fetch it. */
export class ConfigParts {
  #cached: CachedEncoding | null = null;

  read(config: FleetConfig, { revision, offset }: FetchConfigRequest, nowMs: number): ConfigPart {
    this.release(nowMs);
    const encoding = this.#cached ?? this.#encode(config, nowMs);
    const start = revision === encoding.revision ? offset : 0;
    return {
      revision: encoding.revision,
      digest: encoding.digest,
      totalBytes: encoding.bytes.length,
      offset: start,
      data: encoding.bytes.subarray(start, start + partBytes),
    };
  }

  /** Frees the cached encoding after its expiry. */
  release(nowMs: number): void {
    if (this.#cached !== null && nowMs >= this.#cached.expiresAtMs) {
      this.#cached = null;
    }
  }

  #encode(config: FleetConfig, nowMs: number): CachedEncoding {
    const bytes = encode(config);
    const digest = getBytesDigest(bytes);
    this.#cached = { revision: config.revision, digest, bytes, expiresAtMs: nowMs + cacheMs };
    return this.#cached;
  }
}
