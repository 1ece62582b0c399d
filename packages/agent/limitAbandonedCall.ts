import type { ClientRequest } from "node:http";

/** Read after the caller has left, framing included. A call whose answer goes on beyond it has been run. */
const maxAbandonedBytes = 67_108_864;

/**
 * Ends a call without a caller whose answer has no end. Until then it is read, so that the target can finish what must not be
 * run again.
 */
export function limitAbandonedCall(call: ClientRequest, timeoutMs: number): void {
  if (call.closed) {
    return;
  }
  let readBytes = 0;
  const timer = setTimeout(() => {
    call.destroy();
  }, timeoutMs);
  timer.unref();
  call.socket?.on("data", ({ length }: Buffer) => {
    readBytes += length;
    if (readBytes > maxAbandonedBytes) {
      call.destroy();
    }
  });
  call.once("close", () => {
    clearTimeout(timer);
  });
}
