import { Agent as HttpAgent, request as requestHttp } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import { Outcome } from "@clementinemux/common/Outcome";
import { headerNames } from "@clementinemux/common/headerNames";
import type { Address } from "@clementinemux/wire/Address";
import { ResponseFeeder } from "@clementinemux/wire/ResponseFeeder";
import { closeIdleOnData } from "@clementinemux/wire/closeIdleOnData";
import { findResponseFault } from "@clementinemux/wire/findResponseFault";
import { onHiddenReset } from "@clementinemux/wire/onHiddenReset";
import { limitAbandonedCall } from "./limitAbandonedCall";

interface ForwardOptions {
  readonly repeatable: boolean;
  /** Headers that the agent adds to the target's response. */
  readonly headers: Readonly<Record<string, string>>;
  /** Called when no connection could be made, so nothing was sent to the target. */
  readonly onUnreachable: () => void;
  /** Called when the connection of a request breaks; the caller is told once the promise resolves. */
  readonly onBroken: () => Promise<void>;
  /** Runs the handlers of the request; an exception ends that request only. */
  readonly guard: (action: () => void) => void;
}

const connectTimeoutMs = 500;
const maxTargetSockets = 1024;
/** Provisional (1xx) responses before the final one; a healthy target sends at most one. */
const maxProvisionalResponses = 8;
const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
]);

/** Streams requests to the target and its responses back. Sends each request at most once. */
export class Forwarder {
  readonly #address: Address;
  readonly #abandonedTimeoutMs: number;
  readonly #httpAgent = new HttpAgent({ keepAlive: true, maxSockets: maxTargetSockets });

  #inFlight = 0;

  /** `abandonedTimeoutMs` is the time for a non-repeatable call to end after its caller has disconnected. */
  constructor(address: Address, abandonedTimeoutMs: number) {
    this.#address = address;
    this.#abandonedTimeoutMs = abandonedTimeoutMs;
    closeIdleOnData(this.#httpAgent);
  }

  /** Requests whose response has not ended, including those whose caller has disconnected. */
  get inFlight(): number {
    return this.#inFlight;
  }

  forward(request: IncomingMessage, response: ServerResponse, options: ForwardOptions): void {
    const { repeatable, headers, onUnreachable, onBroken, guard } = options;
    let sent = false;
    let openSides = 2;
    const closeSide = (): void => {
      openSides -= 1;
      this.#inFlight -= openSides === 0 ? 1 : 0;
    };
    this.#inFlight += 1;
    let unpipeResponse = (): void => undefined;
    const relayResponse = (targetResponse: IncomingMessage): void => {
      if (response.destroyed) {
        // The caller has disconnected. The response is still read to its end, so that the target can
        // finish.
        targetResponse.on("error", () => undefined);
        targetResponse.resume();
        return;
      }
      response.writeHead(targetResponse.statusCode ?? 502, {
        ...selectEndToEndHeaders(targetResponse.headers),
        ...headers,
      });
      // The headers are sent immediately, since the first token may take seconds.
      response.flushHeaders();
      targetResponse.pipe(response);
      unpipeResponse = () => targetResponse.unpipe(response);
      onHiddenReset(targetResponse, () => {
        upstream.destroy(new Error("connection reset"));
        guard(endBroken);
      });
      targetResponse.once("error", () => {
        void onBroken().finally(() => response.destroy());
      });
      response.once("close", () => targetResponse.resume());
    };
    const upstream = requestHttp(
      {
        ...this.#address,
        method: request.method,
        path: request.url,
        headers: selectEndToEndHeaders(request.headers),
        // The target may close a kept-alive connection just as a request is sent, which leaves it unknown
        // whether the request was read. A non-repeatable request is therefore sent on a new connection.
        agent: repeatable ? this.#httpAgent : false,
      },
      (targetResponse) => {
        guard(() => {
          const fault = findResponseFault(targetResponse);
          if (fault !== null) {
            upstream.destroy(new Error(fault));
            return;
          }
          relayResponse(targetResponse);
        });
      },
    );
    upstream.once("socket", (socket) => {
      if (!socket.connecting) {
        sent = true;
        return;
      }
      const timer = setTimeout(() => upstream.destroy(new Error("connect timeout")), connectTimeoutMs);
      socket.once("connect", () => {
        sent = true;
        clearTimeout(timer);
      });
      socket.once("close", () => {
        clearTimeout(timer);
      });
    });
    new ResponseFeeder(upstream);
    let provisionalCount = 0;
    upstream.on("information", () => {
      provisionalCount += 1;
      if (provisionalCount > maxProvisionalResponses) {
        upstream.destroy(new Error("too many provisional responses"));
      }
    });
    upstream.once("close", closeSide);
    const endBroken = (): void => {
      request.unpipe(upstream);
      // Node ends a response without a length in order when its connection is reset, after it has reported the error.
      unpipeResponse();
      if (response.destroyed) {
        return;
      }
      if (!sent) {
        onUnreachable();
        return;
      }
      void onBroken().finally(() => {
        guard(() => {
          if (response.headersSent) {
            response.destroy();
          } else if (!response.destroyed) {
            respondUnknown(response, headers);
          }
        });
      });
    };
    upstream.on("error", () => {
      guard(endBroken);
    });
    response.once("close", () => {
      closeSide();
      // A non-repeatable request runs to its end even if its caller has disconnected.
      if (repeatable || !sent || !request.complete) {
        upstream.destroy();
      } else {
        limitAbandonedCall(upstream, this.#abandonedTimeoutMs);
      }
    });
    request.pipe(upstream);
  }

  close(): void {
    this.#httpAgent.destroy();
  }
}

function selectEndToEndHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const copied: IncomingHttpHeaders = {};
  for (const name of Object.keys(headers)) {
    if (!hopByHopHeaders.has(name)) {
      copied[name] = headers[name];
    }
  }
  return copied;
}

function respondUnknown(response: ServerResponse, headers: Readonly<Record<string, string>>): void {
  response.writeHead(502, {
    ...headers,
    "content-type": "application/json",
    [headerNames.targetLost]: "1",
  });
  response.end(JSON.stringify({ outcome: Outcome.Unknown, reason: "target_connection_lost" }));
}
