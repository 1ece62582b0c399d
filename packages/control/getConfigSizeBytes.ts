import { encode } from "cbor-x";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";

// Field names, revision and list lengths.
const envelopeBytes = 64;
const sizes = new WeakMap<object, number>();

/**
 * Computes the encoded size of a configuration as the sum over its parts. Sizes are cached by object, since a
 * change replaces only the objects that it touches: encoding 8 MiB for each change would cost more than the
 * change itself.
 */
export function getConfigSizeBytes({ defaults, exceptions, drains }: FleetConfig): number {
  let sizeBytes = envelopeBytes + getSizeBytes(defaults);
  for (const exception of exceptions) {
    sizeBytes += getSizeBytes(exception);
  }
  for (const [target, drain] of Object.entries(drains)) {
    // The length prefix of a name takes up to 3 bytes.
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
