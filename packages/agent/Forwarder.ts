import { Agent as HttpAgent, request as requestHttp } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import { Outcome } from "@clementinemux/common/Outcome";
import type { Address } from "@clementinemux/wire/Address";
import { closeNoisyIdle } from "@clementinemux/wire/closeNoisyIdle";
import { limitAbandonedCall } from "./limitAbandonedCall";

interface ForwardOptions {
  readonly repeatable: boolean;
  /** Headers that the agent adds to the target's answer. */
  readonly headers: Readonly<Record<string, string>>;
  /** Called when no connection was made, so that nothing was sent to the target. */
  readonly onUnreachable: () => void;
}

const connectTimeoutMs = 500;
const maxTargetSockets = 1024;
/** Provisional answers before the final one; a sound target sends one at most. */
const maxProvisional = 8;
const perConnectionHeaders: ReadonlySet<string> = new Set([
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

/** Streams requests to the target and its answers back. Sends each request at most once. */
export class Forwarder {
  readonly #address: Address;
  readonly #abandonedTimeoutMs: number;
  readonly #http = new HttpAgent({ keepAlive: true, maxSockets: maxTargetSockets });

  #inFlight = 0;

  /** `abandonedTimeoutMs` is the time for a call that must not be repeated to end after its caller has left. */
  constructor(address: Address, abandonedTimeoutMs: number) {
    this.#address = address;
    this.#abandonedTimeoutMs = abandonedTimeoutMs;
    closeNoisyIdle(this.#http);
  }

  /** Requests whose answer has not ended, also those that run on without their caller. */
  get inFlight(): number {
    return this.#inFlight;
  }

  forward(request: IncomingMessage, response: ServerResponse, options: ForwardOptions): void {
    const { repeatable, headers, onUnreachable } = options;
    let sent = false;
    let openSides = 2;
    const closeSide = (): void => {
      openSides -= 1;
      this.#inFlight -= openSides === 0 ? 1 : 0;
    };
    this.#inFlight += 1;
    const upstream = requestHttp(
      {
        ...this.#address,
        method: request.method,
        path: request.url,
        headers: copyHeaders(request.headers),
        // A kept connection may have been closed by the target, and its failure would not tell whether the
        // request was read. A request that must not be repeated goes out on a new connection.
        agent: repeatable ? this.#http : false,
      },
      (answer) => {
        if (response.destroyed) {
          // The caller has gone; the answer is read to its end, so that the target can finish it.
          answer.on("error", () => undefined);
          answer.resume();
          return;
        }
        response.writeHead(answer.statusCode ?? 502, { ...copyHeaders(answer.headers), ...headers });
        // Sends the headers now; the first token may be seconds away.
        response.flushHeaders();
        answer.pipe(response);
        answer.once("error", () => response.destroy());
        response.once("close", () => answer.resume());
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
    let provisional = 0;
    upstream.on("information", () => {
      provisional += 1;
      if (provisional > maxProvisional) {
        upstream.destroy(new Error("provisional answers without an end"));
      }
    });
    upstream.once("close", closeSide);
    upstream.on("error", () => {
      request.unpipe(upstream);
      if (response.destroyed) {
        return;
      }
      if (response.headersSent) {
        response.destroy();
      } else if (sent) {
        respondUnknown(response, headers);
      } else {
        onUnreachable();
      }
    });
    response.once("close", () => {
      closeSide();
      // A request that must not be repeated runs to its end even when nobody waits for the answer.
      if (repeatable || !sent || !request.complete) {
        upstream.destroy();
      } else {
        limitAbandonedCall(upstream, this.#abandonedTimeoutMs);
      }
    });
    request.pipe(upstream);
  }

  close(): void {
    this.#http.destroy();
  }
}

function copyHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const copied: IncomingHttpHeaders = {};
  for (const name of Object.keys(headers)) {
    if (!perConnectionHeaders.has(name)) {
      copied[name] = headers[name];
    }
  }
  return copied;
}

function respondUnknown(response: ServerResponse, headers: Readonly<Record<string, string>>): void {
  response.writeHead(502, { ...headers, "content-type": "application/json" });
  response.end(JSON.stringify({ outcome: Outcome.Unknown, reason: "target_connection_lost" }));
}
