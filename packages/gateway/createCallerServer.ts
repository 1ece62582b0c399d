import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "roarr";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { CallerLimits } from "@clementinemux/routes/CallerLimits";
import type { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { HttpGate } from "@clementinemux/wire/HttpGate";
import { postponeTimeouts } from "@clementinemux/wire/postponeTimeouts";
import { GatewayHandler } from "./GatewayHandler";
import type { GatewayMetrics } from "./GatewayMetrics";
import { RequestOutcome } from "./RequestOutcome";
import type { RequestReceiver } from "./RequestReceiver";
import { getMaxCallers } from "./getMaxCallers";

interface CallerServerOptions {
  readonly limits: CallerLimits;
  /** The idle timeout of the document in force. */
  readonly getIdleTimeoutMs: () => number;
  readonly receiver: RequestReceiver;
  readonly metrics: GatewayMetrics;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly logger: Logger;
  readonly onClosed: (reason: ConnectionCloseReason) => void;
}

const timeoutCheckMs = 1000;

/** Creates the server that callers connect to. */
export function createCallerServer(options: CallerServerOptions): Server {
  const { limits, getIdleTimeoutMs, receiver, errors, onClosed } = options;
  const server = createServer(
    {
      maxHeaderSize: limits.maxHeaderBytes,
      keepAliveTimeout: limits.idleTimeoutMs,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: timeoutCheckMs,
      noDelay: true,
      insecureHTTPParser: false,
    },
    (request: IncomingMessage, response: ServerResponse) => {
      const receive = (): void => {
        receiver.receive(request, response);
      };
      errors.run(GatewayHandler.Request, receive, () => response.destroy());
    },
  );
  new HttpGate(server, { maxConnections: getMaxCallers(), getIdleTimeoutMs, onClosed });
  postponeTimeouts(server, (error, socket) => {
    const close = (): void => {
      closeMalformed(options, error, socket);
    };
    errors.run(GatewayHandler.Connection, close, () => socket.destroy());
  });
  return server;
}

function closeMalformed(
  { logger, metrics }: CallerServerOptions,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  logger.warn({ code: error.code ?? "", error: error.message }, "malformed request");
  if (socket.writable && error.code !== "ECONNRESET") {
    const isOverflow = error.code === "HPE_HEADER_OVERFLOW";
    const status = isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request";
    metrics.outcomes.add(isOverflow ? RequestOutcome.TooLarge : RequestOutcome.BadRequest);
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  } else {
    socket.destroy();
  }
}
