import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeHttpConnection } from "./closeHttpConnection";
import { postponeTimeouts } from "./postponeTimeouts";

/**
 * Lets a server read its sockets before one of its timeouts closes a connection, and responds to malformed
 * and late requests as Node does by default. Replaces Node's handling of the server's `clientError` and
 * `timeout` events.
 */
export function installConnectionErrorHandlers(server: Server): void {
  const latestResponses = new WeakMap<Socket, ServerResponse>();
  server.on("request", (request: IncomingMessage, response: ServerResponse) => {
    latestResponses.set(request.socket, response);
  });
  postponeTimeouts(server, (error, socket) => {
    closeHttpConnection(error, socket, latestResponses.get(socket));
  });
}
