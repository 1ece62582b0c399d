import { inflateRawSync } from "node:zlib";
import type { EncodedCounts } from "./EncodedCounts";
import { choicesPerCountUnit } from "./choicesPerCountUnit";

const continuationBit = 0x80;
const valueMask = 0x7f;
/** More than a million counts of nine bytes. */
const maxInflatedBytes = 16_777_216;

/** Decodes the counts of a rank that its `CountEncoder` has encoded. Performs no I/O. */
export class CountDecoder {
  #lastId: number | null = null;
  #units: Float64Array = new Float64Array(0);

  /** `id` of the last decoded response, the base of the next difference; null before the first one. */
  get baseId(): number | null {
    return this.#lastId;
  }

  /**
   * Counts since the rank started, rounded down to a multiple of `choicesPerCountUnit`. Null when the
   * response is a difference from a response other than the last decoded one.
   */
  decode({ id, base, bytes, isDeflated = false }: EncodedCounts): readonly number[] | null {
    const values = decodeVarints(
      isDeflated ? inflateRawSync(bytes, { maxOutputLength: maxInflatedBytes }) : bytes,
    );
    if (base !== null && (base !== this.#lastId || values.length !== this.#units.length)) {
      return null;
    }
    // Plain loops: a leader decodes the counts of up to 200 ranks eight times a second.
    const counts = new Array<number>(values.length);
    for (let index = 0; index < values.length; index += 1) {
      const units = (values[index] ?? 0) + (base === null ? 0 : (this.#units[index] ?? 0));
      values[index] = units;
      counts[index] = units * choicesPerCountUnit;
    }
    this.#units = values;
    this.#lastId = id;
    return counts;
  }
}

function decodeVarints(bytes: Uint8Array): Float64Array {
  const values = new Float64Array(bytes.length);
  let count = 0;
  let value = 0;
  let factor = 1;
  for (const byte of bytes) {
    value += (byte & valueMask) * factor;
    factor *= continuationBit;
    if (byte < continuationBit) {
      values[count] = value;
      count += 1;
      value = 0;
      factor = 1;
    }
  }
  return values.subarray(0, count);
}
