const words = [
  "sleeper",
  "oak",
  "concrete",
  "stool",
  "yard",
  "quote",
  "grün",
  "grade",
  "Preis €",
  "rail",
] as const;

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Deterministic stand-in for a model: each token depends on the seed and all text before it. A stream that is
 * replayed from its prompt and the text sent so far therefore continues with the same tokens.
 */
export class TokenSource {
  readonly #seed: number;
  #state: number;

  constructor(prompt: string, seed: number) {
    this.#seed = seed;
    this.#state = mix(fnvOffset, prompt);
  }

  next(): string {
    let hash = Math.imul(this.#state ^ this.#seed, 0x85ebca6b);
    hash = (hash ^ (hash >>> 15)) >>> 0;
    const token = `${words[hash % words.length] ?? words[0]}${(hash >>> 8) % 1000} `;
    this.#state = mix(this.#state, token);
    return token;
  }
}

function mix(state: number, text: string): number {
  let mixed = state;
  for (let index = 0; index < text.length; index += 1) {
    mixed = Math.imul(mixed ^ text.charCodeAt(index), fnvPrime);
  }
  return mixed >>> 0;
}
