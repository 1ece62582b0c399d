import type { PackedCounts } from "./PackedCounts";
import { countUnit } from "./countUnit";

const continuationBit = 0x80;
const valueMask = 0x7f;

/**
 * Packs the counts of a rank for one asker: only what was added since the answer that the asker holds. Looks at all
 * ranks are most of what is sent between failure domains. Has no I/O.
 */
export class CountSender {
  #lastId: number;
  #units: readonly number[] | null = null;

  /** `firstId` differs between the lives of a process, so that an answer of a former life is not taken for a base. */
  constructor(firstId: number) {
    this.#lastId = firstId;
  }

  /** `held` is the answer whose counts the asker has, null for none. */
  pack(counts: readonly number[], held: number | null): PackedCounts {
    const units = counts.map((count) => Math.floor(count / countUnit));
    const known = held === this.#lastId ? this.#units : null;
    // Counts that fall belong to another life of the rank.
    const isUsable =
      known?.length === units.length && units.every((value, index) => value >= (known[index] ?? 0));
    const base = isUsable ? this.#lastId : null;
    const bytes = encodeVarints(isUsable ? units.map((value, index) => value - (known[index] ?? 0)) : units);
    this.#lastId += 1;
    this.#units = units;
    return { id: this.#lastId, base, bytes };
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
