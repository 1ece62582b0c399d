import type { ServerResponse } from "node:http";
import type { EngineFaults } from "./EngineFaults";
import type { EngineStream } from "./EngineStream";

const charactersPerToken = 4;

interface WriterOptions {
  readonly echoedId: string;
  readonly paddingBytes: number;
}

/** Writes the events of one stream and applies the injected faults. */
export class StreamWriter {
  readonly #response: ServerResponse;
  readonly #stream: EngineStream;
  readonly #faults: EngineFaults;
  readonly #echoedId: string;
  readonly #padding: Readonly<Record<string, string>>;
  readonly #appliesFaults: boolean;
  #swapped: string | null = null;

  constructor(response: ServerResponse, stream: EngineStream, options: WriterOptions, faults: EngineFaults) {
    this.#response = response;
    this.#stream = stream;
    this.#faults = faults;
    this.#echoedId = options.echoedId;
    this.#padding = options.paddingBytes > 0 ? { padding: "x".repeat(options.paddingBytes) } : {};
    this.#appliesFaults = faults.remainingCount > 0;
    faults.remainingCount -= 1;
  }

  canSend(): boolean {
    return !this.#response.writableNeedDrain;
  }

  sendToken(token: string, index: number): void {
    const event = this.#createEvent(this.#echoedId, token, index);
    if (this.#appliesFaults && index === this.#faults.swapAtToken) {
      this.#swapped = event;
      return;
    }
    if (this.#appliesFaults && index === this.#faults.foreignAtToken) {
      this.#write(this.#createEvent("another-request.1", "stolen ", index));
    }
    this.#write(event);
    if (this.#swapped !== null) {
      this.#write(this.#swapped);
      this.#swapped = null;
    }
    if (this.#faults.duplicateTokens) {
      this.#write(event);
    }
    const { killAtToken, endAtToken } = this.#faults;
    if (this.#appliesFaults && endAtToken !== null && index + 1 >= endAtToken) {
      this.#response.end();
    }
    if (this.#appliesFaults && killAtToken !== null && index + 1 >= killAtToken) {
      // The written tokens are sent before the connection is closed.
      setImmediate(() => this.#response.socket?.destroySoon());
    }
  }

  finish(): void {
    if (this.#appliesFaults && this.#faults.omitFinal) {
      this.#response.end();
      return;
    }
    const { isChat, maxTokenCount, cachedCharacters } = this.#stream;
    const last = isChat ? { delta: {} } : { text: "" };
    const choice = { index: 0, ...last, finish_reason: "length" };
    const cachedTokenCount = Math.floor(cachedCharacters / charactersPerToken);
    const usage = {
      completion_tokens: maxTokenCount,
      prompt_tokens_details: { cached_tokens: cachedTokenCount },
    };
    this.#write(`data: ${JSON.stringify({ id: this.#echoedId, choices: [choice], usage })}\n\n`);
    this.#response.end("data: [DONE]\n\n");
  }

  #createEvent(id: string, token: string, index: number): string {
    const { isChat, model } = this.#stream;
    const part = isChat ? { delta: { content: token } } : { text: token };
    const object = isChat ? "chat.completion.chunk" : "text_completion";
    const choices = [{ index: 0, ...part, finish_reason: null }];
    return `data: ${JSON.stringify({ id, token_index: index, object, model, choices, ...this.#padding })}\n\n`;
  }

  #write(text: string): void {
    if (this.#response.destroyed || this.#response.writableEnded) {
      return;
    }
    const { pieceBytes } = this.#faults;
    if (pieceBytes === 0) {
      this.#response.write(text);
      return;
    }
    const bytes = Buffer.from(text);
    for (let start = 0; start < bytes.length; start += pieceBytes) {
      this.#response.write(bytes.subarray(start, start + pieceBytes));
    }
  }
}
