import type { ClientRequest } from "node:http";

/** Bytes read after the caller has disconnected, with framing. A call with a longer response has been run. */
const maxAbandonedBytes = 67_108_864;

/**
 * Limits a call whose caller has disconnected, in case its response never ends. Until the limit, the response
 * is read so that the target can finish a request that must not run again.
 */
export function limitAbandonedCall(call: ClientRequest, timeoutMs: number): void {
  if (call.closed) {
    return;
  }
  const { socket } = call;
  const startBytes = socket?.bytesRead ?? 0;
  const timer = setTimeout(() => {
    call.destroy();
  }, timeoutMs);
  timer.unref();
  // Not the length of the data, parts of which a socket may emit again while they wait to be parsed.
  socket?.on("data", () => {
    if (socket.bytesRead - startBytes > maxAbandonedBytes) {
      call.destroy();
    }
  });
  call.once("close", () => {
    clearTimeout(timer);
  });
}
