/** Blocks the event loop: timers and sockets become due together, as in a process that was stopped. */
export function blockEventLoop(durationMs: number): void {
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    // Nothing else may run.
  }
}
