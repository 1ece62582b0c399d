/** Blocks the event loop: timers and sockets become due together, as in a process that was suspended. */
export function blockEventLoop(durationMs: number): void {
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    // Busy-waits.
  }
}
