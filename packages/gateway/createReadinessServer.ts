import type { Server } from "node:http";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { createBodilessServer } from "@clementinemux/wire/createBodilessServer";
import { GatewayHandler } from "./GatewayHandler";

interface ReadinessServerOptions {
  readonly path: string;
  readonly isReady: () => boolean;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly onClosed: (reason: ConnectionCloseReason) => void;
}

/** Creates the server of the readiness checks. */
export function createReadinessServer({ path, isReady, errors, onClosed }: ReadinessServerOptions): Server {
  return createBodilessServer((request, response) => {
    const answer = (): void => {
      const isKnown = request.url?.split("?")[0] === path;
      response.writeHead(isKnown ? (isReady() ? 200 : 503) : 404).end();
    };
    errors.run(GatewayHandler.Readiness, answer, () => response.destroy());
  }, onClosed);
}
