import { constants, deflateRawSync } from "node:zlib";
import type { EncodedCounts } from "./EncodedCounts";
import { choicesPerCountUnit } from "./choicesPerCountUnit";

const continuationBit = 0x80;
const valueMask = 0x7f;
/** Counts of a short interval have no repetitions to find, only few different values. */
const deflateOptions = { strategy: constants.Z_HUFFMAN_ONLY };

/**
 * Encodes the counts of a rank for one client, as the difference from the last response that the client
 * holds. Polling the counts of all ranks makes up most of the traffic between failure domains. Performs no
 * I/O.
 */
export class CountEncoder {
  #lastId: number;
  #units: readonly number[] | null = null;

  /**
   * `firstId` must differ between restarts, so that a response from before a restart is never used as a base.
   */
  constructor(firstId: number) {
    this.#lastId = firstId;
  }

  /**
   * `held` is the `id` of the response that the client holds; null for none. `isDeflated` states whether the client reads
   * compressed counts.
   */
  encode(counts: readonly number[], held: number | null, isDeflated = false): EncodedCounts {
    const units = counts.map((count) => Math.floor(count / choicesPerCountUnit));
    const known = held === this.#lastId ? this.#units : null;
    // A count that has decreased means that the rank has restarted.
    const isUsable =
      known?.length === units.length && units.every((value, index) => value >= (known[index] ?? 0));
    const base = isUsable ? this.#lastId : null;
    const bytes = encodeVarints(isUsable ? units.map((value, index) => value - (known[index] ?? 0)) : units);
    this.#lastId += 1;
    this.#units = units;
    return isDeflated
      ? { id: this.#lastId, base, bytes: deflateRawSync(bytes, deflateOptions), isDeflated }
      : { id: this.#lastId, base, bytes };
  }
}

function encodeVarints(values: readonly number[]): Uint8Array {
  const bytes: number[] = [];
  for (const value of values) {
    let left = value;
    while (left > valueMask) {
      bytes.push((left % continuationBit) | continuationBit);
      left = Math.floor(left / continuationBit);
    }
    bytes.push(left);
  }
  return Uint8Array.from(bytes);
}
