import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

interface KeptSocket {
  readonly sinceMs: number;
  readonly onData: () => void;
}

/** Idle connections are closed after this long, or after `idleShare` of what the target announces. */
const maxIdleMs = 4000;
const idleShare = 0.5;
const maxIdleSockets = 64;

/** Connections to one target. One on which bytes arrive while it is idle is never used again. */
export class TargetAgent extends Agent {
  readonly #kept = new WeakMap<Socket, KeptSocket>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets: maxIdleSockets, scheduling: "lifo" });
  }

  /** Called by Node when a request has ended and its connection may be kept. */
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.destroyed || socket.readableLength > 0) {
      return false;
    }
    const onData = (): void => {
      socket.destroy();
    };
    this.#kept.set(socket, { sinceMs: performance.now(), onData });
    socket.on("data", onData);
    socket.setTimeout(getIdleMs(socket));
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const kept = this.#kept.get(socket);
    if (kept !== undefined) {
      socket.removeListener("data", kept.onData);
    }
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }

  /** Closes idle connections that were last used longer ago than `ageMs`. */
  closeIdle(ageMs: number): void {
    const nowMs = performance.now();
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        if (nowMs - (this.#kept.get(socket)?.sinceMs ?? 0) > ageMs) {
          socket.destroy();
        }
      }
    }
  }
}

function getIdleMs(socket: Socket): number {
  const message = (socket as { _httpMessage?: { res?: { headers?: Record<string, string> } } })._httpMessage;
  const hint = /timeout=(\d+)/.exec(message?.res?.headers?.["keep-alive"] ?? "")?.[1];
  return hint === undefined ? maxIdleMs : Math.min(maxIdleMs, Number(hint) * 1000 * idleShare);
}
