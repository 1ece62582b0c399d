import type { PackedCounts } from "./PackedCounts";
import { countUnit } from "./countUnit";

const moreBit = 0x80;
const valueMask = 0x7f;

/** Restores the counts of a rank from answers of its `CountSender`. Has no I/O. */
export class CountReceiver {
  #id: number | null = null;
  #units: readonly number[] = [];

  /** Answer whose counts are held; null for none. */
  get held(): number | null {
    return this.#id;
  }

  /** Counts of the rank since it started, to within one unit; null when they cannot be told from this answer. */
  unpack({ id, base, bytes }: PackedCounts): readonly number[] | null {
    const values = unpackNumbers(bytes);
    if (base !== null && (base !== this.#id || values.length !== this.#units.length)) {
      return null;
    }
    this.#units = base === null ? values : values.map((value, index) => value + (this.#units[index] ?? 0));
    this.#id = id;
    return this.#units.map((units) => units * countUnit);
  }
}

function unpackNumbers(bytes: Uint8Array): number[] {
  const values: number[] = [];
  let value = 0;
  let factor = 1;
  for (const byte of bytes) {
    value += (byte & valueMask) * factor;
    factor *= moreBit;
    if (byte < moreBit) {
      values.push(value);
      value = 0;
      factor = 1;
    }
  }
  return values;
}
