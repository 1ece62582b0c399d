import type { IncomingMessage } from "node:http";

/**
 * Calls back when a response that ends with its connection was reset. If a reset arrives together with the last bytes,
 * Node reports these and then an end; only the socket shows the reset, as it has no peer any more.
 */
export function onHiddenReset({ socket, headers }: IncomingMessage, onReset: () => void): void {
  if (headers["content-length"] === undefined && headers["transfer-encoding"] === undefined) {
    // Before the listeners of Node, which close the socket.
    socket.prependOnceListener("end", () => {
      if (socket.remoteAddress === undefined) {
        onReset();
      }
    });
  }
}
