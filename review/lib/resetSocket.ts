import type { Socket } from "node:net";

interface ResettableHandle {
  reset(onClosed: () => void): void;
}

/**
 * Resets a connection at once. Node's own `resetAndDestroy` ends it in order first, so that the peer may see a regular
 * close.
 */
export function resetSocket(socket: Socket): void {
  const owner = socket as unknown as { _handle: ResettableHandle | null };
  const handle = owner._handle;
  owner._handle = null;
  handle?.reset(() => undefined);
  socket.destroy();
}
