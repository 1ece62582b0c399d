import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { ConnectionCloseReason } from "./ConnectionCloseReason";
import { HttpGate } from "./HttpGate";
import { hasBody } from "./hasBody";

const tooLargeStatus = 413;
/** More than any number of health checks or collectors needs. */
const maxConnections = 64;
const limits = { headersTimeout: 3000, keepAliveTimeout: 15_000, connectionsCheckingInterval: 1000 } as const;

/** Creates a server for health checks or metrics. It refuses requests with a body and closes their connections. */
export function createBodilessServer(
  handle: RequestListener,
  onClosed?: (reason: ConnectionCloseReason) => void,
): Server {
  const server = createServer(limits, (request, response) => {
    if (hasBody(request)) {
      response.writeHead(tooLargeStatus, { Connection: "close", "Content-Length": 0 }).end();
    } else {
      handle(request, response);
    }
  });
  const listener = onClosed === undefined ? {} : { onClosed };
  new HttpGate(server, { maxConnections, getIdleTimeoutMs: () => limits.keepAliveTimeout, ...listener });
  return server;
}
