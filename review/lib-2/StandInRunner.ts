import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { CaseRecord } from "./CaseRecord";

const heartbeatMs = 1200;
/** Above the header limits of every configuration of the cases. */
const maxHeaderSize = 131_072;

interface RunnerOptions {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly zone?: string;
  readonly record: CaseRecord;
}

/** A sound runner of an application: answers each request for it after a moment with a short body. */
export class StandInRunner {
  readonly #options: RunnerOptions;
  readonly #server: Server;
  readonly #bornMs = Date.now();
  #timer: NodeJS.Timeout | null = null;
  #sequence = 0;

  constructor(options: RunnerOptions) {
    this.#options = options;
    const { id, record } = options;
    this.#server = createServer({ maxHeaderSize }, (request, response) => {
      const attemptId = String(request.headers["attempt-id"]);
      request.resume();
      request.on("end", () => {
        if (request.headers["target-instance"] !== id) {
          response.writeHead(421, { "Attempt-Id": attemptId, "Content-Length": 0 }).end();
          return;
        }
        record.add(`${id} runs ${attemptId}`);
        const body = `answer to ${attemptId}\n`;
        const headers = { "Attempt-Id": attemptId, "Response-Stamp": id, "Content-Length": body.length };
        response.writeHead(200, headers).end(body);
      });
    });
  }

  /** Listens, and sends heartbeats with `register`. */
  async start(register: (path: string, body: object) => Promise<void>): Promise<void> {
    const { id, host } = this.#options;
    await new Promise<void>((resolve) => this.#server.listen(0, host, resolve));
    const beat = (): Promise<void> => register(`/instances/${id}`, this.createHeartbeat("ready"));
    await beat();
    this.#timer = setInterval(() => {
      beat().catch(() => undefined);
    }, heartbeatMs);
  }

  /** Body of the next heartbeat. After the one that says `draining` no other follows. */
  createHeartbeat(state: "ready" | "draining"): object {
    if (state === "draining") {
      clearInterval(this.#timer ?? undefined);
    }
    const { service, host, zone = "zone-1" } = this.#options;
    const { port } = this.#server.address() as AddressInfo;
    this.#sequence += 1;
    const place = { service, address: `${host}:${port}`, zone, version: "v1", slots: 6 };
    return { ...place, state, cold_left_ms: 0, seq: this.#sequence, born: this.#bornMs };
  }

  close(): void {
    clearInterval(this.#timer ?? undefined);
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
