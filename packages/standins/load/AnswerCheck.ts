import { TokenSource } from "../engine/TokenSource";

const indexPattern = /"token_index":(\d+)/;
const contentPattern = /"text":"([^"]*)"/;

/**
 * Checks a streamed answer while it comes: every token in its place, from the caller's own prompt and seed,
 * up to the final event. Bytes are handled as latin1; the expected tokens are encoded likewise.
 */
export class AnswerCheck {
  readonly #source: TokenSource;
  readonly #maxTokenCount: number;
  #rest = "";
  #nextIndex = 0;
  #wrong = false;
  #done = false;
  #failure: string | null = null;

  constructor(prompt: string, seed: number, maxTokenCount: number) {
    this.#source = new TokenSource(prompt, seed);
    this.#maxTokenCount = maxTokenCount;
  }

  get tokenCount(): number {
    return this.#nextIndex;
  }

  /** Whether a token was not the expected one. */
  get wrong(): boolean {
    return this.#wrong || (this.#done && this.#nextIndex !== this.#maxTokenCount);
  }

  get whole(): boolean {
    return this.#done && !this.wrong;
  }

  /** Reason of an error event. */
  get failure(): string | null {
    return this.#failure;
  }

  /** Returns the tokens that the chunk completed. */
  push(chunk: Buffer): number {
    const events = `${this.#rest}${chunk.toString("latin1")}`.split("\n\n");
    this.#rest = events.pop() ?? "";
    const before = this.#nextIndex;
    for (const event of events) {
      this.#check(event);
    }
    return this.#nextIndex - before;
  }

  #check(event: string): void {
    if (event === "data: [DONE]") {
      this.#done = true;
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
    this.#wrong ||= Number(index) !== this.#nextIndex || contentPattern.exec(event)?.[1] !== expected;
    this.#nextIndex += 1;
  }
}
