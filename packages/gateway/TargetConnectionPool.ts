import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { closeIdleOnData } from "@clementinemux/wire/closeIdleOnData";

/**
 * Idle connections are closed after this time, or after `idleShare` of the keep-alive timeout that the target
 * announces.
 */
const maxIdleMs = 4000;
const idleShare = 0.5;
const maxIdleSockets = 64;

/** Connection pool of one target. A connection that receives bytes while it is idle is never used again. */
export class TargetConnectionPool extends Agent {
  /** When a connection was last used, by `performance.now()`. */
  readonly #usedAtMs = new WeakMap<Socket, number>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets: maxIdleSockets, scheduling: "lifo" });
    closeIdleOnData(this);
  }

  /** Called by Node when a request has ended and its connection may be kept. */
  override keepSocketAlive(socket: Socket): boolean {
    this.#usedAtMs.set(socket, performance.now());
    socket.setTimeout(getIdleMs(socket));
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }

  /** Closes connections that have been idle for longer than `ageMs`. */
  closeIdle(ageMs: number): void {
    const nowMs = performance.now();
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        if (nowMs - (this.#usedAtMs.get(socket) ?? 0) > ageMs) {
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
