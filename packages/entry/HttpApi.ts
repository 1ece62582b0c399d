import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { findRequestFault } from "@clementinemux/wire/findRequestFault";
import type { IncomingRequest } from "./IncomingRequest";
import type { CallerTable } from "./CallerTable";
import type { RequestReceiver } from "./RequestReceiver";
import type { SessionContext } from "./SessionContext";
import { createProblem } from "./createProblem";
import { sendProblem } from "./sendProblem";

interface HttpApiOptions {
  readonly context: SessionContext;
  readonly receiver: RequestReceiver;
  readonly callers: CallerTable;
  /** Team of callers without a token; empty when they are rejected. */
  readonly anonymousTeam: string;
  readonly maxRequestsInFlight: number;
  /** Why new requests are rejected now, or null. */
  readonly getRefusal: () => RefusalReason | null;
  readonly isReady: () => boolean;
  readonly getAddresses: (team: string, caller: string) => readonly string[];
}

interface Route {
  readonly method: string | null;
  readonly matches: (path: string) => boolean;
  readonly handle: (incoming: IncomingRequest) => Promise<void> | void;
}

const explainPrefix = "/v1/explain/";

/** HTTP API of an entry. */
export class HttpApi {
  readonly #options: HttpApiOptions;
  readonly #routes: readonly Route[];
  #requestsInFlight = 0;

  constructor(options: HttpApiOptions) {
    this.#options = options;
    const { receiver } = options;
    this.#routes = [
      this.#createRequestRoute("POST", ["/v1/chat/completions", "/v1/completions"], (incoming) =>
        receiver.handleModelRequest(incoming),
      ),
      {
        method: null,
        matches: (path) => path.startsWith("/services/"),
        handle: (incoming) => this.#handleRequest(incoming, () => receiver.handleServiceRequest(incoming)),
      },
      {
        method: "GET",
        matches: (path) => path === "/v1/models",
        handle: (incoming) => {
          this.#sendModels(incoming);
        },
      },
      {
        method: "GET",
        matches: (path) => path === "/v1/addresses",
        handle: (incoming) => {
          this.#sendAddresses(incoming);
        },
      },
      {
        method: "GET",
        matches: (path) => path.startsWith(explainPrefix),
        handle: (incoming) => {
          this.#sendExplanation(incoming);
        },
      },
    ];
  }

  /** Number of callers' requests that are being read, claimed, queued or processed. */
  get requestsInFlight(): number {
    return this.#requestsInFlight;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = "/"] = (request.url ?? "/").split("?", 1);
    if (request.method === "GET" && this.#sendStatus(path, response)) {
      return;
    }
    const requestId = randomUUID();
    if (findRequestFault(request) !== null) {
      this.#refuse(requestId, response, RefusalReason.BadRequest);
      return;
    }
    const { callers, anonymousTeam, context } = this.#options;
    const { authorization } = request.headers;
    const team =
      authorization === undefined && anonymousTeam !== "" ? anonymousTeam : callers.findTeam(authorization);
    if (team === null) {
      this.#refuse(requestId, response, RefusalReason.CallerUnknown);
      return;
    }
    const arrivedAtMs = context.clock.monotonicMs();
    const route = this.#routes.find(({ matches }) => matches(path));
    if (route === undefined || (route.method !== null && route.method !== request.method)) {
      this.#refuse(requestId, response, RefusalReason.BadRequest);
      return;
    }
    const url = route.method === null ? (request.url ?? "/") : path;
    await route.handle({ requestId, team, path: url, arrivedAtMs, request, response });
  }

  #createRequestRoute(
    method: string,
    paths: readonly string[],
    handle: (incoming: IncomingRequest) => Promise<void>,
  ): Route {
    return {
      method,
      matches: (path) => paths.includes(path),
      handle: (incoming) => this.#handleRequest(incoming, () => handle(incoming)),
    };
  }

  async #handleRequest(incoming: IncomingRequest, process: () => Promise<void>): Promise<void> {
    const { getRefusal, getAddresses, maxRequestsInFlight } = this.#options;
    const overload = this.#requestsInFlight >= maxRequestsInFlight ? RefusalReason.EntryOverloaded : null;
    const refusal = getRefusal() ?? overload;
    if (refusal !== null) {
      const addresses = getAddresses(incoming.team, getCallerKey(incoming));
      this.#refuse(incoming.requestId, incoming.response, refusal, addresses);
      return;
    }
    this.#requestsInFlight += 1;
    try {
      await process();
      await waitUntilSent(incoming.response);
    } finally {
      this.#requestsInFlight -= 1;
    }
  }

  #sendStatus(path: string, response: ServerResponse): boolean {
    const { isReady, context } = this.#options;
    if (path === "/healthz") {
      response.writeHead(200, { "content-type": "text/plain" }).end("alive\n");
      return true;
    }
    if (path === "/readyz") {
      const ready = isReady();
      response.writeHead(ready ? 200 : 503, { "content-type": "text/plain" });
      response.end(ready ? "ready\n" : "not ready\n");
      return true;
    }
    if (path === "/metrics") {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(context.metrics.render(this.#requestsInFlight));
      return true;
    }
    return false;
  }

  #sendModels({ response }: IncomingRequest): void {
    const { fleet, getConfig } = this.#options.context;
    const models = new Set(
      fleet
        .getTargets(getConfig().defaults.permitMaxAgeMs)
        .filter(({ announcement }) => announcement.kind === TargetKind.Engine)
        .flatMap(({ announcement }) => announcement.models),
    );
    sendJson(response, { object: "list", data: [...models].sort().map((id) => ({ id, object: "model" })) });
  }

  #sendAddresses(incoming: IncomingRequest): void {
    const { getAddresses, context } = this.#options;
    sendJson(incoming.response, {
      addresses: getAddresses(incoming.team, getCallerKey(incoming)),
      validForMs: context.getConfig().defaults.addressTtlMs,
    });
  }

  #sendExplanation({ path, team, requestId, response }: IncomingRequest): void {
    const { explain, explainDecisions } = this.#options.context;
    const explanation = explain.find(path.slice(explainPrefix.length), team);
    if (explanation === null) {
      response.writeHead(404, { "content-type": "application/problem+json" });
      response.end(
        JSON.stringify({ type: "about:blank", title: "request not known here", status: 404, requestId }),
      );
      return;
    }
    sendJson(response, { ...explanation, decisions: explainDecisions(explanation.requestId) });
  }

  #refuse(
    requestId: string,
    response: ServerResponse,
    reason: RefusalReason,
    addresses?: readonly string[],
  ): void {
    const { context } = this.#options;
    context.metrics.refusals.add(reason);
    context.log("request refused", { requestId, reason });
    const refusal = { requestId, reason, outcome: Outcome.NotRun };
    sendProblem(
      response,
      createProblem(addresses === undefined ? refusal : { ...refusal, addresses }, context.random),
    );
  }
}

/** Key that determines the caller's order of addresses. Callers on the same instance may share it. */
function getCallerKey({ request }: IncomingRequest): string {
  return request.socket.remoteAddress ?? "";
}

/** Resolves when the response has been passed to the operating system or the caller has disconnected. */
function waitUntilSent(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.writableFinished || response.destroyed) {
      resolve();
      return;
    }
    response.once("finish", resolve);
    response.once("close", resolve);
  });
}

function sendJson(response: ServerResponse, body: unknown): void {
  response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
}
