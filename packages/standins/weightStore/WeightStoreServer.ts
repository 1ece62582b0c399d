import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { readJsonBody } from "../engine/readJsonBody";
import { WeightStore } from "./WeightStore";

/**
 * Stand-in for the weight store over HTTP: responds to `POST /transfers {sizeBytes}` when the transfer is
 * complete.
 */
export class WeightStoreServer {
  /** Number of further transfers whose responses are lost. */
  lostResponseCount = 0;
  /** Whether responses are withheld until `sendWithheld`, which stops a group while it prepares a map. */
  isWithholding = false;
  /** Counters that tests read. */
  readonly counts = { transfers: 0, lost: 0 };
  readonly #store: WeightStore;
  readonly #server: Server;
  #withheldResponses: ServerResponse[] = [];

  constructor(bytesPerS: number) {
    this.#store = new WeightStore(bytesPerS);
    this.#server = createServer((request, response) => {
      this.#transfer(request, response).catch(() => response.destroy());
    });
  }

  get withheldCount(): number {
    return this.#withheldResponses.length;
  }

  /** Resolves with the bound port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
      });
    });
  }

  sendWithheld(): void {
    this.isWithholding = false;
    for (const response of this.#withheldResponses) {
      response.end("{}");
    }
    this.#withheldResponses = [];
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #transfer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { sizeBytes } = (await readJsonBody(request)) as { readonly sizeBytes: number };
    const nowMs = performance.now();
    const endMs = this.#store.queueTransfer(sizeBytes, nowMs);
    this.counts.transfers += 1;
    setTimeout(() => {
      this.#respond(response);
    }, endMs - nowMs);
  }

  #respond(response: ServerResponse): void {
    if (this.lostResponseCount > 0) {
      this.lostResponseCount -= 1;
      this.counts.lost += 1;
      response.destroy();
    } else if (this.isWithholding) {
      this.#withheldResponses.push(response);
    } else {
      response.end("{}");
    }
  }
}
