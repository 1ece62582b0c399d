import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Closes a connection whose peer sent a malformed request, or sent it too slowly
 * (`ERR_HTTP_REQUEST_TIMEOUT`).
 */
type CloseConnection = (error: NodeJS.ErrnoException, socket: Socket) => void;

const requestTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/**
 * Lets an HTTP server read its sockets before one of its timeouts closes a connection. Replaces Node's
 * handling of the server's `clientError` and `timeout` events. When a process resumes after a stall, its
 * timers fire before its sockets are read, and would close connections whose complete requests are waiting in
 * the socket.
 *
 * The timeout of a connection with unread bytes is restarted once; any other connection is closed at once.
 */
export function postponeTimeouts(server: Server, closeConnection: CloseConnection): void {
  const latestRequests = new WeakMap<Socket, IncomingMessage>();

  const onRequestTimeout = (error: NodeJS.ErrnoException, socket: Socket): void => {
    const { bytesRead } = socket;
    const timedOutRequest = latestRequests.get(socket);
    const closeUnless = (isDone: () => boolean): void => {
      if (!socket.destroyed && !isDone()) {
        closeConnection(error, socket);
      }
    };
    // Node reports the timeout of a request only once, so the rest of this request is limited here.
    const startBodyTimeout = (request: IncomingMessage): void => {
      if (server.requestTimeout > 0 && !request.complete) {
        setTimeout(closeUnless, server.requestTimeout, () => request.complete).unref();
      }
    };
    const startHeadersTimeout = (): void => {
      setTimeout(closeUnless, server.headersTimeout, () => {
        const request = latestRequests.get(socket);
        if (request !== undefined && request !== timedOutRequest) {
          startBodyTimeout(request);
        }
        return request !== timedOutRequest;
      }).unref();
    };
    // The event loop reads the sockets before it runs this.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        closeUnless(() => false);
      } else if (timedOutRequest?.complete === false) {
        startBodyTimeout(timedOutRequest);
      } else {
        startHeadersTimeout();
      }
    });
  };

  server.on("request", (request: IncomingMessage) => {
    latestRequests.set(request.socket, request);
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === requestTimeoutCode) {
      onRequestTimeout(error, socket);
    } else {
      closeConnection(error, socket);
    }
  });
  // Keep-alive timeout of an idle connection.
  server.on("timeout", (socket: Socket) => {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });
}
