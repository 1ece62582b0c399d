import type { IncomingMessage, ServerResponse } from "node:http";
import type { Route } from "@clementinemux/routes/Route";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import type { RouteTeam } from "@clementinemux/routes/RouteTeam";
import { chooseService } from "@clementinemux/routes/chooseService";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";
import { findRequestFault } from "@clementinemux/wire/findRequestFault";
import type { RoutedRequest } from "./RoutedRequest";
import { ResponseWriter } from "./ResponseWriter";
import type { GatewayContext } from "./GatewayContext";
import { GatewayHandler } from "./GatewayHandler";
import { ByteReservation } from "./ByteReservation";
import { RequestOutcome } from "./RequestOutcome";
import { RequestForwarder } from "./RequestForwarder";
import { predictDuration } from "./predictDuration";

/** Retry-After of a gateway without current state. */
const staleRetryMs = 1000;
const staleSpreadMs = 800;
/**
 * Other gateways accept the requests of a stopping one at once, so their callers are spread only a little.
 */
const stoppingRetryMs = 40;
const stoppingSpreadMs = 120;

/**
 * Longest time that a gateway that has just started keeps a request waiting for the first document and
 * targets. After a restart of all processes these arrive within a second. Callers that were cut off retry
 * only once, so a rejection would be final for them.
 */
const startWaitMs = 1000;
const startPollMs = 20;

const localResponses = {
  [RequestOutcome.BadRequest]: {
    status: 400,
    text: "the path or a header has characters that HTTP does not allow",
  },
  [RequestOutcome.NoRoute]: { status: 404, text: "no route for this host and path" },
  [RequestOutcome.UnknownKey]: { status: 401, text: "the key is missing or unknown" },
  [RequestOutcome.TooLarge]: { status: 413, text: "the body is too large" },
  [RequestOutcome.NotFresh]: { status: 503, text: "the configuration is not known to be current" },
  [RequestOutcome.NoTarget]: { status: 503, text: "the service of the route is not known" },
  [RequestOutcome.UnusableTeam]: { status: 503, text: "no header can carry the name of the team" },
  [RequestOutcome.Overloaded]: { status: 503, text: "this gateway holds as much as it may" },
  [RequestOutcome.Stopping]: { status: 503, text: "this gateway stops before the request could end" },
} as const;

type LocalOutcome = keyof typeof localResponses;

/** Reads requests, determines their route and team, and starts them. */
export class RequestReceiver {
  readonly #context: GatewayContext;
  readonly #getMaxBodyBytes: () => number;
  #inFlight = 0;
  #isStarted = false;

  constructor(context: GatewayContext, getMaxBodyBytes: () => number) {
    this.#context = context;
    this.#getMaxBodyBytes = getMaxBodyBytes;
  }

