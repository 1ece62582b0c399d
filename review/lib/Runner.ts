import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Recorder } from "./Recorder";
import { callApi } from "./callApi";

interface RunnerOptions {
  readonly id: string;
  readonly service: string;
  /** How long a request takes on average, in ms. */
  readonly workMs: number;
  readonly control: readonly { readonly host: string; readonly port: number }[];
  readonly recorder: Recorder;
  /** Writes the answer to a request that has run; returns false for the ordinary answer. */
  readonly answer?: (request: IncomingMessage, response: ServerResponse) => boolean;
}

interface Run {
  readonly request: string;
  readonly tenant: string | null;
  readonly atMs: number;
}

const heartbeatMs = 1200;
const slots = 6;
/** Shortest and longest time of a request, as a share of the mean. */
const workRange: readonly [number, number] = [0.5, 1.5];

/** Stand-in of a runner of a plain service: registers, runs requests, and answers 421 to those for another runner. */
export class Runner {
  /** The requests that it has run. */
  readonly runs: Run[] = [];
  readonly #options: RunnerOptions;
  readonly #server = createServer((request, response) => {
    this.#receive(request, response);
  });
  readonly #born = Date.now();
  #sequence = 0;
  #timer: NodeJS.Timeout | null = null;
  #controlIndex = 0;

  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  get place(): { readonly host: string; readonly port: number } {
    const { port } = this.#server.address() as AddressInfo;
    return { host: "127.0.0.1", port };
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    this.#server.keepAliveTimeout = 10_000;
    void this.sendHeartbeat();
    this.#timer = setInterval(() => {
      void this.sendHeartbeat();
    }, heartbeatMs);
  }

  /** Body of its next heartbeat. */
  createHeartbeat(): string {
    this.#sequence += 1;
    const { host, port } = this.place;
    return JSON.stringify({
      service: this.#options.service,
      address: `${host}:${port}`,
      zone: "edge-1",
      version: "v1",
      slots,
      state: "ready",
      cold_left_ms: 0,
      seq: this.#sequence,
      born: this.#born,
    });
  }

  stopHeartbeats(): void {
    clearInterval(this.#timer ?? undefined);
  }

  async sendHeartbeat(): Promise<void> {
    await this.callControl("PUT", this.createHeartbeat());
  }

  /** Calls one coordinator after the other until one acknowledges. Resolves with whether one did. */
  async callControl(method: string, body: string | null = null): Promise<boolean> {
    const { control, id, recorder } = this.#options;
    const first = this.#controlIndex % control.length;
    for (const address of [...control.slice(first), ...control.slice(0, first)]) {
      const answer = await callApi(address, method, `/instances/${id}`, body);
      if (answer?.status === 200) {
        if (method !== "PUT") {
          recorder.note(`${id}: ${method} acknowledged by ${address.host}`);
        }
        return true;
      }
      this.#controlIndex += 1;
    }
    return false;
  }

  stop(): void {
    this.stopHeartbeats();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const { id, workMs, recorder, answer } = this.#options;
    request.resume();
    response.on("error", () => undefined);
    request.on("end", () => {
      const attempt = String(request.headers["attempt-id"] ?? "");
      if (request.headers["target-instance"] !== id) {
        response.writeHead(421, { "Attempt-Id": attempt, "Not-Executed": "1" }).end();
        return;
      }
      const tenant = request.headers.tenant;
      this.runs.push({
        request: attempt,
        tenant: typeof tenant === "string" ? tenant : null,
        atMs: recorder.nowMs,
      });
      recorder.note(`${id}: runs ${attempt}`);
      const [least, most] = workRange;
      const share = least + (most - least) * Math.random();
      setTimeout(() => {
        if (response.destroyed || answer?.(request, response) === true) {
          return;
        }
        const headers = { "Attempt-Id": attempt, "Response-Stamp": `stamp-${attempt}`, "Content-Length": 3 };
        response.writeHead(200, headers).end("ok\n");
      }, workMs * share);
    });
  }
}
