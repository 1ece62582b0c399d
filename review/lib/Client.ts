import { Agent, request } from "node:http";
import type { Recorder } from "./Recorder";

interface ClientOptions {
  readonly name: string;
  readonly gateway: { readonly host: string; readonly port: number };
  readonly path: string;
  readonly key: string;
  readonly deadlineMs: number;
  readonly recorder: Recorder;
  /** Pause after a request without success, in ms; 100 by default. */
  readonly pauseMs?: number;
}

interface Outcome {
  readonly request: string;
  readonly sentAtMs: number;
  /** Whether the connection had answered an earlier request. */
  readonly isKept: boolean;
  /** Status of the answer; null if the connection was closed without one. */
  readonly status: number | null;
}

const defaultPauseMs = 100;

/** Stand-in of a client that sends one request after the other on one kept connection. */
export class Client {
  readonly outcomes: Outcome[] = [];
  readonly #options: ClientOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #sent = 0;
  #isStopping = false;

  constructor(options: ClientOptions) {
    this.#options = options;
  }

  /** Sends requests until `stop` is called; resolves after the last one. */
  async run(): Promise<void> {
    while (!this.#isStopping) {
      const outcome = await this.#send();
      this.outcomes.push(outcome);
      this.#options.recorder.note(`${outcome.request}: ${outcome.status ?? "connection closed"}`);
      if (outcome.status !== 200) {
        await new Promise((resolve) => setTimeout(resolve, this.#options.pauseMs ?? defaultPauseMs));
      }
    }
    this.#agent.destroy();
  }

  stop(): void {
    this.#isStopping = true;
  }

  #send(): Promise<Outcome> {
    const { name, gateway, path, key, deadlineMs, recorder } = this.#options;
    this.#sent += 1;
    const id = `${name}-${this.#sent}`;
    const sentAtMs = recorder.nowMs;
    recorder.note(`${id}: sent to ${gateway.host}`);
    return new Promise((resolve) => {
      const headers = {
        Host: "shop.example",
        "Attempt-Id": id,
        "Deadline-Ms": String(deadlineMs),
        Authorization: `Bearer ${key}`,
      };
      const call = request({ ...gateway, method: "GET", path, headers, agent: this.#agent });
      const end = (status: number | null): void => {
        resolve({ request: id, sentAtMs, isKept: call.reusedSocket, status });
      };
      call.on("error", () => {
        end(null);
      });
      call.on("response", (response) => {
        response.resume();
        response.on("error", () => {
          end(null);
        });
        response.on("end", () => {
          end(response.statusCode ?? 0);
        });
      });
      call.end();
    });
  }
}
