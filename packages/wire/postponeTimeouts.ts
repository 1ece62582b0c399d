import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/** Ends a connection whose peer sent something malformed, or sent too slowly (`ERR_HTTP_REQUEST_TIMEOUT`). */
type EndClient = (error: NodeJS.ErrnoException, socket: Socket) => void;

const timeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/**
 * Lets an HTTP server read its sockets before one of its timeouts ends a connection. Takes over the server's `clientError`
 * and `timeout` events. When a process that was stopped or blocked runs again, its timers fire before its sockets are read,
 * and would close connections on which whole requests wait.
 *
 * A connection on which bytes waited gets its timeout once more; any other is ended at once.
 */
export function postponeTimeouts(server: Server, endClient: EndClient): void {
  const latestRequests = new WeakMap<Socket, IncomingMessage>();

  const onRequestTimeout = (error: NodeJS.ErrnoException, socket: Socket): void => {
    const { bytesRead } = socket;
    const known = latestRequests.get(socket);
    const endUnless = (isDone: () => boolean): void => {
      if (!socket.destroyed && !isDone()) {
        endClient(error, socket);
      }
    };
    // Node checks a request only once, so the rest of this one is limited here.
    const limitBody = (request: IncomingMessage): void => {
      if (server.requestTimeout > 0 && !request.complete) {
        setTimeout(endUnless, server.requestTimeout, () => request.complete).unref();
      }
    };
    const limitHeaders = (): void => {
      setTimeout(endUnless, server.headersTimeout, () => {
        const request = latestRequests.get(socket);
        if (request !== undefined && request !== known) {
          limitBody(request);
        }
        return request !== known;
      }).unref();
    };
    // The sockets have been read when this runs.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        endUnless(() => false);
      } else if (known?.complete === false) {
        limitBody(known);
      } else {
        limitHeaders();
      }
    });
  };

  server.on("request", (request: IncomingMessage) => {
    latestRequests.set(request.socket, request);
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === timeoutCode) {
      onRequestTimeout(error, socket);
    } else {
      endClient(error, socket);
    }
  });
  // The keep-alive timeout of an idle connection.
  server.on("timeout", (socket: Socket) => {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });
}
