import type { PackedCounts } from "./PackedCounts";
import { countUnit } from "./countUnit";

const continuationBit = 0x80;
const valueMask = 0x7f;

/** Restores the counts of a rank from answers of its `CountSender`. Has no I/O. */
export class CountReceiver {
  #lastId: number | null = null;
  #units: readonly number[] = [];

  /** Answer whose counts are held; null for none. */
  get held(): number | null {
    return this.#lastId;
  }

  /** Counts of the rank since it started, to within one unit; null when they cannot be told from this answer. */
  unpack({ id, base, bytes }: PackedCounts): readonly number[] | null {
    const values = decodeVarints(bytes);
    if (base !== null && (base !== this.#lastId || values.length !== this.#units.length)) {
      return null;
    }
    this.#units = base === null ? values : values.map((value, index) => value + (this.#units[index] ?? 0));
    this.#lastId = id;
    return this.#units.map((units) => units * countUnit);
  }
}

function decodeVarints(bytes: Uint8Array): number[] {
  const values: number[] = [];
  let value = 0;
  let factor = 1;
  for (const byte of bytes) {
    value += (byte & valueMask) * factor;
    factor *= continuationBit;
    if (byte < continuationBit) {
      values.push(value);
      value = 0;
      factor = 1;
    }
  }
  return values;
}
