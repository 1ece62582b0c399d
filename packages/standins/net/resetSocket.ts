import type { Socket } from "node:net";

interface ResettableHandle {
  reset(onClosed: () => void): void;
}

/** Resets a connection at once; Node's `resetAndDestroy` ends it in order while written bytes are on their way. */
export function resetSocket(socket: Socket): void {
  const owner = socket as unknown as { _handle: ResettableHandle | null };
  const handle = owner._handle;
  owner._handle = null;
  handle?.reset(() => undefined);
  socket.destroy();
}
