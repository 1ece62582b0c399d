import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

const statusByErrorCode: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
/** Prefix of the error codes of Node's HTTP parser. */
const parserErrorPrefix = "HPE_";
const malformedStatus = "400 Bad Request";

/**
 * Responds to a malformed or late request with an error status and closes its connection, as Node does by
 * default. When a response is already being sent (`latestResponse`), the connection is only closed.
 */
export function closeHttpConnection(
  error: NodeJS.ErrnoException,
  socket: Socket,
  latestResponse: ServerResponse | undefined,
): void {
  const { code = "" } = error;
  // After an error of TLS or of the connection itself, no response can be sent.
  const canRespond = Object.hasOwn(statusByErrorCode, code) || code.startsWith(parserErrorPrefix);
  const isResponding = latestResponse?.headersSent === true && !latestResponse.writableFinished;
  if (canRespond && socket.writable && !isResponding) {
    const status = statusByErrorCode[code] ?? malformedStatus;
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}
