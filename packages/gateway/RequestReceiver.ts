import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerLimits } from "@clementinemux/routes/CallerLimits";
import type { Route } from "@clementinemux/routes/Route";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import type { RouteTeam } from "@clementinemux/routes/RouteTeam";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { chooseService } from "@clementinemux/routes/chooseService";
import { countHeadBytes } from "@clementinemux/wire/countHeadBytes";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";
import { estimateHeadBytes } from "@clementinemux/wire/estimateHeadBytes";
import { findRequestFault } from "@clementinemux/wire/findRequestFault";
import { hasBody } from "@clementinemux/wire/hasBody";
import type { CallerRequest } from "./CallerRequest";
import type { RoutedRequest } from "./RoutedRequest";
import { ResponseWriter } from "./ResponseWriter";
import type { GatewayContext } from "./GatewayContext";
import { GatewayHandler } from "./GatewayHandler";
import { ByteReservation } from "./ByteReservation";
import { RequestOutcome } from "./RequestOutcome";
import { RequestForwarder } from "./RequestForwarder";
import { maxHeaderFields } from "./maxHeaderFields";
import { Upload } from "./Upload";
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
/** Longest time for a body that is received before the first document is known. */
const startBodyMs = 30_000;

const localResponses = {
  [RequestOutcome.BadRequest]: {
    status: 400,
    text: "the path or a header has characters that HTTP does not allow",
  },
  [RequestOutcome.NoRoute]: { status: 404, text: "no route for this host and path" },
  [RequestOutcome.UnknownKey]: { status: 401, text: "the key is missing or unknown" },
  [RequestOutcome.HeadTooLarge]: { status: 431, text: "the headers are too large" },
  [RequestOutcome.TooLarge]: { status: 413, text: "the body is too large" },
  [RequestOutcome.UploadTooSlow]: { status: 408, text: "the body came too slowly" },
  [RequestOutcome.UploadDropped]: { status: 503, text: "unfinished uploads hold as much as they may" },
  [RequestOutcome.NotFresh]: { status: 503, text: "the configuration is not known to be current" },
  [RequestOutcome.NoTarget]: { status: 503, text: "the service of the route is not known" },
  [RequestOutcome.UnusableTeam]: { status: 503, text: "no header can carry the name of the team" },
  [RequestOutcome.Overloaded]: { status: 503, text: "this gateway holds as much as it may" },
  [RequestOutcome.Stopping]: { status: 503, text: "this gateway stops before the request could end" },
} as const;

type LocalOutcome = keyof typeof localResponses;

/** Part of the budget that requests in work may take; the rest is for responses. */
const requestShare = 0.75;

/** What the route table in force states about a request. */
interface Resolution {
  readonly table: RouteTable;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: RoutedService;
  readonly team: string | null;
  readonly priority: number;
}

type ReceivedRequest = Pick<RoutedRequest, "request" | "response" | "body" | "arrivedAtMs">;

/** Reads requests, determines their route and team, and starts them. */
export class RequestReceiver {
  readonly #context: GatewayContext;
  readonly #getLimits: () => CallerLimits;
  #inFlight = 0;
  #isStarted = false;

  /** `getLimits` returns the limits of the document in force. */
  constructor(context: GatewayContext, getLimits: () => CallerLimits) {
    this.#context = context;
    this.#getLimits = getLimits;
  }

  /** Requests of which reading has started and that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#context.options.clock.monotonicMs();
    this.#inFlight += 1;
    response.once("close", () => {
      this.#inFlight -= 1;
    });
    const noteError = (error: Error): void => {
      this.#context.options.logger.debug({ error: error.message }, "connection of a caller failed");
    };
    response.on("error", noteError);
    request.on("error", noteError);
    const headBytes = estimateHeadBytes(request);
    const reservation = new ByteReservation(this.#context.byteBudget);
    const refuse = (reason: LocalOutcome): void => {
      this.#refuseLater(request, response, reason);
    };
    const resolution = this.#resolveEarly(request, arrivedAtMs);
    const upload = new Upload({
      request,
      pool: this.#context.uploads,
      headBytes,
      maxBodyBytes: this.#getLimits().maxBodyBytes,
      onEnd: (body) => {
        this.#guard(response, () => {
          const bytes = headBytes + body.length;
          if (!this.#context.byteBudget.hasRoom(bytes, requestShare) || !reservation.set(bytes)) {
            this.#reject(response, RequestOutcome.Overloaded, request);
          } else if (!response.destroyed) {
            this.#route({ request, response, body, arrivedAtMs }, resolution);
          }
        });
      },
      onRefused: refuse,
    });
    response.once("close", () => {
      upload.cancel();
      reservation.release();
    });
    upload.start();
    if (typeof resolution === "string") {
      upload.cancel();
      refuse(resolution);
    } else if (hasBody(request)) {
      const limitMs =
        resolution === null
          ? startBodyMs
          : Math.min(resolution.route.timeoutMs, resolution.caller.leftMs ?? Infinity);
      // A short body comes together with its head.
      setImmediate(() => {
        upload.limitMs(limitMs);
      });
    }
  }

  /** Decides on a request by its head. Null while the gateway waits for the state that it needs. */
  #resolveEarly(request: IncomingMessage, arrivedAtMs: number): Resolution | LocalOutcome | null {
    const announcedBytes = Number(request.headers["content-length"] ?? 0);
    const sizeFault = findSizeFault(request, announcedBytes, this.#getLimits());
    if (sizeFault !== null) {
      return sizeFault;
    }
    if (this.#inFlight > this.#context.options.maxInFlight) {
      return RequestOutcome.Overloaded;
    }
    if (findRequestFault(request) !== null) {
      return RequestOutcome.BadRequest;
    }
    return this.#isStarting(arrivedAtMs) ? null : this.#resolve(request);
  }

