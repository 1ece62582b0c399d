import { request } from "node:http";
import type { Recorder } from "./Recorder";

interface StreamClientOptions {
  readonly name: string;
  readonly gateway: { readonly host: string; readonly port: number };
  readonly path: string;
  readonly key: string;
  readonly deadlineMs: number;
  readonly recorder: Recorder;
  /** Id of the runner that the client calls itself, without a gateway. */
  readonly runner?: string;
}

interface StreamOutcome {
  readonly request: string;
  /** Status of the answer; null if there was none. */
  readonly status: number | null;
  readonly isSigned: boolean;
  /** Whether the answer ended in order, by its own framing or by a regular close. */
  readonly isComplete: boolean;
  /** Whole events that arrived. */
  readonly events: number;
}

const pauseMs = 100;

/** Stand-in of a client that reads one stream after the other, each on a new connection. */
export class StreamClient {
  readonly outcomes: StreamOutcome[] = [];
  readonly #options: StreamClientOptions;
  #sent = 0;
  #isStopping = false;

  constructor(options: StreamClientOptions) {
    this.#options = options;
  }

  /** Sends requests until `stop` is called, `most` at most; resolves after the last one. */
  async run(most = Infinity): Promise<void> {
    while (!this.#isStopping && this.#sent < most) {
      const outcome = await this.#send();
      this.outcomes.push(outcome);
      const { status, isComplete, events } = outcome;
      const end = isComplete ? "ended as complete" : "broke off";
      this.#options.recorder.note(`${outcome.request}: ${status ?? "no answer"}, ${end}, ${events} events`);
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }

  stop(): void {
    this.#isStopping = true;
  }

  #send(): Promise<StreamOutcome> {
    const { name, gateway, path, key, deadlineMs, runner, recorder } = this.#options;
    this.#sent += 1;
    const id = `${name}-${this.#sent}`;
    recorder.note(`${id}: sent to ${gateway.host}`);
    const headers = {
      Host: "shop.example",
      "Attempt-Id": id,
      "Deadline-Ms": String(deadlineMs),
      Authorization: `Bearer ${key}`,
      ...(runner === undefined ? {} : { "Target-Instance": runner }),
    };
    return new Promise((resolve) => {
      let text = "";
      const call = request({ ...gateway, method: "POST", path, headers, agent: false });
      call.on("error", () => {
        resolve({ request: id, status: null, isSigned: false, isComplete: false, events: 0 });
      });
      call.on("response", (response) => {
        const end = (isComplete: boolean): void => {
          const events = text.split("\n\n").length - 1;
          const isSigned = response.headers["response-stamp"] !== undefined;
          resolve({ request: id, status: response.statusCode ?? 0, isSigned, isComplete, events });
        };
        response.on("data", (chunk: Buffer) => {
          text += chunk.toString();
        });
        response.on("error", () => {
          end(false);
        });
        response.on("end", () => {
          end(response.complete);
        });
      });
      call.end("draft");
    });
  }
}
