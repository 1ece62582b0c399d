import { TokenPosition } from "./TokenPosition";

/** Position in a response across all attempts of a request. Accepts every token exactly once. */
export class StreamCursor {
  #nextIndex = 0;

  /** Index of the next token, which equals the number of accepted tokens. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  advance(tokenIndex: number): TokenPosition {
    if (tokenIndex < this.#nextIndex) {
      return TokenPosition.Duplicate;
    }
    if (tokenIndex > this.#nextIndex) {
      return TokenPosition.Gap;
    }
    this.#nextIndex += 1;
    return TokenPosition.Next;
  }
}
