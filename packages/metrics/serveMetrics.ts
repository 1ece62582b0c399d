import type { Server } from "node:http";
import { createBodilessServer } from "@clementinemux/wire/createBodilessServer";

interface MetricsServerOptions {
  readonly host: string;
  readonly port: number;
  /** Renders the metrics; called for each request. */
  readonly render: () => string;
}

const path = "/metrics";

/** Serves metrics in Prometheus text format. Rejects when the server cannot listen on the address. */
export function serveMetrics({ host, port, render }: MetricsServerOptions): Promise<Server> {
  const server = createBodilessServer((request, response) => {
    const isMetricsRequest = request.method === "GET" && request.url?.split("?")[0] === path;
    if (isMetricsRequest) {
      response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(render());
    } else {
      response.writeHead(404).end();
    }
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