  /** Rejects a request whose body may not have been read; bytes that came together with its head are read first. */
  #refuseLater(request: IncomingMessage, response: ServerResponse, reason: LocalOutcome): void {
    setImmediate(() => {
      this.#guard(response, () => {
        if (!response.destroyed && !response.headersSent) {
          this.#reject(response, reason, request);
        }
      });
    });
  }

  /** Runs a handler of a request of which nothing was sent yet; an exception closes its connection. */
  #guard(response: ServerResponse, action: () => void): void {
    this.#context.errors.run(GatewayHandler.Request, action, () => response.destroy());
  }

  #route(received: ReceivedRequest, known: Resolution | LocalOutcome | null): void {
    const { request, response, arrivedAtMs } = received;
    if (known === null && this.#isStarting(arrivedAtMs)) {
      setTimeout(() => {
        this.#guard(response, () => {
          if (!response.destroyed) {
            this.#route(received, null);
          }
        });
      }, startPollMs);
      return;
    }
    const resolution = this.#isCurrent(known) ? known : this.#resolve(request);
    if (typeof resolution === "string") {
      this.#reject(response, resolution, request);
      return;
    }
    // A request that has waited for the first document was not held against its limits yet.
    const { limits } = resolution.table.document;
    const sizeFault = known === null ? findSizeFault(request, received.body.length, limits) : null;
    if (sizeFault !== null) {
      this.#reject(response, sizeFault, request);
      return;
    }
    const { caller, route, service, team, priority } = resolution;
    const routed = { ...received, caller, route, service, team, priority };
    if (!this.#canComplete(routed)) {
      this.#reject(response, RequestOutcome.Stopping, request);
      return;
    }
    new RequestForwarder(this.#context, routed).start();
  }

  #isCurrent(known: Resolution | LocalOutcome | null): known is Resolution {
    const { options, view } = this.#context;
    const isSameTable = typeof known !== "string" && known?.table === view.state.table;
    return isSameTable && view.isFresh(options.leaseClock.monotonicMs());
  }

  /** Finds the route, the team and the service of a request by its head. */
  #resolve(request: IncomingMessage): Resolution | LocalOutcome {
    const { options, view } = this.#context;
    const { table } = view.state;
    if (table === null || !view.isFresh(options.leaseClock.monotonicMs())) {
      return RequestOutcome.NotFresh;
    }
    const route = table.findRoute(getHostName(request), request.url ?? "/");
    if (route === null) {
      return RequestOutcome.NoRoute;
    }
    const caller = options.codec.readRequest(request.rawHeaders);
    const team = findTeam(table, route, caller.key);
    if (team === null) {
      return RequestOutcome.UnknownKey;
    }
    const service = table.findService(chooseService(route, options.random) ?? "");
    if (service === null) {
      return RequestOutcome.NoTarget;
    }
    const priority = team === "public" ? route.priority : (team.priority ?? route.priority);
    const teamName = team === "public" ? null : encodeHeaderText(team.name);
    if (team !== "public" && teamName === null) {
      return RequestOutcome.UnusableTeam;
    }
    return { table, caller, route, service, team: teamName, priority };
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

  #reject(response: ServerResponse, end: LocalOutcome, request: IncomingMessage): void {
    const { metrics, options, view } = this.#context;
    const { status, text } = localResponses[end];
    metrics.outcomes.add(end);
    const fault = end === RequestOutcome.BadRequest ? { fault: findRequestFault(request) } : {};
    const line = { host: getHostName(request), end, status, version: view.version, ...fault };
    options.logger.info(line, "request refused");
    const retryMs = status === 503 ? this.#getRetryMs(end) : null;
    const writer = new ResponseWriter(response, this.#context);
    if (request.complete) {
      writer.sendLocal(status, text, retryMs);
    } else {
      writer.sendEarly(status, text, retryMs);
    }
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

/** Returns which limit a request exceeds by its head and the size of its body, or null. */
function findSizeFault(
  { rawHeaders, url }: IncomingMessage,
  bodyBytes: number,
  { maxHeaderBytes, maxBodyBytes }: CallerLimits,
): RequestOutcome.HeadTooLarge | RequestOutcome.TooLarge | null {
  if (countHeadBytes(rawHeaders, url) > maxHeaderBytes || rawHeaders.length > maxHeaderFields * 2) {
    return RequestOutcome.HeadTooLarge;
  }
  return bodyBytes > maxBodyBytes ? RequestOutcome.TooLarge : null;
}

function getHostName({ headers }: IncomingMessage): string {
  return (headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}
