import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

const statuses: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
/** Codes of Node's HTTP parser. */
const parserErrorPrefix = "HPE_";
const malformedStatus = "400 Bad Request";

/**
 * Answers a malformed or late request and closes its connection, as Node does by default. An answer that has begun, which
 * is given as the latest response of the connection, is cut off instead.
 */
export function endHttpClient(
  error: NodeJS.ErrnoException,
  socket: Socket,
  latest: ServerResponse | undefined,
): void {
  const { code = "" } = error;
  // Errors of TLS and of the connection itself leave no one to answer.
  const hasPeer = Object.hasOwn(statuses, code) || code.startsWith(parserErrorPrefix);
  const isAnswering = latest?.headersSent === true && !latest.writableFinished;
  if (hasPeer && socket.writable && !isAnswering) {
    const status = statuses[code] ?? malformedStatus;
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}
