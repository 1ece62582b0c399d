import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { headerNames } from "@clementinemux/common/headerNames";
import type { EngineSettings } from "./EngineSettings";
import { createToken } from "./createToken";
import { readJsonBody } from "./readJsonBody";

interface CompletionBody {
  readonly model?: string;
  readonly messages?: readonly { readonly content: string }[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly seed?: number;
}

const defaultTokenCount = 16;

/** Stand-in for a model engine: answers with deterministic tokens at a fixed pace. */
export class EngineServer {
  readonly #settings: EngineSettings;
  readonly #server: Server;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error: unknown) => {
        response.destroy(error instanceof Error ? error : new Error(String(error)));
      });
    });
  }

  /** Resolves with the bound port. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#settings.port, this.#settings.host, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
      });
    });
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method !== "POST" || !(request.url ?? "").startsWith("/v1/")) {
      response.writeHead(404).end();
      return;
    }
    const body = (await readJsonBody(request)) as CompletionBody;
    const prompt = body.prompt ?? (body.messages ?? []).map(({ content }) => content).join("\n");
    const tokenCount = body.max_tokens ?? defaultTokenCount;
    const id = String(request.headers[headerNames.requestId] ?? "none");
    response.writeHead(200, { "content-type": "text/event-stream" });
    await delay(this.#settings.firstTokenMs);
    for (let position = 0; position < tokenCount && !response.destroyed; position += 1) {
      const content = createToken(prompt, body.seed ?? 0, position);
      const choice = { index: 0, delta: { content }, finish_reason: null };
      response.write(
        `data: ${JSON.stringify({ id, model: body.model, token_index: position, choices: [choice] })}\n\n`,
      );
      await delay(this.#settings.tokenIntervalMs);
    }
    const last = { index: 0, delta: {}, finish_reason: "stop" };
    response.write(`data: ${JSON.stringify({ id, model: body.model, choices: [last] })}\n\n`);
    response.end("data: [DONE]\n\n");
  }
}
