import type { EncodedCounts } from "./EncodedCounts";
import { choicesPerCountUnit } from "./choicesPerCountUnit";

const continuationBit = 0x80;
const valueMask = 0x7f;

/** Decodes the counts of a rank that its `CountEncoder` has encoded. Performs no I/O. */
export class CountDecoder {
  #lastId: number | null = null;
  #units: readonly number[] = [];

  /** `id` of the last decoded response, the base of the next difference; null before the first one. */
  get baseId(): number | null {
    return this.#lastId;
  }

  /**
   * Counts since the rank started, rounded down to a multiple of `choicesPerCountUnit`. Null when the
   * response is a difference from a response other than the last decoded one.
   */
  decode({ id, base, bytes }: EncodedCounts): readonly number[] | null {
    const values = decodeVarints(bytes);
    if (base !== null && (base !== this.#lastId || values.length !== this.#units.length)) {
      return null;
    }
    this.#units = base === null ? values : values.map((value, index) => value + (this.#units[index] ?? 0));
    this.#lastId = id;
    return this.#units.map((units) => units * choicesPerCountUnit);
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
