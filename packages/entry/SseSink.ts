import type { ServerResponse } from "node:http";
import { headerNames } from "@clementinemux/common/headerNames";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { ResponseSink } from "./ResponseSink";
import type { Problem } from "./Problem";
import { sendProblem } from "./sendProblem";

interface SseSinkOptions {
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly isChat: boolean;
  /** Maximum size of a recorded response; 0 when it is not recorded. */
  readonly recordLimitBytes: number;
}

const contentType = "text/event-stream; charset=utf-8";

/** Streams a response as server-sent events. */
export class SseSink implements ResponseSink {
  readonly #options: SseSinkOptions;
  readonly #prefix: string;
  #response: ServerResponse | null;
  #pending = "";
  #recorded: string | null;
  #finished = false;
  #started = false;

  constructor(options: SseSinkOptions) {
    this.#options = options;
    this.#response = options.response;
    this.#prefix = `data: {"id":"${options.requestId}","token_index":`;
    this.#recorded = options.recordLimitBytes > 0 ? "" : null;
  }

  get started(): boolean {
    return this.#started;
  }

  addToken(tokenIndex: number, tail: string): void {
    this.#pending += `${this.#prefix}${tokenIndex}${tail}\n\n`;
  }

  flush(target: string): boolean {
    const text = this.#pending;
    if (text === "") {
      return true;
    }
    this.#pending = "";
    this.#record(text);
    const response = this.#start(target);
    return response === null || response.write(text, "latin1");
  }

  onDrain(resume: () => void): void {
    this.#response?.once("drain", resume);
  }

  finish(target: string, finishReason: string, tokenCount: number): void {
    const delta = this.#options.isChat ? { delta: {} } : { text: "" };
    const last = {
      id: this.#options.requestId,
      choices: [{ index: 0, ...delta, finish_reason: finishReason }],
      usage: { completion_tokens: tokenCount },
    };
    const json = Buffer.from(JSON.stringify(last), "utf8").toString("latin1");
    const text = `${this.#pending}data: ${json}\n\ndata: [DONE]\n\n`;
    this.#pending = "";
    this.#record(text);
    this.#finished = true;
    this.#start(target)?.end(text, "latin1");
  }

  fail(problem: Problem): void {
    const response = this.#response;
    if (response === null) {
      return;
    }
    if (!this.#started) {
      sendProblem(response, problem);
      return;
    }
    // Tokens not yet written are dropped, because the caller must treat the response as failed anyway.
    this.#pending = "";
    response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
  }

  detach(): void {
    this.#response = null;
  }

  getRecord(): RecordedResponse | null {
    return this.#finished && this.#recorded !== null
      ? { status: 200, contentType, body: Buffer.from(this.#recorded, "latin1") }
      : null;
  }

  #start(target: string): ServerResponse | null {
    const response = this.#response;
    if (response === null || response.destroyed) {
      return null;
    }
    if (!this.#started) {
      this.#started = true;
      response.writeHead(200, {
        "content-type": contentType,
        "cache-control": "no-store",
        [headerNames.requestId]: this.#options.requestId,
        "clementinemux-target": encodeHeaderText(target) ?? "",
      });
    }
    return response;
  }

  #record(text: string): void {
    if (this.#recorded !== null) {
      const newLength = this.#recorded.length + text.length;
      this.#recorded = newLength > this.#options.recordLimitBytes ? null : this.#recorded + text;
    }
  }
}
