import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { postponeTimeouts } from "@clementinemux/wire/postponeTimeouts";
import { endAgentClient } from "./endAgentClient";

interface AgentServerOptions {
  readonly maxConnections: number;
  readonly tls: TlsFiles | undefined;
}

// Bounds against peers that hold connections without using them, and against headers that fill the memory.
const limits = {
  maxHeaderSize: 16_384,
  headersTimeout: 5000,
  requestTimeout: 30_000,
  keepAliveTimeout: 65_000,
  connectionsCheckingInterval: 1000,
} as const;

/** Creates the agent's HTTP listener, with mutual TLS when certificates are given. */
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
  const latestResponses = new WeakMap<Socket, ServerResponse>();
  server.on("request", (request: IncomingMessage, response: ServerResponse) => {
    latestResponses.set(request.socket, response);
  });
  postponeTimeouts(server, (error, socket) => {
    endAgentClient(error, socket, latestResponses.get(socket));
  });
  return server;
}
