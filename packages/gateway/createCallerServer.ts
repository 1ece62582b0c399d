import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "roarr";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { CallerLimits } from "@clementinemux/routes/CallerLimits";
import type { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { HttpGate } from "@clementinemux/wire/HttpGate";
import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import { postponeTimeouts } from "@clementinemux/wire/postponeTimeouts";
import { GatewayHandler } from "./GatewayHandler";
import type { GatewayMetrics } from "./GatewayMetrics";
import { RequestOutcome } from "./RequestOutcome";
import type { RequestReceiver } from "./RequestReceiver";
import { applyCallerLimits } from "./applyCallerLimits";
import { getMaxCallers } from "./getMaxCallers";
import { maxHeaderFields } from "./maxHeaderFields";

interface CallerServerOptions {
  /** Limits of the document in force. */
  readonly getLimits: () => CallerLimits;
  /** Heads and bodies that are being received. */
  readonly uploads: PartialMessagePool;
  readonly receiver: RequestReceiver;
  readonly metrics: GatewayMetrics;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly logger: Logger;
  readonly onClosed: (reason: ConnectionCloseReason) => void;
}

const timeoutCheckMs = 1000;
/** Node passes fields on in batches, and keeps the batch in which its limit is reached. */
const fieldsPerBatch = 32;
const overflowCode = "HPE_HEADER_OVERFLOW";
const headOverflow = Object.assign(new Error("the head is too large"), { code: overflowCode });

/** Creates the server that callers connect to. */
export function createCallerServer(options: CallerServerOptions): Server {
  const { getLimits, uploads, receiver, errors, onClosed } = options;
  const server = createServer(
    {
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
  server.maxHeadersCount = maxHeaderFields + fieldsPerBatch;
  applyCallerLimits(server, getLimits());
  new HttpGate(server, {
    maxConnections: getMaxCallers(),
    getIdleTimeoutMs: () => getLimits().idleTimeoutMs,
    headLimits: {
      getMaxBytes: () => getLimits().maxHeaderBytes,
      maxFields: maxHeaderFields,
      pool: uploads,
      onTooLarge: (socket) => {
        closeMalformed(options, headOverflow, socket);
      },
    },
    onClosed,
  });
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
    const isOverflow = error.code === overflowCode;
    const status = isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request";
    metrics.outcomes.add(isOverflow ? RequestOutcome.HeadTooLarge : RequestOutcome.BadRequest);
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  } else {
    socket.destroy();
  }
}
