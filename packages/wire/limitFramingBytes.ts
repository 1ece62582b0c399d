import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Much more than the heads that Node accepts. */
const maxFramingBytes = 65_536;

/**
 * Calls back when a connection delivers framing bytes without any byte of a body for too long. Node's parser limits
 * heads, but neither the line ends before one nor the digits of a chunk size.
 */
export function limitFramingBytes(request: ClientRequest, onExceeded: () => void): void {
  let framingBytes = 0;
  let hasBody = false;
  let response: IncomingMessage | null = null;
  request.once("response", (received: IncomingMessage) => {
    response = received;
    received.on("data", () => {
      hasBody = true;
    });
  });
  request.once("socket", (socket: Socket) => {
    // Runs after the parser for the same bytes, so any body data in them has already been seen.
    const onBytes = ({ length }: Buffer): void => {
      const isBody = hasBody || (response !== null && response.readableLength > 0);
      framingBytes = isBody ? 0 : framingBytes + length;
      hasBody = false;
      if (framingBytes > maxFramingBytes) {
        stop();
        onExceeded();
      }
    };
    const stop = (): void => {
      socket.off("data", onBytes);
    };
    socket.on("data", onBytes);
    request.once("response", (received: IncomingMessage) => received.once("end", stop));
    request.once("close", stop);
  });
}
