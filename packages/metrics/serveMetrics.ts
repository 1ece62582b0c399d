import { createServer } from "node:http";
import type { Server } from "node:http";
import { HttpGate } from "@clementinemux/wire/HttpGate";
import { hasBody } from "@clementinemux/wire/hasBody";
import { refuseBody } from "@clementinemux/wire/refuseBody";

interface MetricsServerOptions {
  readonly host: string;
  readonly port: number;
  /** Renders the metrics; called for each request. */
  readonly render: () => string;
}

const path = "/metrics";
/** More than any number of collectors needs. */
const maxConnections = 64;
const headersTimeoutMs = 3000;
const idleTimeoutMs = 15_000;

/** Serves metrics in Prometheus text format. Rejects when the server cannot listen on the address. */
export function serveMetrics({ host, port, render }: MetricsServerOptions): Promise<Server> {
  const limits = {
    headersTimeout: headersTimeoutMs,
    keepAliveTimeout: idleTimeoutMs,
    connectionsCheckingInterval: 1000,
  };
  const server = createServer(limits, (request, response) => {
    if (hasBody(request)) {
      refuseBody(response);
      return;
    }
    const isMetricsRequest = request.method === "GET" && request.url?.split("?")[0] === path;
    if (isMetricsRequest) {
      response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(render());
    } else {
      response.writeHead(404).end();
    }
  });
  new HttpGate(server, { maxConnections, getIdleTimeoutMs: () => idleTimeoutMs });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