  /** Requests of which reading has started and that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#context.options.clock.monotonicMs();
    this.#inFlight += 1;
    const reservation = new ByteReservation(this.#context.byteBudget);
    response.once("close", () => {
      this.#inFlight -= 1;
      reservation.release();
    });
    const noteError = (error: Error): void => {
      this.#context.options.logger.debug({ error: error.message }, "connection of a caller failed");
    };
    response.on("error", noteError);
    let chunks: Buffer[] = [];
    let sizeBytes = 0;
    let isOverloaded = this.#inFlight > this.#context.options.maxInFlight;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > this.#getMaxBodyBytes() || isOverloaded) {
        return;
      }
      isOverloaded = !reservation.set(sizeBytes);
      if (isOverloaded) {
        chunks = [];
      } else {
        chunks.push(chunk);
      }
    });
    request.on("error", noteError);
    const onEnd = (): void => {
      if (sizeBytes > this.#getMaxBodyBytes()) {
        this.#reject(response, RequestOutcome.TooLarge, request);
      } else if (isOverloaded) {
        this.#reject(response, RequestOutcome.Overloaded, request);
      } else if (!response.destroyed) {
        this.#route(request, response, Buffer.concat(chunks), arrivedAtMs);
      }
    };
    request.on("end", () => {
      this.#guard(response, onEnd);
    });
  }

  /** Runs a handler of a request of which nothing was sent yet; an exception closes its connection. */
  #guard(response: ServerResponse, action: () => void): void {
    this.#context.errors.run(GatewayHandler.Request, action, () => response.destroy());
  }

  #route(request: IncomingMessage, response: ServerResponse, body: Buffer, arrivedAtMs: number): void {
    const fault = findRequestFault(request);
    if (fault !== null) {
      this.#reject(response, RequestOutcome.BadRequest, request, fault);
      return;
    }
    if (this.#isStarting(arrivedAtMs)) {
      const routeAgain = (): void => {
        if (!response.destroyed) {
          this.#route(request, response, body, arrivedAtMs);
        }
      };
      setTimeout(() => {
        this.#guard(response, routeAgain);
      }, startPollMs);
      return;
    }
    const { options, view } = this.#context;
    const { table } = view.state;
    if (table === null || !view.isFresh(options.leaseClock.monotonicMs())) {
      this.#reject(response, RequestOutcome.NotFresh, request);
      return;
    }
    const route = table.findRoute(getHostName(request), request.url ?? "/");
    if (route === null) {
      this.#reject(response, RequestOutcome.NoRoute, request);
      return;
    }
    const caller = options.codec.readRequest(request.rawHeaders);
    const team = findTeam(table, route, caller.key);
    if (team === null) {
      this.#reject(response, RequestOutcome.UnknownKey, request);
      return;
    }
    const service = table.findService(chooseService(route, options.random) ?? "");
    if (service === null) {
      this.#reject(response, RequestOutcome.NoTarget, request);
      return;
    }
    const priority = team === "public" ? route.priority : (team.priority ?? route.priority);
    const teamName = team === "public" ? null : encodeHeaderText(team.name);
    if (team !== "public" && teamName === null) {
      this.#reject(response, RequestOutcome.UnusableTeam, request);
      return;
    }
    const routed = {
      request,
      response,
      caller,
      body,
      route,
      service,
      team: teamName,
      priority,
      arrivedAtMs,
    };
    if (!this.#canComplete(routed)) {
      this.#reject(response, RequestOutcome.Stopping, request);
      return;
    }
    new RequestForwarder(this.#context, routed).start();
  }

  /** Whether a request waits for the state that a gateway needs before it can serve anything. */
  #isStarting(arrivedAtMs: number): boolean {
    const { options, view } = this.#context;
    const isFresh = view.isFresh(options.leaseClock.monotonicMs());
    this.#isStarted ||= isFresh && view.state.targets.length > 0;
    return !this.#isStarted && options.clock.monotonicMs() - arrivedAtMs < startWaitMs;
  }

  /** Whether the process lasts long enough for the request to complete. */
  #canComplete({ route, caller, service }: RoutedRequest): boolean {
    const { getStopWindow, getPassMeter, options } = this.#context;
    const window = getStopWindow();
    if (window === null) {
      return true;
    }
    const nowMs = options.clock.monotonicMs();
    const meanGapMs = getPassMeter(service.name).getMeanMs(nowMs);
    const stride = service.engine?.stride ?? 1;
    return window.admits(predictDuration({ route, caller, stride, meanGapMs }), nowMs);
  }

  #reject(
    response: ServerResponse,
    end: LocalOutcome,
    request: IncomingMessage,
    fault: string | null = null,
  ): void {
    const { metrics, options, view } = this.#context;
    const { status, text } = localResponses[end];
    metrics.outcomes.add(end);
    options.logger.info(
      {
        host: getHostName(request),
        end,
        status,
        version: view.version,
        ...(fault === null ? {} : { fault }),
      },
      "request refused",
    );
    const retryMs = status === 503 ? this.#getRetryMs(end) : null;
    new ResponseWriter(response, this.#context).sendLocal(status, text, retryMs);
  }

  #getRetryMs(end: LocalOutcome): number {
    const random = this.#context.options.random();
    return end === RequestOutcome.Stopping
      ? stoppingRetryMs + random * stoppingSpreadMs
      : staleRetryMs + random * staleSpreadMs;
  }
}

/** The team of the key; "public" if the route or the document requires no key; null for an unknown key. */
function findTeam(table: RouteTable, route: Route, key: string | null): RouteTeam | "public" | null {
  if (route.isPublic || table.document.teams === null) {
    return "public";
  }
  return key === null ? null : table.findTeam(key);
}

function getHostName({ headers }: IncomingMessage): string {
  return (headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}
