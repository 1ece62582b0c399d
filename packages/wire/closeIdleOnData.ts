import type { Agent, ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/**
 * Makes an HTTP agent close a keep-alive connection that receives bytes while it is idle. Node would read and
 * drop them for as long as the server sends, and would parse the bytes that follow the next request as its
 * response.
 */
export function closeIdleOnData(agent: Agent): void {
  const listeners = new WeakMap<Duplex, () => void>();
  // Returns whether the connection may be kept, although the declared type omits this.
  const keepSocketAlive: (socket: Duplex) => unknown = agent.keepSocketAlive.bind(agent);
  const reuseSocket = agent.reuseSocket.bind(agent);

  agent.keepSocketAlive = (socket: Socket): boolean => {
    if (keepSocketAlive(socket) === false || socket.destroyed || socket.readableLength > 0) {
      return false;
    }
    const onData = (): void => {
      socket.destroy();
    };
    listeners.set(socket, onData);
    socket.on("data", onData);
    return true;
  };
  agent.reuseSocket = (socket: Duplex, request: ClientRequest): void => {
    const onData = listeners.get(socket);
    if (onData !== undefined) {
      socket.removeListener("data", onData);
    }
    reuseSocket(socket, request);
  };
}
