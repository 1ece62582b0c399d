import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { installConnectionErrorHandlers } from "@clementinemux/wire/installConnectionErrorHandlers";

interface AgentServerOptions {
  readonly maxConnections: number;
  readonly tls: TlsFiles | undefined;
}

// Limits idle or slow connections and the memory for headers.
const limits = {
  maxHeaderSize: 16_384,
  headersTimeout: 5000,
  requestTimeout: 30_000,
  keepAliveTimeout: 65_000,
  connectionsCheckingInterval: 1000,
} as const;

/** Creates the agent's HTTP server, with mutual TLS when certificates are given. */
export async function createAgentServer(
  { maxConnections, tls }: AgentServerOptions,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Server> {
  let server: Server;
  if (tls === undefined) {
    server = createServer(limits, handle);
  } else {
    const https = await import("node:https");
    const options = { ...limits, ...tls, requestCert: true, rejectUnauthorized: true };
    server = https.createServer({ ...options, handshakeTimeout: limits.headersTimeout }, handle);
  }
  server.maxConnections = maxConnections;
  installConnectionErrorHandlers(server);
  return server;
}
