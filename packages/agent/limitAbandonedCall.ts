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
