import { Agent as HttpAgent, request as requestHttp } from "node:http";
import type { ClientRequest } from "node:http";
import type { Address } from "@clementinemux/wire/Address";
import { ResponseFeeder } from "@clementinemux/wire/ResponseFeeder";
import { closeIdleOnData } from "@clementinemux/wire/closeIdleOnData";
import { collectBody } from "@clementinemux/wire/collectBody";

interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
}

interface TargetResponse {
  readonly status: number;
  readonly text: string;
}

interface Transport {
  readonly request: typeof requestHttp;
  readonly agent: HttpAgent;
}

const maxResponseBytes = 1_048_576;

/** HTTP client for small requests to one address: polls and orders to the target, or requests to an agent. */
export class TargetClient {
  readonly #address: Address;
  readonly #transport: Transport;

  constructor(
    address: Address,
    transport: Transport = { request: requestHttp, agent: new HttpAgent({ keepAlive: true, maxSockets: 2 }) },
  ) {
    this.#address = address;
    this.#transport = transport;
    closeIdleOnData(transport.agent);
  }

  /** Rejects and closes the connection when the target does not respond in time. */
  send({ method, path, body, headers, timeoutMs }: TargetRequest): Promise<TargetResponse> {
    return new Promise((resolve, reject) => {
      const fail = (error: Error): void => {
        clearTimeout(timer);
        reject(error);
      };
      const outgoing: ClientRequest = this.#transport.request(
        { ...this.#address, method, path, agent: this.#transport.agent, headers: { ...headers } },
        (response) => {
          collectBody(response, maxResponseBytes).then((bytes) => {
            clearTimeout(timer);
            resolve({ status: response.statusCode ?? 0, text: bytes.toString("utf8") });
          }, fail);
        },
      );
      new ResponseFeeder(outgoing);
      const timer = setTimeout(() => {
        outgoing.destroy(new Error(`target did not respond within ${timeoutMs} ms`));
      }, timeoutMs);
      outgoing.on("error", fail);
      outgoing.end(body);
    });
  }

  close(): void {
    this.#transport.agent.destroy();
  }
}
