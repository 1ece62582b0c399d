import { hashString } from "@clementinemux/common/hashString";

const blockCharacters = 256;

/** Prefix cache with a limited number of blocks; the least recently used blocks are evicted. */
export class PrefixCache {
  readonly #limit: number;
  readonly #onChange: (block: number, stored: boolean) => void;
  readonly #blocks = new Map<number, true>();

  constructor(limit: number, onChange: (block: number, stored: boolean) => void) {
    this.#limit = limit;
    this.#onChange = onChange;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Stores the blocks of a prompt. Returns the number of characters at its start that were cached before. */
  use(prompt: string): number {
    let cachedCharacters = 0;
    let isCached = true;
    let previous = 0;
    for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
      previous = hashString(`${previous}|${prompt.slice(end - blockCharacters, end)}`);
      isCached &&= this.#blocks.delete(previous);
      cachedCharacters += isCached ? blockCharacters : 0;
      this.#blocks.set(previous, true);
      if (!isCached) {
        this.#onChange(previous, true);
      }
    }
    for (const block of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#limit) {
        break;
      }
      this.#blocks.delete(block);
      this.#onChange(block, false);
    }
    return cachedCharacters;
  }
}
