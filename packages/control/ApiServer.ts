import { createHash, timingSafeEqual } from "node:crypto";
import { createServer as createHttpServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import type { Logger } from "roarr";
import { HttpDrain } from "@clementinemux/wire/HttpDrain";
import { collectBody } from "@clementinemux/wire/collectBody";
import { listenWhenFree } from "@clementinemux/wire/listenWhenFree";

interface ApiServerOptions {
  /** Author by bearer token. */
  readonly tokens: Readonly<Record<string, string>>;
  readonly tls: { readonly key: string; readonly cert: string } | null;
  /** Handlers by method and path, for example `GET /v1/config`. */
  readonly routes: Readonly<Record<string, ApiRoute>>;
  /** Renders metrics in Prometheus text format, which are served without a token. */
  readonly renderMetrics: () => string;
}

type ApiRoute = (request: {
  readonly author: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}) => Promise<{ readonly status: number; readonly body: unknown }>;

const maxBodyBytes = 1_048_576;

/** HTTP(S) API for operators. */
export class ApiServer {
  readonly #options: ApiServerOptions;
  readonly #server: Server;
  readonly #drain: HttpDrain;
  /** Stored as digests of equal length, so that the comparison takes the same time for every token. */
  readonly #tokens: readonly { readonly digest: Buffer; readonly author: string }[];

  constructor(options: ApiServerOptions) {
    this.#options = options;
    this.#tokens = Object.entries(options.tokens).map(([token, author]) => ({ digest: hash(token), author }));
    const listener = (request: IncomingMessage, response: ServerResponse): void => {
      this.#handle(request, response).catch((error: unknown) => {
        send(response, 503, { error: error instanceof Error ? error.message : String(error) });
      });
    };
    this.#server =
      options.tls === null ? createHttpServer(listener) : createHttpsServer(options.tls, listener);
    this.#drain = new HttpDrain(this.#server);
  }

  /** Stops once the calls that were read are answered; at `endAtMs` of `performance.now()` in any case. */
  drain(endAtMs: number): Promise<void> {
    return this.#drain.drain(endAtMs);
  }

  /** Listens once the port is free. */
  listen(host: string, port: number, logger: Logger): Promise<void> {
    return listenWhenFree(this.#server, { host, port, logger });
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#drain.track(response);
    const url = new URL(request.url ?? "/", "http://control");
    const route = `${request.method ?? "GET"} ${url.pathname}`;
    if (route === "GET /metrics") {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(this.#options.renderMetrics());
      return;
    }
    const author = this.#getAuthor(request.headers.authorization ?? "");
    if (author === null) {
      send(response, 401, { error: "a valid bearer token is required" });
      return;
    }
    const handler = this.#options.routes[route];
    if (handler === undefined) {
      send(response, 404, { error: `there is no ${route}` });
      return;
    }
    const text = (await collectBody(request, maxBodyBytes)).toString("utf8");
    let body: unknown = null;
    try {
      body = text === "" ? null : JSON.parse(text);
    } catch {
      send(response, 400, { error: "the body is not JSON" });
      return;
    }
    const result = await handler({ author, query: url.searchParams, body });
    send(response, result.status, result.body);
  }

  #getAuthor(authorization: string): string | null {
    const digest = hash(authorization.replace(/^Bearer /, ""));
    let author: string | null = null;
    for (const token of this.#tokens) {
      if (timingSafeEqual(token.digest, digest)) {
        ({ author } = token);
      }
    }
    return author;
  }
}

function hash(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

function send(response: ServerResponse, status: number, body: unknown): void {
  if (!response.headersSent) {
    response.writeHead(status, { "content-type": "application/json" });
  }
  response.end(JSON.stringify(body));
}
