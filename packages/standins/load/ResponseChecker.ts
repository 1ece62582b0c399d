import { TokenSource } from "../engine/TokenSource";

const indexPattern = /"token_index":(\d+)/;
const contentPattern = /"text":"([^"]*)"/;

/**
 * Checks a streamed response as it arrives: every token must be the expected one for the caller's prompt and
 * seed, in order, up to the final event. Bytes are decoded as latin1, and so are the expected tokens: a
 * multi-byte character that is split across two chunks does not matter then.
 */
export class ResponseChecker {
  readonly #source: TokenSource;
  readonly #maxTokenCount: number;
  #partialEvent = "";
  #nextIndex = 0;
  #hasWrongToken = false;
  #isEnded = false;
  #failure: string | null = null;

  constructor(prompt: string, seed: number, maxTokenCount: number) {
    this.#source = new TokenSource(prompt, seed);
    this.#maxTokenCount = maxTokenCount;
  }

  get tokenCount(): number {
    return this.#nextIndex;
  }

  /** Whether a token differed from the expected one, or the stream ended with too few or too many tokens. */
  get isWrong(): boolean {
    return this.#hasWrongToken || (this.#isEnded && this.#nextIndex !== this.#maxTokenCount);
  }

  get isComplete(): boolean {
    return this.#isEnded && !this.isWrong;
  }

  /** Reason of the error event; null if none was received. */
  get failure(): string | null {
    return this.#failure;
  }

  /** Returns the number of token events that the chunk completed. */
  push(chunk: Buffer): number {
    const events = `${this.#partialEvent}${chunk.toString("latin1")}`.split("\n\n");
    this.#partialEvent = events.pop() ?? "";
    const before = this.#nextIndex;
    for (const event of events) {
      this.#check(event);
    }
    return this.#nextIndex - before;
  }

  #check(event: string): void {
    if (event === "data: [DONE]") {
      this.#isEnded = true;
      return;
    }
    if (event.startsWith("event: error")) {
      this.#failure = /"reason":"([a-z_]+)"/.exec(event)?.[1] ?? "error";
      return;
    }
    const index = indexPattern.exec(event)?.[1];
    if (index === undefined) {
      return;
    }
    const expected = Buffer.from(this.#source.next(), "utf8").toString("latin1");
    this.#hasWrongToken ||= Number(index) !== this.#nextIndex || contentPattern.exec(event)?.[1] !== expected;
    this.#nextIndex += 1;
  }
}
