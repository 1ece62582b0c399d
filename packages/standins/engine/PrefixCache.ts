import { hashString } from "@clementinemux/common/hashString";

const blockCharacters = 256;

/** Prefix blocks in a limited memory; the least recently used are dropped. */
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

  /** Stores the blocks of a prompt. Returns the characters at its start that were held already. */
  use(prompt: string): number {
    let heldCharacters = 0;
    let isHeld = true;
    let previous = 0;
    for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
      previous = hashString(`${previous}|${prompt.slice(end - blockCharacters, end)}`);
      isHeld &&= this.#blocks.delete(previous);
      heldCharacters += isHeld ? blockCharacters : 0;
      this.#blocks.set(previous, true);
      if (!isHeld) {
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
    return heldCharacters;
  }
}
