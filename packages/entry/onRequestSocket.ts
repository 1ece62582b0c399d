import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

let onSocket: ((socket: Socket) => void) | null = null;

// Published in the same call as `onRequestStart`; handlers of the library don't get the socket.
subscribe("undici:client:sendHeaders", (message) => {
  const notify = onSocket;
  onSocket = null;
  notify?.((message as { readonly socket: Socket }).socket);
});

/** Called in `onRequestStart`: calls back with the socket on which the HTTP library then writes the request. */
export function onRequestSocket(callback: (socket: Socket) => void): void {
  onSocket = callback;
}
