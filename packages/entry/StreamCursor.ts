import { TokenVerdict } from "./TokenVerdict";

/** Position in an answer, kept over all attempts of a request; lets every token pass exactly once. */
export class StreamCursor {
  #nextIndex = 0;

  /** Index of the next token; the count of tokens that have passed. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  advance(tokenIndex: number): TokenVerdict {
    if (tokenIndex < this.#nextIndex) {
      return TokenVerdict.Duplicate;
    }
    if (tokenIndex > this.#nextIndex) {
      return TokenVerdict.Gap;
    }
    this.#nextIndex += 1;
    return TokenVerdict.Next;
  }
}
