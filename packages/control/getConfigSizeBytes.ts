import { encode } from "cbor-x";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";

// Field names, revision and lengths of the lists.
const envelopeBytes = 64;
const sizes = new WeakMap<object, number>();

/**
 * Encoded size of a configuration, as the sum over its parts. A change replaces only the objects that it touches,
 * so the sizes of the others are remembered: encoding 8 MiB for each change would cost more than the change.
 */
export function getConfigSizeBytes({ defaults, exceptions, drains }: FleetConfig): number {
  let sizeBytes = envelopeBytes + getSizeBytes(defaults);
  for (const exception of exceptions) {
    sizeBytes += getSizeBytes(exception);
  }
  for (const [target, drain] of Object.entries(drains)) {
    // A name takes up to 3 bytes for its length.
    sizeBytes += Buffer.byteLength(target) + 3 + getSizeBytes(drain);
  }
  return sizeBytes;
}

function getSizeBytes(part: object): number {
  const known = sizes.get(part);
  if (known !== undefined) {
    return known;
  }
  const sizeBytes = encode(part).length;
  sizes.set(part, sizeBytes);
  return sizeBytes;
}
