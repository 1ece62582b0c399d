import { createServer } from "node:http";
import type { Server } from "node:http";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { HttpGate } from "@clementinemux/wire/HttpGate";
import { hasBody } from "@clementinemux/wire/hasBody";
import { refuseBody } from "@clementinemux/wire/refuseBody";
import { GatewayHandler } from "./GatewayHandler";

interface ReadinessServerOptions {
  readonly path: string;
  readonly isReady: () => boolean;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly onClosed: (reason: ConnectionCloseReason) => void;
}

/** More than any number of health checks needs. */
const maxConnections = 64;
const limits = { headersTimeout: 3000, keepAliveTimeout: 15_000, connectionsCheckingInterval: 1000 } as const;

/** Creates the server of the readiness checks, which reads no bodies. */
export function createReadinessServer({ path, isReady, errors, onClosed }: ReadinessServerOptions): Server {
  const server = createServer(limits, (request, response) => {
    const answer = (): void => {
      if (hasBody(request)) {
        refuseBody(response);
        return;
      }
      const isKnown = request.url?.split("?")[0] === path;
      response.writeHead(isKnown ? (isReady() ? 200 : 503) : 404).end();
    };
    errors.run(GatewayHandler.Readiness, answer, () => response.destroy());
  });
  new HttpGate(server, { maxConnections, getIdleTimeoutMs: () => limits.keepAliveTimeout, onClosed });
  return server;
}
