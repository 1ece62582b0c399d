import type { ServerResponse } from "node:http";
import { headerNames } from "@clementinemux/common/headerNames";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { ResponseSink } from "./ResponseSink";
import type { Problem } from "./Problem";
import { getTailText } from "./getTailText";
import { sendProblem } from "./sendProblem";

interface JsonSinkOptions {
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly isChat: boolean;
  readonly model: string;
  readonly promptTokenCount: number;
  /** Maximum size of a recorded response; 0 when it is not recorded. */
  readonly recordLimitBytes: number;
}

const contentType = "application/json";

/** Collects a response and sends it as one JSON document when it is complete. */
export class JsonSink implements ResponseSink {
  readonly started = false;
  readonly #options: JsonSinkOptions;
  #response: ServerResponse | null;
  #text = "";
  #document: Buffer | null = null;

  constructor(options: JsonSinkOptions) {
    this.#options = options;
    this.#response = options.response;
  }

  addToken(_tokenIndex: number, tail: string): void {
    this.#text += getTailText(tail);
  }

  flush(): boolean {
    return true;
  }

  onDrain(): void {
    // Nothing is written before the response is complete, so writing never pauses.
  }

  finish(target: string, finishReason: string, tokenCount: number): void {
    const { requestId, isChat, model, promptTokenCount } = this.#options;
    const content = isChat ? { message: { role: "assistant", content: this.#text } } : { text: this.#text };
    this.#document = Buffer.from(
      JSON.stringify({
        id: requestId,
        object: isChat ? "chat.completion" : "text_completion",
        model,
        choices: [{ index: 0, ...content, finish_reason: finishReason }],
        usage: {
          prompt_tokens: promptTokenCount,
          completion_tokens: tokenCount,
          total_tokens: promptTokenCount + tokenCount,
        },
      }),
    );
    if (this.#response === null || this.#response.destroyed) {
      return;
    }
    this.#response.writeHead(200, {
      "content-type": contentType,
      "content-length": this.#document.length,
      [headerNames.requestId]: requestId,
      "clementinemux-target": encodeHeaderText(target) ?? "",
    });
    this.#response.end(this.#document);
  }

  fail(problem: Problem): void {
    if (this.#response !== null) {
      sendProblem(this.#response, problem);
    }
  }

  detach(): void {
    this.#response = null;
  }

  getRecord(): RecordedResponse | null {
    const body = this.#document;
    return body !== null && body.length <= this.#options.recordLimitBytes
      ? { status: 200, contentType, body }
      : null;
  }
}
